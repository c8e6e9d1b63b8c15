//! Guards against time-outs that are too short for a process that reads responses late, and against
//! lost responses that are noticed late.

use std::time::Duration;

use rosemaryworks_entry::timeouts::Timeouts;

/// A new owner on a VM with half a core regarded 43 of 252 workers as unresponsive while it read
/// their first answers.
#[test]
fn timeouts_follow_rising_response_times() {
    let mut timeouts = Timeouts::default();
    for took_ms in (0..252).map(|index| index / 2) {
        assert!(timeouts.renewal() >= Duration::from_millis(2 * took_ms));
        timeouts.observe(took_ms);
    }
}

#[test]
fn a_lost_answer_is_noticed_soon_while_responses_are_fast() {
    let mut timeouts = Timeouts::default();
    for _ in 0..200 {
        timeouts.observe(5);
    }
    assert!(timeouts.command() <= Duration::from_millis(80));
    assert!(timeouts.renewal() <= Duration::from_millis(150));
}

#[test]
fn timeouts_are_bounded() {
    let mut timeouts = Timeouts::default();
    for _ in 0..200 {
        timeouts.observe(10_000);
    }
    assert!(timeouts.renewal() <= Duration::from_millis(500));
}
