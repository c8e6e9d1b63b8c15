//! Tests of the routing kernel, each for a single failure.

#[path = "support/cell.rs"]
mod cell;
#[path = "support/host.rs"]
mod host;

use rosemaryworks_core::outcome::{Finish, NotRun, Unknown};
use rosemaryworks_core::routing::{Action, Event, Key, Outstanding, Start};
use rosemaryworks_core::target::State;
use rosemaryworks_core::timing::{DEADLINE_MAX_MS, RETRY_WINDOW_MS};

use cell::{contract, request, start};
use host::{Host, grant_of, limits, listed, refusal_of, unknown_of};

const LEAVING: State = State::Leaving { within_ms: None };

/// Guards against a ninth request at an instance with 8 slots, and a free slot that is not reused.
#[test]
fn a_full_instance_gets_the_next_request_when_a_slot_is_free() {
    let mut host = Host::new(start(true, &["g"]), &[("a1", State::Live)]);
    let slots = host.grants(9);
    assert_eq!(slots.len(), 8);
    let actions = host.finish(slots[0].0, Finish::Answered, 20);
    assert!(grant_of(&actions).is_some());
}

/// Guards against reuse of a lost request's slot while the instance may still run the request.
#[test]
fn a_lost_slot_stays_taken_until_the_instance_reports_it_free() {
    let mut host = Host::new(start(true, &["g"]), &[("a1", State::Live)]);
    let slots = host.grants(8);
    let actions = host.finish(slots[0].0, Finish::Lost, 20);
    assert!(actions.contains(&Action::Probe("a1".into())));
    host.report_occupancy("a1", Some(7));
    assert_eq!(
        host.taken("a1"),
        8,
        "the count was too early to resolve the slot"
    );
    host.wait(3_000);
    host.report_occupancy("a1", Some(7));
    assert_eq!(host.taken("a1"), 8, "the lost request may be one of the 7");
    host.wait(3_000);
    host.report_occupancy("a1", Some(0));
    assert_eq!(host.taken("a1"), 7);
}

/// Guards against a lost slot that is never freed because the instance doesn't report its
/// occupancy.
#[test]
fn a_lost_slot_is_freed_after_the_longest_deadline() {
    let mut host = Host::new(start(true, &["g"]), &[("a1", State::Live)]);
    let slots = host.grants(1);
    host.finish(slots[0].0, Finish::Lost, 20);
    host.wait(DEADLINE_MAX_MS - 100);
    assert_eq!(host.taken("a1"), 1);
    host.wait(200);
    assert_eq!(host.taken("a1"), 0);
}

/// Guards against grants to an instance whose connections fail.
#[test]
fn an_instance_with_failed_connections_waits_for_a_probe() {
    let mut host = Host::new(start(true, &["g"]), &[("a1", State::Live)]);
    let slots = host.grants(1);
    host.finish(slots[0].0, Finish::NotSent, 0);
    assert_eq!(grant_of(&host.request_grant("x", true).1), None);
    let actions = host.report_occupancy("a1", Some(0));
    assert!(grant_of(&actions).is_some());
}

/// Guards against an instance that stays unused after a failure because it doesn't report its
/// occupancy.
#[test]
fn an_instance_without_occupancy_gets_one_trial_request() {
    let mut host = Host::new(start(true, &["g"]), &[("a1", State::Live)]);
    let slots = host.grants(1);
    host.finish(slots[0].0, Finish::NotSent, 0);
    host.report_occupancy("a1", None);
    host.wait(500);
    let trials = host.grants(2);
    assert_eq!(trials.len(), 1);
    let actions = host.finish(trials[0].0, Finish::Answered, 20);
    assert!(grant_of(&actions).is_some());
}

/// Guards against new requests at a leaving instance, also in a slot reserved before it was
/// leaving.
#[test]
fn a_leaving_instance_gets_no_grant() {
    let mut host = Host::new(start(true, &["g"]), &[("a1", State::Live)]);
    let (key, _) = host.request_grant("x", false);
    host.feed(listed(&[("a1", LEAVING), ("b1", State::Live)]));
    let actions = host.feed(Event::IntentWritten(key));
    assert_eq!(grant_of(&actions).map(|(_, name)| name), Some("b1".into()));
    host.feed(listed(&[("a1", LEAVING)]));
    assert_eq!(
        refusal_of(&host.request_grant("y", true).1),
        Some(NotRun::NoInstance)
    );
}

