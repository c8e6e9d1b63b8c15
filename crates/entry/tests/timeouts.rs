//! Guards against answers that are given up too early by a process that reads them late, and against
//! lost answers that are noticed late.

use std::time::Duration;

use rosemaryworks_entry::timeouts::Timeouts;

/// A new owner on a VM with half a core took 43 of 252 workers for silent while it read their first
/// answers.
#[test]
fn answers_that_arrive_late_are_waited_for() {
    let mut timeouts = Timeouts::default();
    for took_ms in (0..252).map(|index| index / 2) {
        assert!(timeouts.renewal() >= Duration::from_millis(2 * took_ms));
        timeouts.observe(took_ms);
    }
}

#[test]
fn a_lost_answer_is_noticed_soon_on_a_calm_process() {
    let mut timeouts = Timeouts::default();
    for _ in 0..200 {
        timeouts.observe(5);
    }
    assert!(timeouts.command() <= Duration::from_millis(80));
    assert!(timeouts.renewal() <= Duration::from_millis(150));
}

#[test]
fn no_answer_is_waited_for_without_end() {
    let mut timeouts = Timeouts::default();
    for _ in 0..200 {
        timeouts.observe(10_000);
    }
    assert!(timeouts.renewal() <= Duration::from_millis(500));
}
