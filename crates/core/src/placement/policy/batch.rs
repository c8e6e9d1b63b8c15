//! Batch work: the worker that wastes the least room, so that large tasks keep finding whole workers.

use crate::job::Kind;
use crate::placement::fleet::Fleet;
use crate::placement::index::Slot;
use crate::placement::policy::{ALL_KINDS, DEFAULT, Plugin, Policy, Request, Rules};
use crate::placement::random::Random;

/// Picks the worker that wastes the least room; short work tries the workers kept for it first.
#[derive(Debug)]
pub(crate) struct BestFit;

impl Policy for BestFit {
    fn pick(&self, fleet: &Fleet, request: &Request<'_>, _random: &mut Random) -> Option<Slot> {
        let fit = |index| fleet.best_fit(index, &request.size, request.avoid);
        let short = || {
            if request.long {
                None
            } else {
                fit(&fleet.short_only)
            }
        };
        let reserved = || {
            if request.backfill {
                fit(&fleet.reserved)
            } else {
                None
            }
        };
        short().or_else(|| fit(&fleet.general)).or_else(reserved)
    }
}

/// Picks the first worker that has room.
#[derive(Debug)]
struct FirstFit;

impl Policy for FirstFit {
    fn pick(&self, fleet: &Fleet, request: &Request<'_>, _random: &mut Random) -> Option<Slot> {
        fleet.first_fit(&fleet.general, 0, &request.size, request.avoid)
    }
}

inventory::submit! {
    Plugin { name: DEFAULT, kinds: &[Kind::Batch], rules: Rules::FAIR_SHARE, policy: &BestFit }
}

inventory::submit! {
    Plugin {
        name: "fcfs-first-fit",
        kinds: ALL_KINDS,
        rules: Rules { blocking: true, ..Rules::FIFO },
        policy: &FirstFit,
    }
}