/// Guards against a second dispatch of a non-idempotent request.
#[test]
fn an_id_with_an_intent_is_never_granted_again() {
    let mut host = Host::new(start(true, &["g"]), &[("a1", State::Live)]);
    let (key, actions) = host.request_grant("x", false);
    assert!(matches!(actions[..], [Action::WriteIntent { .. }]));
    let again = host.request_grant("x", false).1;
    assert_eq!(unknown_of(&again), Some(Unknown::AlreadyDispatched));
    let actions = host.feed(Event::IntentWritten(key));
    let slot = grant_of(&actions).unwrap().0;
    host.finish(slot, Finish::Answered, 5);
    let again = host.request_grant("x", false).1;
    assert_eq!(unknown_of(&again), Some(Unknown::AlreadyDispatched));
}

/// Guards against an id that stays blocked although its intent was never stored.
#[test]
fn a_failed_intent_leaves_the_id_usable() {
    let mut host = Host::new(start(true, &["g"]), &[("a1", State::Live)]);
    let (key, _) = host.request_grant("x", false);
    let actions = host.feed(Event::IntentFailed(key));
    assert_eq!(refusal_of(&actions), Some(NotRun::LogUnavailable));
    assert_eq!(host.taken("a1"), 0);
    let actions = host.request_grant("x", false).1;
    assert!(matches!(actions[..], [Action::WriteIntent { .. }]));
}

/// Guards against dispatching two queued slot requests with one id, and against rejecting the later
/// one as not run while the earlier one may still run.
#[test]
fn one_of_two_queued_slot_requests_with_one_id_is_dispatched() {
    let mut host = Host::new(start(true, &["g"]), &[("a1", State::Live)]);
    let slots = host.grants(8);
    host.request_grant("x", false);
    let second = host.request_grant("x", false).1;
    assert_eq!(unknown_of(&second), Some(Unknown::EarlierAttempt));
    let first = host.finish(slots[0].0, Finish::Answered, 20);
    assert!(matches!(first[..], [Action::WriteIntent { .. }]));
    assert_eq!(host.finish(slots[1].0, Finish::Answered, 20), Vec::new());
    let third = host.request_grant("x", false).1;
    assert_eq!(unknown_of(&third), Some(Unknown::AlreadyDispatched));
}

/// Guards against an id that stays blocked after its queued slot request was withdrawn.
#[test]
fn a_withdrawn_queued_slot_request_leaves_the_id_usable() {
    let mut host = Host::new(start(true, &["g"]), &[("a1", State::Live)]);
    let slots = host.grants(8);
    let (key, _) = host.request_grant("x", false);
    host.feed(Event::Withdrawn(key));
    assert_eq!(unknown_of(&host.request_grant("x", false).1), None);
    let actions = host.finish(slots[0].0, Finish::Answered, 20);
    assert!(matches!(actions[..], [Action::WriteIntent { .. }]));
}

/// Guards against a grant after a withdrawal, a leaked slot, and reuse of an id whose intent may be
/// recorded.
#[test]
fn a_withdrawn_slot_request_is_not_granted_and_frees_its_slot() {
    let mut host = Host::new(start(true, &["g"]), &[("a1", State::Live)]);
    let (key, _) = host.request_grant("x", false);
    host.feed(Event::Withdrawn(key.clone()));
    assert_eq!(host.taken("a1"), 0);
    assert_eq!(host.feed(Event::IntentWritten(key)), Vec::new());
    let again = host.request_grant("x", false).1;
    assert_eq!(unknown_of(&again), Some(Unknown::AlreadyDispatched));
    let (key, _) = host.request_grant("y", true);
    assert_eq!(host.taken("a1"), 1);
    host.feed(Event::Withdrawn(key));
    assert_eq!(host.taken("a1"), 0);
}

/// Guards against attributing the intent of a dead gateway's slot request to a new one with the
/// same number.
#[test]
fn a_reused_number_is_not_granted_by_an_earlier_intent() {
    let mut host = Host::new(start(true, &["g"]), &[("a1", State::Live)]);
    let (key, _) = host.request_grant("x", false);
    host.feed(Event::GatewayLost("g".into()));
    host.next = 0;
    let (_, actions) = host.request_grant("y", false);
    assert!(refusal_of(&actions).is_some());
    assert_eq!(host.feed(Event::IntentWritten(key)), Vec::new());
}

/// Guards against callers that wait for a response which can't arrive in time.
#[test]
fn a_slot_request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let mut host = Host::new(start(true, &["g"]), &[("a1", State::Live)]);
    for _ in 0..20 {
        let slots = host.grants(1);
        host.wait(100);
        host.finish(slots[0].0, Finish::Answered, 100);
    }
    host.grants(8);
    let actions = host.request_grant_with(request("c", "x"), true, 50, &[]).1;
    assert_eq!(refusal_of(&actions), Some(NotRun::Deadline));
    let (key, actions) = host.request_grant_with(request("c", "x"), true, 400, &[]);
    assert_eq!(actions, Vec::new());
    let reason = NotRun::Deadline;
    assert!(host.wait(401).contains(&Action::Refuse { key, reason }));
}

