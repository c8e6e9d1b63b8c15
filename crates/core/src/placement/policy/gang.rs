//! Gang jobs: packs the tasks of a gang on few workers.

use crate::job::Kind;
use crate::placement::fleet::Fleet;
use crate::placement::index::Slot;
use crate::placement::policy::{DEFAULT, Plugin, Policy, Request, Rules};
use crate::placement::random::Random;

/// Picks the worker with the lowest fit cost: general workers first, then short-only ones, then
/// reserved ones if the request allows backfill.
#[derive(Debug)]
struct Packed;

impl Policy for Packed {
    fn pick(&self, fleet: &Fleet, request: &Request<'_>, _random: &mut Random) -> Option<Slot> {
        let fit = |index| fleet.best_fit(index, &request.size, request.avoid);
        let reserved = || {
            if request.backfill {
                fit(&fleet.reserved)
            } else {
                None
            }
        };
        fit(&fleet.general)
            .or_else(|| fit(&fleet.short_only))
            .or_else(reserved)
    }
}

inventory::submit! {
    Plugin { name: DEFAULT, kinds: &[Kind::Gang], rules: Rules::FAIR_SHARE, policy: &Packed }
}
