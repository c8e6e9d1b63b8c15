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

/// How long a run and its failures last.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Lengths {
    /// Milliseconds of failures.
    pub(crate) total_ms: u64,
    /// Milliseconds of one outage of the log.
    pub(crate) outage_ms: u64,
}

impl Lengths {
    const fn lasts_ms(self, kind: Kind) -> u64 {
        match kind {
            Kind::LogDown => self.outage_ms,
            kind => kind.lasts_ms(),
        }
    }
}

/// Returns the failures of a run in time order. Those of one group strike together. Without groups
/// all kinds occur, singly and in pairs.
pub(crate) fn plan(seed: u64, lengths: Lengths, mut groups: Vec<Vec<Kind>>) -> Vec<Entry> {
    let mut random = SmallRng::seed_from_u64(seed);
    if groups.is_empty() {
        groups = all();
    }
    let mut entries = Vec::new();
    let mut at_ms = LEAD_MS;
    loop {
        groups.shuffle(&mut random);
        let before = entries.len();
        for group in &groups {
            let choice = random.random();
            let delay_ms = random.random_range(0..=PAIR_DELAY_MS);
            let pause_ms = random.random_range(PAUSE_MS.0..=PAUSE_MS.1);
            let part = part(group, lengths, at_ms, delay_ms, choice);
            let ends_ms = part
                .iter()
                .map(|entry| entry.ends_ms)
                .max()
                .unwrap_or(at_ms);
            if ends_ms > lengths.total_ms {
                continue;
            }
            entries.extend(part);
            at_ms = ends_ms + pause_ms;
        }
        if entries.len() == before {
            break;
        }
    }
    entries.extend(closing(at_ms, lengths, &mut random));
    entries
}

/// Returns what every run ends with, so that no check is empty.
fn closing(mut at_ms: u64, lengths: Lengths, random: &mut SmallRng) -> Vec<Entry> {
    let mut entries = Vec::new();
    for kind in CLOSING {
        let part = part(&[kind], lengths, at_ms, 0, random.random());
        at_ms += lengths.lasts_ms(kind) + PAUSE_MS.0;
        entries.extend(part);
    }
    entries
}

fn part(group: &[Kind], lengths: Lengths, at_ms: u64, delay_ms: u64, choice: u64) -> Vec<Entry> {
    let entry = |(index, kind): (usize, &Kind)| {
        let at_ms = at_ms + delay_ms * index as u64;
        Entry {
            at_ms,
            ends_ms: at_ms + lengths.lasts_ms(*kind),
            kind: *kind,
            choice,
        }
    };
    group.iter().enumerate().map(entry).collect()
}

fn all() -> Vec<Vec<Kind>> {
    let singles = Kind::ALL.iter().map(|(kind, _)| vec![*kind]);
    let pairs = Kind::PAIRS.iter().map(|(one, other)| vec![*one, *other]);
    singles.chain(pairs).collect()
}
