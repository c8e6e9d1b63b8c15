//! Guards against a refusal of a job that may be stored, and against refused callers that return
//! together.

use std::collections::BTreeSet;

use rosemaryworks_entry::admission::{Attempts, retry_after_s};
use rosemaryworks_workflow::Id;

/// The caller of a job with an unknown outcome repeats the call while the record is under way.
#[test]
fn a_job_that_may_be_stored_is_known() {
    let mut attempts = Attempts::default();
    attempts.add(Id(1), 1_000);
    assert!(attempts.contains(Id(1), 30_000));
    assert!(!attempts.contains(Id(2), 30_000));
    assert!(!attempts.contains(Id(1), 31_000));
}

/// A crowd of jobs took memory without bound.
#[test]
fn attempts_are_bounded() {
    let mut attempts = Attempts::default();
    for id in 0..50_000 {
        attempts.add(Id(id), 1_000);
    }
    let kept = (0..50_000).filter(|id| attempts.contains(Id(*id), 1_000));
    assert!(kept.count() <= 20_001);
}

#[test]
fn callers_return_at_different_times_within_bounds() {
    for wait_ms in [0, 1, 1_000, 10_000, u64::MAX] {
        let times = (0..50).map(|id| retry_after_s(wait_ms, Id(id)));
        let times: BTreeSet<u64> = times.collect();
        assert!(times.len() >= 3, "{wait_ms}: {times:?}");
        assert!(times.iter().all(|s| (1..=45).contains(s)), "{times:?}");
    }
}