/// Guards against rejecting all requests for ever because of run times learned while instances were
/// slow.
#[test]
fn a_request_that_can_run_at_once_is_granted() {
    let mut host = Host::new(start(true, &["g"]), &[("a1", State::Live)]);
    for _ in 0..20 {
        let slots = host.grants(1);
        host.finish(slots[0].0, Finish::Answered, 5_000);
    }
    let actions = host
        .request_grant_with(request("c", "x"), true, 1_000, &[])
        .1;
    assert!(grant_of(&actions).is_some());
}

/// Guards against a contract that exceeds its concurrency or its queue.
#[test]
fn concurrency_and_queue_are_bounded() {
    let mut host = Host::new(start(true, &["g"]), &[("a1", State::Live)]);
    host.feed(contract("c", limits(1_000, 2, 1)));
    assert_eq!(host.grants(2).len(), 2);
    assert_eq!(host.request_grant("x", true).1, Vec::new());
    assert_eq!(
        refusal_of(&host.request_grant("y", true).1),
        Some(NotRun::Concurrency)
    );
}

/// Guards against a contract that exceeds its rate.
#[test]
fn the_rate_is_bounded() {
    let mut host = Host::new(start(true, &["g"]), &[("a1", State::Live)]);
    host.feed(contract("c", limits(4, 100, 0)));
    assert_eq!(host.grants(6).len(), 4);
    assert_eq!(
        refusal_of(&host.request_grant("x", true).1),
        Some(NotRun::Rate)
    );
    host.wait(500);
    assert_eq!(host.grants(4).len(), 2);
}

/// Guards against requests without a contract for the service.
#[test]
fn an_unknown_contract_is_refused() {
    let mut host = Host::new(start(true, &["g"]), &[("a1", State::Live)]);
    let actions = host
        .request_grant_with(request("other", "x"), true, 1_000, &[])
        .1;
    assert_eq!(refusal_of(&actions), Some(NotRun::NotInContract));
}

/// Guards against a retry at the instance that failed, and an availability zone that gets no
/// requests.
#[test]
fn failed_instances_are_excluded_and_zones_are_balanced() {
    let mut host = Host::new(
        start(true, &["g"]),
        &[("a1", State::Live), ("b1", State::Live)],
    );
    let actions = host
        .request_grant_with(request("c", "x"), true, 1_000, &["a1"])
        .1;
    assert_eq!(grant_of(&actions).unwrap().1, "b1".into());
    let actions = host
        .request_grant_with(request("c", "x"), true, 1_000, &["a1", "b1"])
        .1;
    assert_eq!(refusal_of(&actions), Some(NotRun::NoInstance));
    host.grants(3);
    assert_eq!((host.taken("a1"), host.taken("b1")), (2, 2));
}

/// Guards against grants before a new owner knows the occupancy of an instance.
#[test]
fn a_new_owner_waits_for_the_occupancy() {
    let mut host = Host::new(start(false, &["g"]), &[("a1", State::Live)]);
    assert_eq!(host.steps, vec![Action::Probe("a1".into())]);
    assert_eq!(host.grants(1), Vec::new());
    let actions = host.report_occupancy("a1", Some(6));
    assert!(grant_of(&actions).is_some());
    assert_eq!(host.grants(3).len(), 1);
}

/// Guards against slots of earlier epochs that are freed too early, or never, when instances don't
/// report their occupancy.
#[test]
fn unknown_slots_stay_taken_unless_every_gateway_answers() {
    let mut silent = Host::new(start(false, &["g"]), &[("a1", State::Live)]);
    silent.report_occupancy("a1", None);
    silent.wait(DEADLINE_MAX_MS - 100);
    assert_eq!(silent.grants(1), Vec::new());
    silent.wait(200);
    assert_eq!(silent.grants(1).len(), 1);

    let mut host = Host::new(start(false, &["g"]), &[("a1", State::Live)]);
    host.report_occupancy("a1", None);
    host.feed(Event::Surveyed {
        gateway: "g".into(),
        outstanding: (0..7).map(outstanding).collect(),
    });
    assert_eq!(host.grants(2).len(), 1);
    let (key, finish) = (outstanding(0).key, Finish::Answered);
    let actions = host.feed(Event::OutstandingFinished { key, finish });
    assert!(grant_of(&actions).is_some());
    let again = host.request_grant("o3", false).1;
    assert_eq!(unknown_of(&again), Some(Unknown::AlreadyDispatched));
}

fn outstanding(number: u64) -> Outstanding {
    Outstanding {
        key: Key {
            gateway: "g".into(),
            number: 1_000 + number,
        },
        request: request("c", &format!("o{number}")),
        idempotent: false,
        instance: "a1".into(),
    }
}

