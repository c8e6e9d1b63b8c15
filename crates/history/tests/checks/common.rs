//! Builders of events and histories.

use rosemaryworks_core::size::Size;
use rosemaryworks_history::record::{LeaseEnd, Outcome, Refusal, Request};
use rosemaryworks_history::{Event, Record, check};

/// Asserts that `bad` violates the condition and that `good` meets it with some checked event.
pub(crate) fn assert_distinguishes(condition: &str, bad: Vec<Record>, good: Vec<Record>) {
    let finding = check::one(condition, &bad);
    assert!(
        !finding.violations.is_empty(),
        "check {condition:?} misses the violation"
    );
    let finding = check::one(condition, &good);
    assert!(finding.holds(), "check {condition:?}: {finding:?}");
}

/// Assigns times to the events, 1 ms apart, starting at 1 ms.
pub(crate) fn history(events: Vec<Event>) -> Vec<Record> {
    let timed = events.into_iter().zip(1..);
    timed.map(|(event, ms)| at(ms, event)).collect()
}

pub(crate) fn at(ms: u64, event: Event) -> Record {
    let at_us = ms * 1_000;
    Record { at_us, event }
}

pub(crate) fn worker(name: &str) -> Event {
    let (worker, size) = (name.into(), Size::new(2_000, 1_000));
    Event::WorkerStarted { worker, size }
}

pub(crate) fn granted(worker: &str, task: &str, attempt: u32) -> Event {
    Event::LeaseGranted {
        worker: worker.into(),
        task: task.into(),
        attempt,
        epoch: 1,
        size: Size::new(1_000, 100),
    }
}

pub(crate) fn ended(worker: &str, task: &str, attempt: u32, end: LeaseEnd) -> Event {
    let (worker, task) = (worker.into(), task.into());
    Event::LeaseEnded {
        worker,
        task,
        attempt,
        end,
    }
}

pub(crate) fn instance() -> Event {
    Event::InstanceStarted {
        instance: "booking-0".into(),
        slots: 1,
        connections: 1,
    }
}

pub(crate) fn request(id: &str, attempt: u32) -> Request {
    Request {
        contract: "dala".into(),
        id: id.into(),
        attempt,
    }
}

pub(crate) fn arrived(id: &str, attempt: u32) -> Event {
    Event::Arrived {
        instance: "booking-0".into(),
        request: request(id, attempt),
        busy: 1,
    }
}

pub(crate) fn served(id: &str, attempt: u32) -> Event {
    Event::Served {
        instance: "booking-0".into(),
        request: request(id, attempt),
        busy: 0,
    }
}

pub(crate) fn rejected(reason: Refusal) -> Event {
    Event::Rejected {
        instance: "booking-0".into(),
        request: request("r-9", 1),
        reason,
    }
}

pub(crate) fn called(call: u64, id: &str, attempt: u32, idempotent: bool) -> Event {
    Event::Called {
        call,
        process: "gateway-0".into(),
        request: request(id, attempt),
        idempotent,
        token: format!("token-{call}").into(),
        length: 100,
    }
}

pub(crate) fn answered(call: u64, outcome: Outcome) -> Event {
    Event::Answered {
        call,
        outcome,
        token: format!("token-{call}").into(),
        length: 100,
        intact: true,
        reason: "".into(),
    }
}

pub(crate) fn leaving(target: &str) -> Event {
    let target = target.into();
    Event::Leaving { target }
}

pub(crate) fn fault(name: &str, target: &str, began: bool) -> Event {
    let (name, target) = (name.into(), target.into());
    Event::Fault {
        name,
        target,
        began,
    }
}
