//! Things that wait for the log.

use rosemaryworks_core::backlog::Backlog;
use rosemaryworks_core::time::Instant;
use rosemaryworks_core::timing::REQUEST_ID_RETENTION_MS;

/// Milliseconds between two ids of the simulated load.
const GAP_MS: u64 = 100;

/// Guards against memory that grows with the length of an outage of the log: ids that nobody
/// remembers any more must not wait for it.
#[test]
fn ids_of_a_long_outage_are_bounded() {
    let mut backlog = Backlog::default();
    let bound = usize::try_from(REQUEST_ID_RETENTION_MS / GAP_MS).unwrap();
    for now in (0..REQUEST_ID_RETENTION_MS * 6).step_by(GAP_MS as usize) {
        backlog.push(now, Some(Instant(now + REQUEST_ID_RETENTION_MS)));
        if now.is_multiple_of(1_000) {
            backlog.expire(Instant(now));
        }
        assert!(backlog.len() <= bound + 10, "{} at {now}", backlog.len());
    }
    let oldest = backlog.take(1)[0];
    assert!(
        oldest + REQUEST_ID_RETENTION_MS + 1_000 >= REQUEST_ID_RETENTION_MS * 6,
        "{oldest}"
    );
}

/// Guards against the loss of an end or a lease that must be recorded however long it takes.
#[test]
fn what_has_no_end_waits_in_order() {
    let mut backlog = Backlog::default();
    for number in 0..100 {
        let expires = (number % 2 == 0).then_some(Instant(number));
        backlog.push(number, expires);
    }
    assert_eq!(backlog.expire(Instant(u64::MAX)), 50);
    assert_eq!(backlog.take(3), [1, 3, 5]);
    assert_eq!(backlog.len(), 47);
    assert_eq!(backlog.take(100).len(), 47);
    assert!(backlog.is_empty());
}
