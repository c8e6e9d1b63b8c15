//! Focused tests of the routing kernel, one failure each.

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

/// Guards against a ninth request at an instance with 8 slots, and a slot not reused when free.
#[test]
fn a_full_instance_gets_the_next_request_when_a_slot_is_free() {
    let mut host = Host::new(start(true, &["g"]), &[("a1", State::Live)]);
    let slots = host.grants(9);
    assert_eq!(slots.len(), 8);
    let steps = host.finish(slots[0].0, Finish::Answered, 20);
    assert!(grant_of(&steps).is_some());
}

/// Guards against a lost request's slot being reused while the instance may still run it.
#[test]
fn a_lost_slot_stays_taken_until_the_instance_reports_it_free() {
    let mut host = Host::new(start(true, &["g"]), &[("a1", State::Live)]);
    let slots = host.grants(8);
    let steps = host.finish(slots[0].0, Finish::Lost, 20);
    assert!(steps.contains(&Action::Probe("a1".into())));
    host.report_occupancy("a1", Some(7));
    assert_eq!(host.taken("a1"), 8, "the count was too early to prove it");
    host.wait(3_000);
    host.report_occupancy("a1", Some(7));
    assert_eq!(host.taken("a1"), 8, "the lost request may be one of the 7");
    host.wait(3_000);
    host.report_occupancy("a1", Some(0));
    assert_eq!(host.taken("a1"), 7);
}

/// Guards against a lost slot that is never freed when the instance can't tell its occupancy.
#[test]
fn a_lost_slot_is_free_after_the_longest_deadline() {
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
    let steps = host.report_occupancy("a1", Some(0));
    assert!(grant_of(&steps).is_some());
}

/// Guards against an instance that can't tell its occupancy staying out of use for ever.
#[test]
fn an_instance_that_cannot_tell_is_tried_with_one_request() {
    let mut host = Host::new(start(true, &["g"]), &[("a1", State::Live)]);
    let slots = host.grants(1);
    host.finish(slots[0].0, Finish::NotSent, 0);
    host.report_occupancy("a1", None);
    host.wait(500);
    let tried = host.grants(2);
    assert_eq!(tried.len(), 1);
    let steps = host.finish(tried[0].0, Finish::Answered, 20);
    assert!(grant_of(&steps).is_some());
}

/// Guards against new work on a leaving instance, also for a slot reserved before the notice.
#[test]
fn a_leaving_instance_gets_no_grant() {
    let mut host = Host::new(start(true, &["g"]), &[("a1", State::Live)]);
    let (key, _) = host.request_grant("x", false);
    host.feed(listed(&[("a1", LEAVING), ("b1", State::Live)]));
    let steps = host.feed(Event::IntentWritten(key));
    assert_eq!(grant_of(&steps).map(|(_, name)| name), Some("b1".into()));
    host.feed(listed(&[("a1", LEAVING)]));
    assert_eq!(
        refusal_of(&host.request_grant("y", true).1),
        Some(NotRun::NoInstance)
    );
}

/// Guards against a second dispatch of a non-idempotent request.
#[test]
fn an_intended_id_is_never_granted_again() {
    let mut host = Host::new(start(true, &["g"]), &[("a1", State::Live)]);
    let (key, steps) = host.request_grant("x", false);
    assert!(matches!(steps[..], [Action::WriteIntent { .. }]));
    let again = host.request_grant("x", false).1;
    assert_eq!(unknown_of(&again), Some(Unknown::AlreadyDispatched));
    let steps = host.feed(Event::IntentWritten(key));
    let slot = grant_of(&steps).unwrap().0;
    host.finish(slot, Finish::Answered, 5);
    let again = host.request_grant("x", false).1;
    assert_eq!(unknown_of(&again), Some(Unknown::AlreadyDispatched));
}

/// Guards against an id that stays blocked although its intent was never stored.
#[test]
fn a_failed_intent_leaves_the_id_fresh() {
    let mut host = Host::new(start(true, &["g"]), &[("a1", State::Live)]);
    let (key, _) = host.request_grant("x", false);
    let steps = host.feed(Event::IntentFailed(key));
    assert_eq!(refusal_of(&steps), Some(NotRun::LogUnavailable));
    assert_eq!(host.taken("a1"), 0);
    let steps = host.request_grant("x", false).1;
    assert!(matches!(steps[..], [Action::WriteIntent { .. }]));
}

