//! Guards against placement passes that outlast a claim (review/14).

use std::time::Duration;

use rosemaryworks_entry::budget::{Budget, TARGET};
use rosemaryworks_entry::claim;

#[test]
fn a_pass_takes_a_small_part_of_the_life_of_a_claim() {
    assert!(TARGET.as_millis() * 20 <= u128::from(claim::EXPIRY_MS));
    let mut budget = Budget::default();
    // A slow VM, then one that gets faster again.
    for (per_ms, passes) in [(100, 1), (5_000, 40)] {
        for _ in 0..passes {
            let evaluations = budget.evaluations();
            budget.observe(
                evaluations,
                Duration::from_micros(evaluations * 1_000 / per_ms),
            );
        }
        let took = Duration::from_micros(budget.evaluations() * 1_000 / per_ms);
        assert!(took <= TARGET, "{took:?}");
        assert!(took >= TARGET / 2, "{took:?}");
    }
}

/// A pass that evaluates next to nothing may wait for the processor.
#[test]
fn a_short_pass_says_nothing_about_the_speed() {
    let mut budget = Budget::default();
    let before = budget.evaluations();
    budget.observe(10, Duration::from_millis(100));
    assert_eq!(budget.evaluations(), before);
}
