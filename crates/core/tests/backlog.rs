//! Tests of the queue with expiry in which records wait for the log.

use rosemaryworks_core::backlog::Backlog;
use rosemaryworks_core::time::Instant;
use rosemaryworks_core::timing::REQUEST_ID_RETENTION_MS;

/// Milliseconds between two request ids of the simulated load.
const GAP_MS: u64 = 100;

/// Guards against memory that grows with the length of an outage of the log: request ids past their
/// retention must not stay queued.
#[test]
fn memory_is_bounded_in_a_long_outage() {
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

/// Guards against losing items without an expiry time, such as task ends and leases, which must be
/// recorded however long the outage lasts.
#[test]
fn items_without_expiry_stay_in_order() {
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
