//! Linearizability check of the contract register.

use rosemaryworks_history::Event;
use rosemaryworks_history::record::{Operation, Reply};

use crate::common::*;

fn publish(call: u64, expected: u64) -> Event {
    let mark = call as u32;
    called(call, Operation::Publish { expected, mark })
}

fn called(call: u64, operation: Operation) -> Event {
    Event::OperatorCalled {
        call,
        contract: "dala".into(),
        operation,
    }
}

fn replied(call: u64, reply: Reply) -> Event {
    Event::OperatorTold { call, told: reply }
}

fn shown(call: u64, revision: u64, mark: u32) -> Event {
    replied(call, Reply::Shown { revision, mark })
}

const ACCEPTED: Reply = Reply::Accepted { revision: 1 };
const CONFLICT: Reply = Reply::Conflict { current: Some(1) };

#[test]
fn two_winners_of_a_race() {
    // Guards against reporting success to two operators that publish the same revision.
    let race = |second| {
        history(vec![
            publish(1, 0),
            publish(2, 0),
            replied(1, ACCEPTED),
            replied(2, second),
        ])
    };
    assert_distinguishes("register linearizable", race(ACCEPTED), race(CONFLICT));
}

#[test]
fn read_after_publish() {
    // Guards against a read that misses a publish which was accepted before the read began.
    let read = |revision, mark| {
        history(vec![
            publish(1, 0),
            replied(1, ACCEPTED),
            called(2, Operation::Read),
            shown(2, revision, mark),
        ])
    };
    assert_distinguishes("register linearizable", read(0, 0), read(1, 1));
}

#[test]
fn unknown_publish() {
    // Guards against a publish with an unknown result that becomes visible and then disappears.
    let run = |last: (u64, u32)| {
        history(vec![
            publish(1, 0),
            replied(1, Reply::Unknown),
            called(2, Operation::Read),
            shown(2, 1, 1),
            called(3, Operation::Read),
            shown(3, last.0, last.1),
        ])
    };
    assert_distinguishes("register linearizable", run((0, 0)), run((1, 1)));
}

#[test]
fn refused_publish() {
    // Guards against a publish that is reported as refused but takes effect.
    let run = |mark| {
        history(vec![
            publish(1, 0),
            replied(1, Reply::Refused),
            publish(2, 0),
            replied(2, ACCEPTED),
            called(3, Operation::Read),
            shown(3, 1, mark),
        ])
    };
    assert_distinguishes("register linearizable", run(1), run(2));
}
