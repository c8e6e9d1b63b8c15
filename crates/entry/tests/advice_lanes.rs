//! Guards against short urgent questions that wait behind long ones on every VM.

use std::sync::Arc;

use rosemaryworks_entry::advice_lanes::Lanes;

fn vms(count: usize) -> Vec<Arc<str>> {
    (0..count)
        .map(|index| format!("vm-{index}").into())
        .collect()
}

#[test]
fn short_questions_never_wait_behind_a_crowd_of_long_ones() {
    let (mut lanes, vms) = (Lanes::default(), vms(6));
    for _ in 0..40 {
        lanes.choose(&vms, 800.0, 0);
    }
    let turn = lanes.choose(&vms, 18.0, 0).expect("there are VMs");
    assert!(turn.before_ms < 1.0, "waits {} ms", turn.before_ms);
}

#[test]
fn long_questions_spread_over_the_other_vms() {
    let (mut lanes, vms) = (Lanes::default(), vms(6));
    let turns: Vec<_> = (0..4)
        .filter_map(|_| lanes.choose(&vms, 800.0, 0))
        .collect();
    assert_eq!(turns.len(), 4);
    assert!(turns.iter().all(|turn| turn.before_ms < 1.0));
}

#[test]
fn a_single_vm_asks_everything() {
    let (mut lanes, vms) = (Lanes::default(), vms(1));
    assert!(lanes.choose(&vms, 800.0, 0).is_some());
    assert!(lanes.choose(&vms, 18.0, 0).is_some());
}

#[test]
fn an_answered_question_no_longer_counts() {
    let (mut lanes, vms) = (Lanes::default(), vms(1));
    let turn = lanes.choose(&vms, 800.0, 0).expect("there are VMs");
    lanes.ended(&turn);
    let next = lanes.choose(&vms, 18.0, 0).expect("there are VMs");
    assert!(next.before_ms < 1.0);
}

/// A VM that is gone looked idle and drew the next questions, each of which waited for 1.5 s.
#[test]
fn a_vm_that_gave_no_answer_is_left_alone_for_a_while() {
    let mut lanes = Lanes::default();
    let vms: Vec<Arc<str>> = vec!["a".into(), "b".into()];
    let turn = lanes.choose(&vms, 10.0, 0).expect("a turn");
    lanes.failed(&turn, 0);
    for _ in 0..5 {
        let next = lanes.choose(&vms, 10.0, 100).expect("a turn");
        assert_ne!(next.vm, turn.vm);
    }
    let later = lanes.choose(&vms, 10.0, 2_100).expect("a turn");
    assert_eq!(later.vm, turn.vm);
}