/// Guards against two queued asks of one id both being dispatched, and against the later one being
/// refused as not run while the earlier one may still run.
#[test]
fn of_two_queued_asks_of_one_id_one_is_dispatched() {
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

/// Guards against an id that stays blocked after its queued ask ended.
#[test]
fn a_withdrawn_queued_ask_leaves_the_id_fresh() {
    let mut host = Host::new(start(true, &["g"]), &[("a1", State::Live)]);
    let slots = host.grants(8);
    let (key, _) = host.request_grant("x", false);
    host.feed(Event::Withdrawn(key));
    assert_eq!(unknown_of(&host.request_grant("x", false).1), None);
    let steps = host.finish(slots[0].0, Finish::Answered, 20);
    assert!(matches!(steps[..], [Action::WriteIntent { .. }]));
}

/// Guards against a grant after a withdrawal, a leaked slot and a forgotten id.
#[test]
fn a_withdrawn_ask_is_not_granted_and_its_slot_is_free() {
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

/// Guards against the written intent of a dead gateway's ask being taken for that of a new ask
/// with the same number.
#[test]
fn a_reused_number_is_not_granted_by_the_intent_of_the_former_ask() {
    let mut host = Host::new(start(true, &["g"]), &[("a1", State::Live)]);
    let (key, _) = host.request_grant("x", false);
    host.feed(Event::GatewayLost("g".into()));
    host.next = 0;
    let (_, steps) = host.request_grant("y", false);
    assert!(refusal_of(&steps).is_some());
    assert_eq!(host.feed(Event::IntentWritten(key)), Vec::new());
}

/// Guards against callers waiting for an answer that can't come in time.
#[test]
fn an_ask_that_cannot_meet_its_deadline_is_refused_at_once() {
    let mut host = Host::new(start(true, &["g"]), &[("a1", State::Live)]);
    for _ in 0..20 {
        let slots = host.grants(1);
        host.wait(100);
        host.finish(slots[0].0, Finish::Answered, 100);
    }
    host.grants(8);
    let steps = host.request_grant_with(request("c", "x"), true, 50, &[]).1;
    assert_eq!(refusal_of(&steps), Some(NotRun::Deadline));
    let (key, steps) = host.request_grant_with(request("c", "x"), true, 400, &[]);
    assert_eq!(steps, Vec::new());
    let reason = NotRun::Deadline;
    assert!(host.wait(401).contains(&Action::Refuse { key, reason }));
}

/// Guards against run times learned while instances were slow that refuse all requests for ever.
#[test]
fn a_request_that_can_run_at_once_is_tried() {
    let mut host = Host::new(start(true, &["g"]), &[("a1", State::Live)]);
    for _ in 0..20 {
        let slots = host.grants(1);
        host.finish(slots[0].0, Finish::Answered, 5_000);
    }
    let steps = host
        .request_grant_with(request("c", "x"), true, 1_000, &[])
        .1;
    assert!(grant_of(&steps).is_some());
}

/// Guards against a contract that holds more slots than its concurrency, or queues more asks.
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
    let steps = host
        .request_grant_with(request("other", "x"), true, 1_000, &[])
        .1;
    assert_eq!(refusal_of(&steps), Some(NotRun::NotInContract));
}

/// Guards against a retry at the instance that failed, and an availability zone left out.
#[test]
fn instances_are_excluded_and_zones_take_turns() {
    let mut host = Host::new(
        start(true, &["g"]),
        &[("a1", State::Live), ("b1", State::Live)],
    );
    let steps = host
        .request_grant_with(request("c", "x"), true, 1_000, &["a1"])
        .1;
    assert_eq!(grant_of(&steps).unwrap().1, "b1".into());
    let steps = host
        .request_grant_with(request("c", "x"), true, 1_000, &["a1", "b1"])
        .1;
    assert_eq!(refusal_of(&steps), Some(NotRun::NoInstance));
    host.grants(3);
    assert_eq!((host.taken("a1"), host.taken("b1")), (2, 2));
}

/// Guards against grants before a new owner knows what runs at an instance.
#[test]
fn a_new_owner_waits_for_the_occupancy() {
    let mut host = Host::new(start(false, &["g"]), &[("a1", State::Live)]);
    assert_eq!(host.steps, vec![Action::Probe("a1".into())]);
    assert_eq!(host.grants(1), Vec::new());
    let steps = host.report_occupancy("a1", Some(6));
    assert!(grant_of(&steps).is_some());
    assert_eq!(host.grants(3).len(), 1);
}

/// Guards against slots freed too early, or never, when instances can't tell their occupancy.
#[test]
fn unaccounted_slots_are_held_unless_every_gateway_answers() {
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
    let steps = host.feed(Event::OutstandingFinished { key, finish });
    assert!(grant_of(&steps).is_some());
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

/// Guards against slots that stay lost after a takeover in which everything was accounted for.
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

/// Guards against a dispatch that an earlier owner couldn't record being repeated.
#[test]
fn doubt_makes_non_idempotent_requests_unknown() {
    let doubt = Start {
        unrecorded: true,
        remembered: vec![(request("c", "old"), 1_000)],
        ..start(true, &["g"])
    };
    let mut host = Host::new(doubt, &[("a1", State::Live)]);
    assert_eq!(
        unknown_of(&host.request_grant("x", false).1),
        Some(Unknown::Takeover)
    );
    assert!(grant_of(&host.request_grant("x", true).1).is_some());
    host.wait(RETRY_WINDOW_MS);
    let steps = host.request_grant("x", false).1;
    assert!(matches!(steps[..], [Action::WriteIntent { .. }]));
    let again = host.request_grant("old", false).1;
    assert_eq!(unknown_of(&again), Some(Unknown::AlreadyDispatched));
}

/// Guards against slots of a dead gateway being reused while its requests run.
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
    let steps = host.finish(slots[0].0, Finish::Answered, 2_000);
    assert_eq!(grant_of(&steps), None, "the queued ask was dropped");
    assert_eq!(host.taken("a1"), 3);
}

/// Guards against long requests taking every slot while short ones wait.
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

/// Guards against a request being forgotten that its gateway lost, or whose gateway was replaced,
/// before the gateway answered the survey. Found by random event orders.
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

/// Guards against slots that stay lost for a minute after a takeover although the instance's count
/// is made up of requests that gateways report on.
#[test]
fn reported_requests_explain_the_count_of_an_instance() {
    let mut host = Host::new(start(false, &["g"]), &[("a1", State::Live)]);
    host.report_occupancy("a1", Some(2));
    let slots = host.grants(6);
    assert_eq!(host.taken("a1"), 8);
    let mut probed = host.wait(1_000);
    probed.retain(|step| *step == Action::Probe("a1".into()));
    assert_eq!(probed.len(), 1);
    host.report_occupancy("a1", Some(6));
    assert_eq!(host.taken("a1"), 8);
    for (slot, _) in &slots {
        host.finish(*slot, Finish::Answered, 1_000);
    }
    assert_eq!(host.taken("a1"), 0);
}
