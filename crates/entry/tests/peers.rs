//! Guards against an owner without the log that overlooks a process which may have claimed its shard.

use std::sync::Arc;

use rosemaryworks_entry::peers::Known;

fn names(known: &Known, since_ms: u64) -> Vec<Arc<str>> {
    known.since(since_ms).into_iter().collect()
}

#[test]
fn a_process_without_a_link_may_have_claimed_a_shard() {
    let mut known = Known::default();
    known.opened(&"a".into());
    known.opened(&"b".into());
    known.closed("b", 50_000);
    // The log was lost after the link.
    assert_eq!(names(&known, 59_000), ["a".into(), "b".into()]);
    assert_eq!(names(&known, 60_000), ["a".into()], "b has ended long ago");
    // The log was lost before the link.
    assert_eq!(names(&known, 49_000), ["a".into(), "b".into()]);
}

#[test]
fn a_process_counts_until_its_last_link_is_closed() {
    let mut known = Known::default();
    known.opened(&"a".into());
    known.opened(&"a".into());
    known.closed("a", 1_000);
    assert_eq!(names(&known, 90_000), ["a".into()]);
    known.closed("a", 2_000);
    assert!(names(&known, 90_000).is_empty());
}

#[test]
fn a_process_that_announced_its_end_claims_no_shard_until_it_is_back() {
    let mut known = Known::default();
    known.opened(&"a".into());
    known.leaves("a");
    assert!(names(&known, 0).is_empty());
    known.closed("a", 1_000);
    assert!(names(&known, 0).is_empty());
    known.opened(&"a".into());
    assert_eq!(names(&known, 0), ["a".into()]);
}

/// Guards against an owner that forgets, during a long cut, the processes with which it had links when
/// it lost the log: it then took itself and the peers inside the cut for the only processes.
#[test]
fn a_process_that_was_linked_when_the_log_was_lost_counts_for_the_whole_outage() {
    let mut known = Known::default();
    known.opened(&"inside".into());
    known.opened(&"outside".into());
    let lost_ms = 50_000;
    known.closed("outside", 51_000);
    assert_eq!(names(&known, lost_ms), ["inside".into(), "outside".into()]);
    // The link with a peer inside the cut is opened again, as after two unanswered calls.
    known.opened(&"inside".into());
    known.closed("inside", 71_000);
    assert_eq!(names(&known, lost_ms), ["inside".into(), "outside".into()]);
}