/// Guards against slots that stay taken after a takeover although every request was accounted for.
#[test]
fn requests_of_earlier_epochs_are_not_counted_twice() {
    let mut host = Host::new(start(false, &["g"]), &[("a1", State::Live)]);
    host.feed(Event::Surveyed {
        gateway: "g".into(),
        outstanding: (0..4).map(outstanding).collect(),
    });
    host.report_occupancy("a1", Some(4));
    host.wait(600);
    assert_eq!(host.taken("a1"), 4);
}

/// Guards against repeating a dispatch that an earlier owner could not record.
#[test]
fn unrecorded_dispatches_make_non_idempotent_requests_unknown() {
    let start = Start {
        unrecorded: true,
        remembered: vec![(request("c", "old"), 1_000)],
        ..start(true, &["g"])
    };
    let mut host = Host::new(start, &[("a1", State::Live)]);
    assert_eq!(
        unknown_of(&host.request_grant("x", false).1),
        Some(Unknown::Takeover)
    );
    assert!(grant_of(&host.request_grant("x", true).1).is_some());
    host.wait(RETRY_WINDOW_MS);
    let actions = host.request_grant("x", false).1;
    assert!(matches!(actions[..], [Action::WriteIntent { .. }]));
    let again = host.request_grant("old", false).1;
    assert_eq!(unknown_of(&again), Some(Unknown::AlreadyDispatched));
}

/// Guards against reuse of a dead gateway's slots while its requests run.
#[test]
fn slots_of_a_lost_gateway_stay_taken() {
    let mut host = Host::new(start(true, &["g"]), &[("a1", State::Live)]);
    let slots = host.grants(8);
    host.request_grant("queued", true);
    host.feed(Event::GatewayLost("g".into()));
    assert_eq!(host.taken("a1"), 8);
    host.wait(2_000);
    host.report_occupancy("a1", Some(3));
    host.wait(2_000);
    host.report_occupancy("a1", Some(3));
    assert_eq!(host.taken("a1"), 3);
    let actions = host.finish(slots[0].0, Finish::Answered, 2_000);
    assert_eq!(
        grant_of(&actions),
        None,
        "the queued slot request was dropped"
    );
    assert_eq!(host.taken("a1"), 3);
}

/// Guards against long requests that take every slot while short ones wait.
#[test]
fn long_requests_leave_slots_to_short_ones() {
    let long = |host: &mut Host| {
        host.request_grant_with(request("long", "x"), true, 60_000, &[])
            .1
    };
    let mut host = Host::new(start(true, &["g"]), &[("a1", State::Live)]);
    host.feed(contract("long", limits(1_000, 1_000, 1_000)));
    for run_ms in [10, 10, 10, 10, 10, 10, 10, 10, 10, 10] {
        let slot = host.grants(1)[0].0;
        host.finish(slot, Finish::Answered, run_ms);
        let slot = grant_of(&long(&mut host)).unwrap().0;
        host.finish(slot, Finish::Answered, 1_000);
    }
    host.wait(40);
    let taken = (0..8).filter_map(|_| grant_of(&long(&mut host))).count();
    assert!(taken < 8, "long requests took all slots");
    assert_eq!(host.grants(1).len(), 1);
}

/// Guards against freeing the slot of a request that its gateway lost, or whose gateway was
/// restarted, before the gateway answered the survey. Found by the test with random events.
#[test]
fn a_survey_that_misses_requests_frees_nothing() {
    let lost = Event::OutstandingFinished {
        key: outstanding(0).key,
        finish: Finish::Lost,
    };
    for event in [lost, Event::GatewayLost("g".into())] {
        let mut host = Host::new(start(false, &["g"]), &[("a1", State::Live)]);
        host.feed(event);
        host.report_occupancy("a1", None);
        host.feed(Event::Surveyed {
            gateway: "g".into(),
            outstanding: Vec::new(),
        });
        assert_eq!(host.grants(1), Vec::new());
    }
}

/// Guards against slots that stay taken for a minute after a takeover although the instance's count
/// consists of requests that gateways report on.
#[test]
fn reported_requests_account_for_the_count_of_an_instance() {
    let mut host = Host::new(start(false, &["g"]), &[("a1", State::Live)]);
    host.report_occupancy("a1", Some(2));
    let slots = host.grants(6);
    assert_eq!(host.taken("a1"), 8);
    let mut probed = host.wait(1_000);
    probed.retain(|action| *action == Action::Probe("a1".into()));
    assert_eq!(probed.len(), 1);
    host.report_occupancy("a1", Some(6));
    assert_eq!(host.taken("a1"), 8);
    for (slot, _) in &slots {
        host.finish(*slot, Finish::Answered, 1_000);
    }
    assert_eq!(host.taken("a1"), 0);
}
