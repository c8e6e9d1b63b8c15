//! Guards against tasks that run twice because an owner that was frozen commands workers that its
//! successor can't reach.

use rosemaryworks_entry::stall::{STALL_MS, Stall};
use rosemaryworks_node::clock;

#[test]
fn an_owner_that_stood_still_is_held_until_its_claim_was_checked() {
    let stall = Stall::new(10_000);
    assert_eq!(stall.stalled_ms(10_000 + STALL_MS - 1), None);
    stall.beat(10_500);
    assert_eq!(stall.stalled_ms(10_500 + STALL_MS - 1), None);
    // No other process can have taken the shard over sooner.
    assert_eq!(stall.stalled_ms(10_500 + STALL_MS), Some(STALL_MS));
    assert_eq!(stall.stalled_ms(13_700), Some(3_200), "ended by itself");
    stall.beat(13_800);
    assert_eq!(stall.stalled_ms(13_900), None);
}

/// Guards against a clock that stops while the VM is suspended, or jumps with the wall clock.
#[test]
fn the_clock_for_stalls_goes_on() {
    let (uptime, monotonic) = (clock::uptime_ms(), clock::now().0);
    std::thread::sleep(std::time::Duration::from_millis(30));
    let (passed, expected) = (clock::uptime_ms() - uptime, clock::now().0 - monotonic);
    assert!(
        passed >= 30 && passed.abs_diff(expected) <= 20,
        "{passed} after {expected} ms"
    );
}
