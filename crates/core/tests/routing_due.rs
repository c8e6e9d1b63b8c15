//! Tests of the routing kernel's timers in cases that random event sequences don't reach.

#[path = "support/cell.rs"]
mod cell;
#[path = "support/lockstep.rs"]
mod lockstep;

use rosemaryworks_core::contract::Service;
use rosemaryworks_core::outcome::Finish;
use rosemaryworks_core::routing::{Action, Event, Key, SlotRequest};
use rosemaryworks_core::target::State;
use rosemaryworks_core::time::Instant;
use rosemaryworks_core::timing::REQUEST_ID_RETENTION_MS;

use cell::{contract, instance, request};
use lockstep::Lockstep;

const LIMITS: Service = Service {
    rate: 1_000,
    burst: 1_000,
    concurrency: 100,
    queue: 100,
};
const SLOTS: u32 = 8;
/// Finished requests after which run time estimates are used.
const SAMPLES: u64 = 8;

struct Shard {
    now: u64,
    next: u64,
    kernel: Lockstep,
}

impl Shard {
    fn new() -> Self {
        let now = 1_000_000;
        let mut shard = Self {
            now,
            next: 0,
            kernel: Lockstep::new(now, (true, false), &["g"], &[]),
        };
        shard.handle(contract("short", LIMITS));
        shard.handle(contract("long", LIMITS));
        shard.handle(Event::Listed(vec![(instance("i0", SLOTS), State::Live)]));
        shard
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        self.kernel.handle(Instant(self.now), event)
    }

    fn wait(&mut self, millis: u64) {
        for _ in 0..millis / 20 {
            self.now += 20;
            self.handle(Event::Tick);
        }
    }

    fn request_slot(&mut self, name: &str) -> Vec<Action> {
        let id = self.next.to_string();
        self.request_with(name, &id, true)
    }

    fn request_with(&mut self, name: &str, id: &str, idempotent: bool) -> Vec<Action> {
        self.next += 1;
        let number = self.next;
        self.handle(Event::SlotRequest(SlotRequest {
            key: Key {
                gateway: "g".into(),
                number,
            },
            request: request(name, id),
            idempotent,
            attempt: None,
            remaining_ms: 10_000,
            exclude: Vec::new(),
        }))
    }

    /// Requests all slots for long requests and returns how many are granted.
    fn burst(&mut self) -> usize {
        let actions = (0..SLOTS).flat_map(|_| self.request_slot("long"));
        let granted = actions.filter(|action| matches!(action, Action::Grant { .. }));
        granted.count()
    }

    fn serve(&mut self, name: &str, run_ms: u64) {
        let actions = self.request_slot(name);
        let [Action::Grant { slot, .. }] = actions.as_slice() else {
            panic!("not granted: {actions:?}");
        };
        self.wait(run_ms);
        self.handle(Event::Finished {
            slot: *slot,
            finish: Finish::Answered,
            run_ms,
        });
    }
}

/// Guards against a contract that is classified as long only some time after the deciding event, so
/// that a burst of long requests takes all slots. `Lockstep` also checks that ticks which are not
/// due don't change any action.
#[test]
fn a_contract_is_classified_soon_after_its_requests_end() {
    let mut shard = Shard::new();
    for _ in 0..SAMPLES {
        shard.serve("short", 20);
    }
    for _ in 0..SAMPLES {
        shard.serve("long", 1_000);
    }
    shard.wait(20);
    assert!(shard.burst() < SLOTS as usize);
}

/// Guards against slots that stay reserved for short requests although none were queued for a
/// minute.
#[test]
fn a_contract_of_short_requests_is_protected_for_a_minute() {
    let mut shard = Shard::new();
    for _ in 0..SAMPLES {
        shard.serve("long", 1_000);
    }
    for _ in 0..SAMPLES {
        shard.serve("short", 20);
    }
    shard.wait(58_800);
    shard.serve("long", 1_000);
    shard.wait(500);
    assert_eq!(shard.burst(), SLOTS as usize);
}

/// Guards against a request id that is kept longer than its retention while no other event arrives.
#[test]
fn a_request_id_expires_on_time() {
    let mut shard = Shard::new();
    let actions = shard.request_with("short", "id", false);
    let [Action::WriteIntent { key, .. }] = actions.as_slice() else {
        panic!("no intent: {actions:?}");
    };
    let actions = shard.handle(Event::IntentWritten(key.clone()));
    let [Action::Grant { slot, .. }] = actions.as_slice() else {
        panic!("not granted: {actions:?}");
    };
    shard.handle(Event::Finished {
        slot: *slot,
        finish: Finish::Answered,
        run_ms: 1,
    });
    shard.wait(REQUEST_ID_RETENTION_MS - 1_000);
    let actions = shard.request_with("short", "id", false);
    assert!(matches!(actions.as_slice(), [Action::ReportUnknown { .. }]));
    shard.wait(1_020);
    let actions = shard.request_with("short", "id", false);
    assert!(matches!(actions.as_slice(), [Action::WriteIntent { .. }]));
}
