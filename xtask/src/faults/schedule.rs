//! Generates the schedule of faults, which is determined by the seed and the arguments.

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use super::kind::Kind;

/// Milliseconds of load before the first fault.
const WARM_UP_MS: u64 = 5_000;

/// Shortest and longest pause between two faults, in milliseconds.
const PAUSE_MS: (u64, u64) = (1_000, 6_000);

/// Longest delay of the second fault of a pair, in milliseconds.
const PAIR_DELAY_MS: u64 = 2_500;

/// Faults at the end of every run.
const FINAL_KINDS: [Kind; 4] = [
    Kind::StopGateway,
    Kind::StopScheduler,
    Kind::LeaveWorker,
    Kind::LeaveInstance,
];

/// A scheduled fault.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Entry {
    /// Milliseconds from the start of the load.
    pub(crate) at_ms: u64,
    pub(crate) ends_ms: u64,
    pub(crate) kind: Kind,
    /// Random number that selects the target; equal for both faults of a pair.
    pub(crate) choice: u64,
}

/// Durations of the run and of its faults.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Durations {
    /// Length in milliseconds of the part of the run in which faults are injected.
    pub(crate) total_ms: u64,
    /// Length of one outage of the log in milliseconds.
    pub(crate) outage_ms: u64,
}

impl Durations {
    const fn duration_ms(self, kind: Kind) -> u64 {
        match kind {
            Kind::LogDown => self.outage_ms,
            kind => kind.duration_ms(),
        }
    }
}

/// Returns the faults of a run in time order. The faults of a group overlap. Without groups, all
/// kinds are injected, singly and in pairs.
pub(crate) fn generate(seed: u64, durations: Durations, mut groups: Vec<Vec<Kind>>) -> Vec<Entry> {
    let mut random = SmallRng::seed_from_u64(seed);
    if groups.is_empty() {
        groups = all_groups();
    }
    let mut entries = Vec::new();
    let mut at_ms = WARM_UP_MS;
    loop {
        groups.shuffle(&mut random);
        let before = entries.len();
        for group in &groups {
            let choice = random.random();
            let delay_ms = random.random_range(0..=PAIR_DELAY_MS);
            let pause_ms = random.random_range(PAUSE_MS.0..=PAUSE_MS.1);
            let added = group_entries(group, durations, at_ms, delay_ms, choice);
            let ends_ms = added
                .iter()
                .map(|entry| entry.ends_ms)
                .max()
                .unwrap_or(at_ms);
            if ends_ms > durations.total_ms {
                continue;
            }
            entries.extend(added);
            at_ms = ends_ms + pause_ms;
        }
        if entries.len() == before {
            break;
        }
    }
    entries.extend(final_entries(at_ms, durations, &mut random));
    entries
}

/// Returns the faults at the end of every run, so that every check has events to check.
fn final_entries(mut at_ms: u64, durations: Durations, random: &mut SmallRng) -> Vec<Entry> {
    let mut entries = Vec::new();
    for kind in FINAL_KINDS {
        let added = group_entries(&[kind], durations, at_ms, 0, random.random());
        at_ms += durations.duration_ms(kind) + PAUSE_MS.0;
        entries.extend(added);
    }
    entries
}

fn group_entries(
    group: &[Kind],
    durations: Durations,
    at_ms: u64,
    delay_ms: u64,
    choice: u64,
) -> Vec<Entry> {
    let entry = |(index, kind): (usize, &Kind)| {
        let at_ms = at_ms + delay_ms * index as u64;
        Entry {
            at_ms,
            ends_ms: at_ms + durations.duration_ms(*kind),
            kind: *kind,
            choice,
        }
    };
    group.iter().enumerate().map(entry).collect()
}

fn all_groups() -> Vec<Vec<Kind>> {
    let singles = Kind::ALL.iter().map(|(kind, _)| vec![*kind]);
    let pairs = Kind::PAIRS.iter().map(|(one, other)| vec![*one, *other]);
    singles.chain(pairs).collect()
}
