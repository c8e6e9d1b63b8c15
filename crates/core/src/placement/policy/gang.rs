//! Gang work: packs the tasks of a gang on few workers, reserved ones included.

use crate::job::Kind;
use crate::placement::fleet::Fleet;
use crate::placement::index::Slot;
use crate::placement::policy::{Ask, DEFAULT, Plugin, Policy, Rules};
use crate::placement::random::Random;

/// Picks the worker that wastes the least room, among all that the ask allows.
#[derive(Debug)]
struct Packed;

impl Policy for Packed {
    fn pick(&self, fleet: &Fleet, ask: &Ask<'_>, _random: &mut Random) -> Option<Slot> {
        let fit = |index| fleet.best_fit(index, &ask.size, ask.avoid);
        let reserved = || {
            if ask.backfill {
                fit(&fleet.reserved)
            } else {
                None
            }
        };
        fit(&fleet.open)
            .or_else(|| fit(&fleet.closed))
            .or_else(reserved)
    }
}

inventory::submit! {
    Plugin { name: DEFAULT, kinds: &[Kind::Gang], rules: Rules::FAIR, policy: &Packed }
}
