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
