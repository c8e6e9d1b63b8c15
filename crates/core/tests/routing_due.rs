//! Due times of the routing kernel that random orders of events don't reach.

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
/// Finished requests from which run times are learned.
const LEARNED: u64 = 8;

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
        shard.feed(contract("short", LIMITS));
        shard.feed(contract("long", LIMITS));
        shard.feed(Event::Listed(vec![(instance("i0", SLOTS), State::Live)]));
        shard
    }

    fn feed(&mut self, event: Event) -> Vec<Action> {
        self.kernel.handle(Instant(self.now), event)
    }

    fn wait(&mut self, millis: u64) {
        for _ in 0..millis / 20 {
            self.now += 20;
            self.feed(Event::Tick);
        }
    }

    fn ask(&mut self, name: &str) -> Vec<Action> {
        let id = self.next.to_string();
        self.ask_with(name, &id, true)
    }

    fn ask_with(&mut self, name: &str, id: &str, idempotent: bool) -> Vec<Action> {
        self.next += 1;
        let number = self.next;
        self.feed(Event::SlotRequest(SlotRequest {
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

    /// Asks for all slots with long requests and returns how many are granted.
    fn burst(&mut self) -> usize {
        let steps = (0..SLOTS).flat_map(|_| self.ask("long"));
        let granted = steps.filter(|step| matches!(step, Action::Grant { .. }));
        granted.count()
    }

    fn run(&mut self, name: &str, run_ms: u64) {
        let steps = self.ask(name);
        let [Action::Grant { slot, .. }] = steps.as_slice() else {
            panic!("not granted: {steps:?}");
        };
        self.wait(run_ms);
        self.feed(Event::Finished {
            slot: *slot,
            finish: Finish::Answered,
            run_ms,
        });
    }
}

/// Guards against a class that is found only long after the event that decides it: a burst of long
/// requests would take all slots. The pair checks that ticks which aren't due change no step.
#[test]
fn a_contract_is_classified_soon_after_its_requests_end() {
    let mut shard = Shard::new();
    for _ in 0..LEARNED {
        shard.run("short", 20);
    }
    for _ in 0..LEARNED {
        shard.run("long", 1_000);
    }
    shard.wait(20);
    assert!(shard.burst() < SLOTS as usize);
}

/// Guards against a contract of long requests that is held back although no short ones came for a
/// minute.
#[test]
fn a_contract_of_short_requests_is_protected_for_a_minute() {
    let mut shard = Shard::new();
    for _ in 0..LEARNED {
        shard.run("long", 1_000);
    }
    for _ in 0..LEARNED {
        shard.run("short", 20);
    }
    shard.wait(58_800);
    shard.run("long", 1_000);
    shard.wait(500);
    assert_eq!(shard.burst(), SLOTS as usize);
}

/// Guards against an id that is remembered for longer than told, if nothing else happens.
#[test]
fn an_id_is_forgotten_in_time() {
    let mut shard = Shard::new();
    let steps = shard.ask_with("short", "id", false);
    let [Action::WriteIntent { key, .. }] = steps.as_slice() else {
        panic!("no intent: {steps:?}");
    };
    let steps = shard.feed(Event::IntentWritten(key.clone()));
    let [Action::Grant { slot, .. }] = steps.as_slice() else {
        panic!("not granted: {steps:?}");
    };
    shard.feed(Event::Finished {
        slot: *slot,
        finish: Finish::Answered,
        run_ms: 1,
    });
    shard.wait(REQUEST_ID_RETENTION_MS - 1_000);
    let steps = shard.ask_with("short", "id", false);
    assert!(matches!(steps.as_slice(), [Action::ReportUnknown { .. }]));
    shard.wait(1_020);
    let steps = shard.ask_with("short", "id", false);
    assert!(matches!(steps.as_slice(), [Action::WriteIntent { .. }]));
}
