//! Baseline: a random worker that has room.

use crate::placement::fleet::Fleet;
use crate::placement::index::Slot;
use crate::placement::policy::{ALL_KINDS, Ask, Plugin, Policy, Rules};
use crate::placement::random::Random;

/// Picks the first worker with room after a random position.
#[derive(Debug)]
struct Anywhere;

impl Policy for Anywhere {
    fn pick(&self, fleet: &Fleet, ask: &Ask<'_>, random: &mut Random) -> Option<Slot> {
        let from = random.below(u64::from(fleet.open.positions())) as Slot;
        let fit = |from| fleet.first_fit(&fleet.open, from, &ask.size, ask.avoid);
        fit(from).or_else(|| fit(0))
    }
}

inventory::submit! {
    Plugin { name: "random", kinds: ALL_KINDS, rules: Rules::ARRIVAL, policy: &Anywhere }
}
