//! Guards against commands that reach a relay changed, or with the times of another clock.

use std::sync::Arc;

use quickcheck::{Arbitrary, Gen, quickcheck};
use rosemaryworks_wire::command::{Command, Outcome};
use rosemaryworks_wire::workflow::Message as Workflow;
use rosemaryworks_wire::{Frame, Kind, Message};
use rosemaryworks_workflow::{
    Finished, Id, Key, Order, Outcome as Ending, Pace, Refusal, Renewal, RenewalFault, Report,
    Running, StartOutcome, StepKey, Stop,
};

fn text(random: &mut Gen) -> Arc<str> {
    String::arbitrary(random).into()
}

fn key(random: &mut Gen) -> Key {
    Key {
        step: StepKey {
            job: Id(u64::arbitrary(random)),
            occurrence: u32::arbitrary(random),
            step: u16::arbitrary(random),
        },
        index: u32::arbitrary(random),
    }
}

fn optional_text(random: &mut Gen) -> Option<Arc<str>> {
    bool::arbitrary(random).then(|| text(random))
}

fn stop(random: &mut Gen) -> Stop {
    Stop {
        worker: text(random),
        address: std::net::SocketAddr::arbitrary(random),
        key: key(random),
        attempt: u32::arbitrary(random),
        token: u64::arbitrary(random),
    }
}

fn order(random: &mut Gen) -> Order {
    let stop = stop(random);
    Order {
        worker: stop.worker,
        address: stop.address,
        key: stop.key,
        attempt: stop.attempt,
        text: text(random),
        deadline_ms: u64::arbitrary(random),
        token: stop.token,
        checkpoint: optional_text(random),
        permit: optional_text(random),
        placed_ms: 0,
    }
}

fn command(random: &mut Gen) -> Command {
    match u8::arbitrary(random) % 4 {
        0 => Command::Stop(stop(random)),
        1 => Command::Pace(Pace {
            run: stop(random),
            percent: u32::arbitrary(random),
        }),
        2 => Command::Start {
            order: order(random),
            timeout_ms: u64::arbitrary(random),
        },
        _ => Command::Renew {
            worker: text(random),
            renewal: Renewal {
                address: std::net::SocketAddr::arbitrary(random),
                acknowledged: u64::arbitrary(random),
                deadline_ms: Option::arbitrary(random),
                token: u64::arbitrary(random),
                wait_ms: u64::arbitrary(random),
            },
            wait_ms: u64::arbitrary(random),
            timeout_ms: u64::arbitrary(random),
        },
    }
}

fn report(random: &mut Gen) -> Report {
    let finished = |random: &mut Gen| Finished {
        number: u64::arbitrary(random),
        key: key(random),
        attempt: u32::arbitrary(random),
        how: Ending::Failed,
        checkpoint: optional_text(random),
    };
    let running = |random: &mut Gen| Running {
        key: key(random),
        attempt: u32::arbitrary(random),
        checkpoint: optional_text(random),
        percent: u32::arbitrary(random),
        metric: f64::from(u32::arbitrary(random)) / 8.0,
    };
    let count = u8::arbitrary(random) % 3;
    Report {
        incarnation: u64::arbitrary(random),
        clock_ms: u64::arbitrary(random),
        finished: (0..count).map(|_| finished(random)).collect(),
        may_have_more_ends: bool::arbitrary(random),
        running: (0..count).map(|_| running(random)).collect(),
    }
}

fn outcome(random: &mut Gen) -> Outcome {
    match u8::arbitrary(random) % 6 {
        0 => Outcome::Declined,
        1 => Outcome::Taken(bool::arbitrary(random)),
        2 => Outcome::Renewed(Err(RenewalFault::WrongInstance)),
        3 => Outcome::Renewed(Ok(report(random))),
        4 => Outcome::Started(StartOutcome::Refused(Refusal::Permit)),
        _ => Outcome::Started(StartOutcome::Accepted {
            clock_ms: u64::arbitrary(random),
        }),
    }
}

#[derive(Clone, Debug)]
struct ArbitraryMessage(Workflow);

impl Arbitrary for ArbitraryMessage {
    fn arbitrary(random: &mut Gen) -> Self {
        let count = u64::arbitrary(random) % 5;
        Self(match bool::arbitrary(random) {
            true => Workflow::Commands((0..count).map(|n| (n, command(random))).collect()),
            false => Workflow::Outcomes((0..count).map(|n| (n, outcome(random))).collect()),
        })
    }
}

quickcheck! {
    fn commands_and_outcomes_survive_a_round_trip(input: ArbitraryMessage) -> bool {
        let frame = Frame { id: 7, kind: Kind::Notice, message: Message::Workflow(input.0) };
        let bytes = frame.encode().expect("a frame");
        Frame::decode(&bytes).as_ref() == Ok(&frame)
    }
}

/// The time of placement is on the owner's clock, which a relay must not take for its own.
#[test]
fn the_time_of_placement_stays_with_the_owner() {
    let sent = Order {
        placed_ms: 12_345,
        ..order(&mut Gen::new(8))
    };
    let command = Command::Start {
        order: sent,
        timeout_ms: 80,
    };
    let message = Message::Workflow(Workflow::Commands(vec![(1, command)]));
    let frame = Frame {
        id: 1,
        kind: Kind::Notice,
        message,
    };
    let decoded = Frame::decode(&frame.encode().expect("a frame")).expect("the same frame");
    let Message::Workflow(Workflow::Commands(commands)) = decoded.message else {
        panic!("not commands");
    };
    let Some((1, Command::Start { order, .. })) = commands.first() else {
        panic!("not a start");
    };
    assert_eq!(order.placed_ms, 0);
}
