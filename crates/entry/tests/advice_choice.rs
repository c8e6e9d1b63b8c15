//! Guards against short urgent advice requests that queue behind long ones on every VM, against
//! requests assigned to a VM that doesn't answer, and against owners that don't see each other's
//! requests.

use std::sync::Arc;

use rosemaryworks_entry::advice::choice::{Assignment, Choice};

fn vms(count: usize) -> Vec<Arc<str>> {
    (0..count)
        .map(|index| format!("vm-{index}").into())
        .collect()
}

/// Assigns a request that may wait for any time.
fn assign(choice: &mut Choice, vms: &[Arc<str>], cost_ms: f64, now_ms: u64) -> Option<Assignment> {
    choice.assign(vms, cost_ms, f64::INFINITY, now_ms)
}

#[test]
fn short_requests_never_queue_behind_many_long_ones() {
    let (mut choice, vms) = (Choice::new(0), vms(6));
    for _ in 0..40 {
        assign(&mut choice, &vms, 800.0, 0);
    }
    let assignment = assign(&mut choice, &vms, 18.0, 0).expect("there are VMs");
    assert!(
        assignment.queued_ms < 1.0,
        "waits {} ms",
        assignment.queued_ms
    );
}

#[test]
fn long_requests_spread_over_the_other_vms() {
    let (mut choice, vms) = (Choice::new(0), vms(6));
    let assignments: Vec<_> = (0..4)
        .filter_map(|_| assign(&mut choice, &vms, 800.0, 0))
        .collect();
    assert_eq!(assignments.len(), 4);
    assert!(
        assignments
            .iter()
            .all(|assignment| assignment.queued_ms < 1.0)
    );
}

#[test]
fn a_single_vm_sends_all_requests() {
    let (mut choice, vms) = (Choice::new(0), vms(1));
    assert!(assign(&mut choice, &vms, 800.0, 0).is_some());
    assert!(assign(&mut choice, &vms, 18.0, 0).is_some());
}

#[test]
fn an_answered_request_no_longer_counts() {
    let (mut choice, vms) = (Choice::new(0), vms(1));
    let assignment = assign(&mut choice, &vms, 800.0, 0).expect("there are VMs");
    assert!(assignment.queued_ms < 1.0);
    choice.reported(&assignment.vm, 0.0, 20);
    let next = assign(&mut choice, &vms, 18.0, 20).expect("there are VMs");
    assert!(next.queued_ms < 1.0);
}

/// A VM that had ended appeared idle and was assigned the next requests, each of which waited for
/// 1.5 s.
#[test]
fn an_unresponsive_vm_is_excluded_for_a_while() {
    let mut choice = Choice::new(0);
    let vms: Vec<Arc<str>> = vec!["a".into(), "b".into()];
    let assignment = assign(&mut choice, &vms, 10.0, 0).expect("an assignment");
    choice.silent(&assignment, 0);
    for _ in 0..5 {
        let next = assign(&mut choice, &vms, 10.0, 100).expect("an assignment");
        assert_ne!(next.vm, assignment.vm);
    }
    let later: Vec<_> = (0..2)
        .filter_map(|_| assign(&mut choice, &vms, 10.0, 2_100))
        .map(|next| next.vm)
        .collect();
    assert!(later.contains(&assignment.vm));
}

/// A VM with requests of another owner looked idle, so both owners chose it and their requests timed
/// out.
#[test]
fn a_backlog_of_another_owner_counts() {
    let (mut choice, vms) = (Choice::new(0), vms(2));
    choice.reported(&vms[1], 900.0, 0);
    assert!(choice.assign(&vms, 800.0, 600.0, 100).is_none());
    let later = choice.assign(&vms, 800.0, 600.0, 400).expect("a VM");
    assert!((later.queued_ms - 500.0).abs() < 1.0);
}

/// A VM that replies is not silent, even if one of its requests takes long.
#[test]
fn a_vm_that_replied_meanwhile_is_not_excluded() {
    let (mut choice, vms) = (Choice::new(0), vms(2));
    let assignment = assign(&mut choice, &vms, 10.0, 0).expect("a VM");
    choice.reported(&assignment.vm, 0.0, 300);
    choice.silent(&assignment, 500);
    let chosen: Vec<_> = (0..2)
        .filter_map(|_| assign(&mut choice, &vms, 10.0, 600))
        .map(|next| next.vm)
        .collect();
    assert!(chosen.contains(&assignment.vm));
}

/// Owners that chose in the same order sent their requests to the same VM at the same time.
#[test]
fn two_owners_begin_with_different_vms() {
    let vms = vms(6);
    let first = assign(&mut Choice::new(0), &vms, 800.0, 0).expect("a VM");
    let second = assign(&mut Choice::new(1), &vms, 800.0, 0).expect("a VM");
    assert_ne!(first.vm, second.vm);
}

/// A VM of an earlier version reports no backlog; its own requests must still count.
#[test]
fn a_reply_without_a_backlog_leaves_the_count() {
    let (mut choice, vms) = (Choice::new(0), vms(1));
    assign(&mut choice, &vms, 800.0, 0).expect("a VM");
    choice.reported(&vms[0], f64::NAN, 100);
    let next = assign(&mut choice, &vms, 800.0, 100).expect("a VM");
    assert!((next.queued_ms - 700.0).abs() < 1.0);
}
