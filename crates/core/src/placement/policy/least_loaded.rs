//! Baseline: the worker with the most free processor time.

use crate::placement::fleet::Fleet;
use crate::placement::index::Slot;
use crate::placement::policy::{ALL_KINDS, Plugin, Policy, Request, Rules};
use crate::placement::random::Random;

/// Picks the worker with the most free processor time.
#[derive(Debug)]
struct LeastLoaded;

impl Policy for LeastLoaded {
    fn pick(&self, fleet: &Fleet, request: &Request<'_>, _random: &mut Random) -> Option<Slot> {
        fleet.least_loaded(&fleet.general, &request.size, request.avoid)
    }
}

inventory::submit! {
    Plugin { name: "least-loaded", kinds: ALL_KINDS, rules: Rules::FIFO, policy: &LeastLoaded }
}
