//! Kernels are told the time when it is due, also after a time without any event.

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

/// Time without an event in which the shard has nothing to wait for.
const REST: Duration = Duration::from_secs(1);

const DEADLINE_MS: u64 = 500;

/// Milliseconds after the deadline at which the kernel has refused the ask. The host gives an ask
/// without a decision up 1,000 ms after its deadline.
const LATE_MS: u64 = 600;

/// Guards against an event that doesn't wake the ticks of a shard that rests: an ask in the queue
/// would be refused only when its host gives it up.
#[test]
fn an_ask_that_waits_at_a_resting_shard_is_refused_at_its_deadline() {
    let cell = Cell::start(1);
    let owner = cell.owner(&service()).unwrap();
    let fill = |number| cell.ask_later(&owner, &format!("fill-{number}"), true);
    let fills: Vec<_> = (0..SLOTS).map(fill).collect();
    for fill in fills {
        let verdict = fill.join().unwrap();
        assert!(matches!(verdict, Some(Verdict::Granted { .. })));
    }
    std::thread::sleep(REST);
    let ask = SlotRequest {
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
    let answer = cell.call(&owner, Message::Ask { shard, ask });
    let refused = Message::Verdict(Verdict::NotRun(NotRun::Deadline));
    assert_eq!(answer, Some(refused));
    let elapsed = start.elapsed();
    assert!(elapsed >= Duration::from_millis(DEADLINE_MS), "{elapsed:?}");
    assert!(
        elapsed < Duration::from_millis(DEADLINE_MS + LATE_MS),
        "{elapsed:?}"
    );
}
