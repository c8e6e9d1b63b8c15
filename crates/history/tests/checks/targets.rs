//! Checks of what targets observe: capacity, single execution, draining.

use rosemaryworks_history::Event;
use rosemaryworks_history::record::{LeaseEnd, Refusal};

use crate::common::*;

#[test]
fn capacity_of_workers() {
    // Guards against leases whose total size exceeds the VM's capacity.
    let ended = ended("cpu-0", "dala/j/0", 1, LeaseEnd::Succeeded);
    let first = [
        worker("cpu-0"),
        granted("cpu-0", "dala/j/0", 1),
        granted("cpu-0", "dala/j/1", 1),
    ];
    let third = granted("cpu-0", "dala/j/2", 1);
    let bad = [&first[..], std::slice::from_ref(&third)].concat();
    let good = [&first[..], &[ended, third]].concat();
    assert_distinguishes("capacity", history(bad), history(good));
}

#[test]
fn capacity_counts_rejected_work() {
    // Guards against an owner that relies on the worker to reject work beyond its capacity.
    let rejected_lease = |reason| Event::LeaseRefused {
        worker: "cpu-0".into(),
        task: "dala/j/1".into(),
        attempt: 1,
        epoch: 1,
        reason,
    };
    let first = [worker("cpu-0"), granted("cpu-0", "dala/j/0", 1)];
    let bad = [&first[..], &[rejected_lease(Refusal::Full)]].concat();
    let good = [&first[..], &[rejected_lease(Refusal::Fenced)]].concat();
    assert_distinguishes("capacity", history(bad), history(good));
    let bad = vec![instance(), rejected(Refusal::Full)];
    let good = vec![instance(), arrived("r-1", 1), rejected(Refusal::Leaving)];
    assert_distinguishes("capacity", history(bad), history(good));
}

#[test]
fn capacity_of_instances() {
    // Guards against more requests than slots and more connections than the instance accepts.
    let bad = vec![instance(), arrived("r-1", 1), arrived("r-2", 1)];
    let good = vec![
        instance(),
        arrived("r-1", 1),
        served("r-1", 1),
        arrived("r-2", 1),
    ];
    assert_distinguishes("capacity", history(bad), history(good));
    let connected = || Event::Connected {
        instance: "booking-0".into(),
        open: 1,
    };
    let closed = Event::Disconnected {
        instance: "booking-0".into(),
        open: 0,
    };
    let bad = vec![instance(), connected(), connected()];
    let good = vec![instance(), connected(), closed, connected()];
    assert_distinguishes("capacity", history(bad), history(good));
}

#[test]
fn one_place() {
    // Guards against placing a task again before its previous lease has ended.
    let first = granted("cpu-0", "dala/j/0", 1);
    let second = granted("cpu-1", "dala/j/0", 2);
    let bad = vec![first.clone(), second.clone()];
    let good = vec![
        first,
        ended("cpu-0", "dala/j/0", 1, LeaseEnd::Lapsed),
        second,
    ];
    assert_distinguishes("one place", history(bad), history(good));
}

#[test]
fn leaving_targets() {
    // Guards against new work later than 3 s after the first drain notice.
    let work = || granted("cpu-0", "dala/j/0", 1);
    let bad = vec![at(1_000, leaving("cpu-0")), at(4_100, work())];
    let good = vec![at(1_000, leaving("cpu-0")), at(3_900, work())];
    assert_distinguishes("leaving", bad, good);
    let returned = Event::Returned {
        target: "cpu-0".into(),
    };
    let bad = vec![
        at(1, leaving("booking-0")),
        at(3_100, rejected(Refusal::Leaving)),
    ];
    let good = vec![
        at(1, leaving("cpu-0")),
        at(3_000, returned),
        at(4_000, work()),
    ];
    assert_distinguishes("leaving", bad, good);
}
