//! The schedule of failures, which follows from the seed alone.

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use super::kind::Kind;

/// Milliseconds of undisturbed load before the first failure.
const LEAD_MS: u64 = 5_000;

/// Shortest and longest pause between two failures, in milliseconds.
const PAUSE_MS: (u64, u64) = (1_000, 6_000);

/// Longest delay of the second failure of a pair, in milliseconds.
const PAIR_DELAY_MS: u64 = 2_500;

/// What every run ends with.
const CLOSING: [Kind; 4] = [
    Kind::StopGateway,
    Kind::StopScheduler,
    Kind::LeaveWorker,
    Kind::LeaveInstance,
];

/// A failure with its time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Entry {
    /// Milliseconds from the start of the load.
    pub(crate) at_ms: u64,
    pub(crate) ends_ms: u64,
    pub(crate) kind: Kind,
    /// Number from which the driver chooses the target; equal for the parts of a pair.
    pub(crate) choice: u64,
}

/// Returns the failures of a run in time order. `kinds` limits them; an empty list means all, singly
/// and in pairs. Two kinds given by the caller also occur as a pair.
pub(crate) fn plan(seed: u64, total_ms: u64, kinds: &[Kind]) -> Vec<Entry> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut groups = groups(kinds);
    let mut entries = Vec::new();
    let mut at_ms = LEAD_MS;
    loop {
        groups.shuffle(&mut random);
        let before = entries.len();
        for group in &groups {
            let choice = random.random();
            let delay_ms = random.random_range(0..=PAIR_DELAY_MS);
            let pause_ms = random.random_range(PAUSE_MS.0..=PAUSE_MS.1);
            let part = part(group, at_ms, delay_ms, choice);
            let ends_ms = part
                .iter()
                .map(|entry| entry.ends_ms)
                .max()
                .unwrap_or(at_ms);
            if ends_ms > total_ms {
                continue;
            }
            entries.extend(part);
            at_ms = ends_ms + pause_ms;
        }
        if entries.len() == before {
            break;
        }
    }
    entries.extend(closing(at_ms, &mut random));
    entries
}

/// Returns what every run ends with, so that no check is empty.
fn closing(mut at_ms: u64, random: &mut SmallRng) -> Vec<Entry> {
    let mut entries = Vec::new();
    for kind in CLOSING {
        let part = part(&[kind], at_ms, 0, random.random());
        at_ms += kind.lasts_ms() + PAUSE_MS.0;
        entries.extend(part);
    }
    entries
}

fn part(group: &[Kind], at_ms: u64, delay_ms: u64, choice: u64) -> Vec<Entry> {
    let entry = |(index, kind): (usize, &Kind)| {
        let at_ms = at_ms + delay_ms * index as u64;
        Entry {
            at_ms,
            ends_ms: at_ms + kind.lasts_ms(),
            kind: *kind,
            choice,
        }
    };
    group.iter().enumerate().map(entry).collect()
}

fn groups(kinds: &[Kind]) -> Vec<Vec<Kind>> {
    let pairs = Kind::PAIRS.iter().map(|(one, other)| vec![*one, *other]);
    if kinds.is_empty() {
        let all = Kind::ALL.iter().map(|(kind, _)| vec![*kind]);
        return all.chain(pairs).collect();
    }
    let mut groups: Vec<Vec<Kind>> = kinds.iter().map(|kind| vec![*kind]).collect();
    if kinds.len() == 2 {
        groups.push(kinds.to_vec());
    }
    groups
}
