//! Baseline: a random worker with enough capacity.

use crate::placement::fleet::Fleet;
use crate::placement::index::Slot;
use crate::placement::policy::{ALL_KINDS, Plugin, Policy, Request, Rules};
use crate::placement::random::Random;

/// Picks the first worker with enough capacity at or after a random slot.
#[derive(Debug)]
struct RandomFit;

impl Policy for RandomFit {
    fn pick(&self, fleet: &Fleet, request: &Request<'_>, random: &mut Random) -> Option<Slot> {
        let from = random.below(u64::from(fleet.general.slot_count())) as Slot;
        let fit = |from| fleet.first_fit(&fleet.general, from, &request.size, request.avoid);
        fit(from).or_else(|| fit(0))
    }
}

inventory::submit! {
    Plugin { name: "random", kinds: ALL_KINDS, rules: Rules::FIFO, policy: &RandomFit }
}
