//! Batch jobs: best fit, so that whole workers stay free for large tasks. Baseline: first fit.

use crate::job::Kind;
use crate::placement::fleet::Fleet;
use crate::placement::index::Slot;
use crate::placement::policy::{ALL_KINDS, DEFAULT, Plugin, Policy, Request, Rules};
use crate::placement::random::Random;

/// Picks the worker with the lowest fit cost. Short tasks try the short-only workers first.
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

/// Picks the first worker with enough capacity.
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
