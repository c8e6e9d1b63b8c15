//! Tick timers of kernels, also after an idle time without any event.

#[path = "support/cell.rs"]
#[allow(dead_code)]
mod cell;
#[path = "support/log.rs"]
#[allow(dead_code)]
mod log;
#[path = "support/targets.rs"]
#[allow(dead_code)]
mod targets;

use std::time::{Duration, Instant};

use cell::{Cell, service};
use rosemaryworks_core::outcome::{NotRun, Request};
use rosemaryworks_core::routing::{Key, SlotRequest};
use rosemaryworks_wire::{Message, Verdict};

/// Slots of all instances together.
const SLOTS: usize = 32;

/// Time without an event, after which the shard is idle.
const IDLE_TIME: Duration = Duration::from_secs(1);

const DEADLINE_MS: u64 = 500;

/// Milliseconds after the deadline within which the kernel must reject the request. The host
/// abandons a request without a decision 1,000 ms after its deadline.
const REJECTION_SLACK_MS: u64 = 600;

/// Guards against an event that doesn't reschedule the tick of an idle shard: a queued request
/// would be rejected only when its host abandons it.
#[test]
fn a_request_queued_at_an_idle_shard_is_rejected_at_its_deadline() {
    let cell = Cell::start(1);
    let owner = cell.owner(&service()).unwrap();
    let filler = |number| cell.request_slot_in_background(&owner, &format!("fill-{number}"), true);
    let fillers: Vec<_> = (0..SLOTS).map(filler).collect();
    for filler in fillers {
        let verdict = filler.join().unwrap();
        assert!(matches!(verdict, Some(Verdict::Granted { .. })));
    }
    std::thread::sleep(IDLE_TIME);
    let slot_request = SlotRequest {
        key: Key {
            gateway: "g1".into(),
            number: 1_000_000,
        },
        request: Request {
            contract: "shops".into(),
            id: "late".into(),
        },
        idempotent: true,
        attempt: Some(1),
        remaining_ms: DEADLINE_MS,
        exclude: Vec::new(),
    };
    let shard = service();
    let start = Instant::now();
    let answer = cell.call(
        &owner,
        Message::Ask {
            shard,
            ask: slot_request,
        },
    );
    let rejected = Message::Verdict(Verdict::NotRun(NotRun::Deadline));
    assert_eq!(answer, Some(rejected));
    let elapsed = start.elapsed();
    assert!(elapsed >= Duration::from_millis(DEADLINE_MS), "{elapsed:?}");
    assert!(
        elapsed < Duration::from_millis(DEADLINE_MS + REJECTION_SLACK_MS),
        "{elapsed:?}"
    );
}
