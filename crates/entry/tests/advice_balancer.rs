//! Guards against short urgent advice requests that queue behind long ones on every VM, and against
//! requests assigned to a VM that doesn't answer.

use std::sync::Arc;

use rosemaryworks_entry::advice_balancer::Balancer;

fn vms(count: usize) -> Vec<Arc<str>> {
    (0..count)
        .map(|index| format!("vm-{index}").into())
        .collect()
}

#[test]
fn short_requests_never_queue_behind_many_long_ones() {
    let (mut balancer, vms) = (Balancer::default(), vms(6));
    for _ in 0..40 {
        balancer.assign(&vms, 800.0, 0);
    }
    let assignment = balancer.assign(&vms, 18.0, 0).expect("there are VMs");
    assert!(
        assignment.queued_ms < 1.0,
        "waits {} ms",
        assignment.queued_ms
    );
}

#[test]
fn long_requests_spread_over_the_other_vms() {
    let (mut balancer, vms) = (Balancer::default(), vms(6));
    let assignments: Vec<_> = (0..4)
        .filter_map(|_| balancer.assign(&vms, 800.0, 0))
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
    let (mut balancer, vms) = (Balancer::default(), vms(1));
    assert!(balancer.assign(&vms, 800.0, 0).is_some());
    assert!(balancer.assign(&vms, 18.0, 0).is_some());
}

#[test]
fn an_answered_request_no_longer_counts() {
    let (mut balancer, vms) = (Balancer::default(), vms(1));
    let assignment = balancer.assign(&vms, 800.0, 0).expect("there are VMs");
    balancer.completed(&assignment);
    let next = balancer.assign(&vms, 18.0, 0).expect("there are VMs");
    assert!(next.queued_ms < 1.0);
}

/// A VM that had ended appeared idle and was assigned the next requests, each of which waited for
/// 1.5 s.
#[test]
fn an_unresponsive_vm_is_excluded_for_a_while() {
    let mut balancer = Balancer::default();
    let vms: Vec<Arc<str>> = vec!["a".into(), "b".into()];
    let assignment = balancer.assign(&vms, 10.0, 0).expect("an assignment");
    balancer.failed(&assignment, 0);
    for _ in 0..5 {
        let next = balancer.assign(&vms, 10.0, 100).expect("an assignment");
        assert_ne!(next.vm, assignment.vm);
    }
    let later = balancer.assign(&vms, 10.0, 2_100).expect("an assignment");
    assert_eq!(later.vm, assignment.vm);
}
