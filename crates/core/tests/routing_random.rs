//! Test of the routing kernel with random events, in a simulation of instances, gateways and the
//! log.

#[path = "support/cell.rs"]
mod cell;
#[path = "support/grant.rs"]
mod grant;
#[path = "support/lockstep.rs"]
mod lockstep;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use quickcheck::{Gen, QuickCheck};
use rosemaryworks_core::contract::Service;
use rosemaryworks_core::outcome::{Finish, Request};
use rosemaryworks_core::routing::{Action, Event, Key, Outstanding, Slot, SlotRequest};
use rosemaryworks_core::target::State;
use rosemaryworks_core::time::Instant;
use rosemaryworks_core::timing::{
    DEADLINE_MAX_MS, GRANT_VALID_MS, REQUEST_ID_RETENTION_MS, RETRY_WINDOW_MS,
};

use cell::{contract, instance, request};
use grant::Grant;
use lockstep::Lockstep;

const SLOTS: u32 = 3;
const LIMITS: Service = Service {
    rate: 40,
    burst: 15,
    concurrency: 5,
    queue: 4,
};
/// Longest delay in milliseconds of a reachable gateway's report. The kernel assumes at most 500.
const REPORT_MAX_MS: u64 = 400;
/// Longest delay in milliseconds of an answer to a probe, as the kernel assumes.
const PROBE_MAX_MS: u64 = 5_000;
const INSTANCES: [&str; 2] = ["i0", "i1"];
const GATEWAYS: [&str; 3] = ["g0", "g1", "g2"];

/// The simulated cell. `open`: unanswered slot requests; `intents`: intents being written; `ids`:
/// request ids with their first use; `outage`: time of the last grant without the log.
struct World {
    now: u64,
    epoch: u64,
    epoch_start: u64,
    kernel: Lockstep,
    last_numbers: [u64; 3],
    unsurveyed: BTreeSet<usize>,
    states: BTreeMap<Arc<str>, State>,
    open: BTreeMap<Key, SlotRequest>,
    intents: Vec<(Key, Request)>,
    logged: Vec<(Request, u64)>,
    outage: Option<u64>,
    ids: Vec<(u64, u64)>,
    granted_once: BTreeSet<Request>,
    grants: Vec<Grant>,
    granted_in_epoch: BTreeMap<Arc<str>, u64>,
    /// Unanswered probes: instance, time sent, and the number of requests once it was counted.
    probes: Vec<(Arc<str>, u64, Option<u32>)>,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            now: 1_000_000,
            epoch: 0,
            epoch_start: 1_000_000,
            kernel: Lockstep::new(1_000_000, (true, false), &GATEWAYS, &[]),
            last_numbers: [0; 3],
            unsurveyed: BTreeSet::new(),
            states: INSTANCES.map(|name| (name.into(), State::Live)).into(),
            open: BTreeMap::new(),
            intents: Vec::new(),
            logged: Vec::new(),
            outage: None,
            ids: vec![(0, 1_000_000)],
            granted_once: BTreeSet::new(),
            grants: Vec::new(),
            granted_in_epoch: BTreeMap::new(),
            probes: Vec::new(),
        };
        world.configure();
        world
    }

    fn configure(&mut self) {
        for name in ["a", "b"] {
            self.handle(contract(name, LIMITS));
        }
        self.list();
    }

    fn list(&mut self) {
        let entry = |(name, state): (&Arc<str>, &State)| (instance(name, SLOTS), *state);
        let list = self.states.iter().map(entry).collect();
        self.handle(Event::Listed(list));
    }

    fn handle(&mut self, event: Event) {
        for action in self.kernel.handle(Instant(self.now), event) {
            match action {
                Action::Grant {
                    key,
                    slot,
                    instance,
                } => self.granted(key, slot, instance.name),
                Action::WriteIntent { key, request } => {
                    assert!(self.open.contains_key(&key), "intent for {key:?}");
                    self.intents.push((key, request));
                }
                Action::Probe(name) => self.probes.push((name, self.now, None)),
                Action::Refuse { key, .. } | Action::ReportUnknown { key, .. } => {
                    let open = self.open.remove(&key);
                    assert!(open.is_some(), "second answer to {key:?}");
                }
            }
        }
    }

    fn granted(&mut self, key: Key, slot: Slot, instance: Arc<str>) {
        let open = self
            .open
            .remove(&key)
            .expect("grant without a slot request");
        let (request, idempotent) = (open.request, open.idempotent);
        assert!(!open.exclude.contains(&instance), "excluded instance");
        assert_eq!(self.states[&instance], State::Live, "grant while leaving");
        if !idempotent {
            let is_first = self.granted_once.insert(request.clone());
            assert!(is_first, "{request:?} granted twice");
        }
        let contract = request.contract.clone();
        let admitted = self.granted_in_epoch.entry(contract.clone()).or_default();
        *admitted += 1;
        let elapsed = self.now - self.epoch_start + GRANT_VALID_MS;
        let allowed = u64::from(LIMITS.burst) + u64::from(LIMITS.rate) * elapsed / 1_000;
        assert!(*admitted <= allowed, "rate exceeded");
        self.grants.push(Grant {
            key,
            slot,
            epoch: self.epoch,
            request,
            idempotent,
            instance,
            granted: self.now,
            started: None,
            ended: None,
            reports: true,
            linked: true,
        });
        let same = |g: &&Grant| g.linked && g.request.contract == contract;
        let held = self.grants.iter().filter(same).count();
        assert!(held <= LIMITS.concurrency as usize, "concurrency exceeded");
    }

    fn step(&mut self, op: u8, pick: u8, value: u16) {
        match op % 20 {
            0..=4 => self.request_slot(pick, value),
            5 | 6 => self.advance(u64::from(value % 300)),
            7 => self.finish_intent(pick, value),
            8..=10 => self.start_request(pick),
            11 => self.end_request(pick),
            12 | 13 => self.report(pick, value),
            14 => self.advance_probe(pick, value),
            15 => self.withdraw(pick),
            16 => self.break_connection(pick, value),
            17 => self.survey(pick),
            18 => self.relist(pick, value),
            _ => self.rare_event(pick, value),
        }
    }

    fn rare_event(&mut self, pick: u8, value: u16) {
        match value % 5 {
            0 => self.takeover(pick),
            1 => self.kill_gateway(pick),
            2 => self.break_link(pick),
            3 => self.advance(u64::from(pick) * 20),
            _ => self.advance(u64::from(pick) * 500),
        }
    }

    fn request_slot(&mut self, pick: u8, value: u16) {
        let gateway = usize::from(pick) % 3;
        self.last_numbers[gateway] += 1;
        let key = Key {
            gateway: GATEWAYS[gateway].into(),
            number: self.last_numbers[gateway],
        };
        let idempotent = value.is_multiple_of(2);
        let request = request(if pick < 128 { "a" } else { "b" }, &self.id(value));
        let exclude = match value % 7 {
            0 => vec![INSTANCES[usize::from(pick) % 2].into()],
            _ => Vec::new(),
        };
        let slot_request = SlotRequest {
            key: key.clone(),
            request,
            idempotent,
            attempt: None,
            remaining_ms: u64::from(value) % 4_000,
            exclude,
        };
        self.open.insert(key, slot_request.clone());
        self.handle(Event::SlotRequest(slot_request));
    }

    /// Returns a recent id that callers may still retry, or a new one.
    fn id(&mut self, value: u16) -> String {
        let back = usize::from(value / 2 % 4);
        let (id, first) = self.ids[self.ids.len().saturating_sub(back + 1)];
        if back < 2 && self.now - first < RETRY_WINDOW_MS - 4_000 {
            return id.to_string();
        }
        let id = self.ids.len() as u64;
        self.ids.push((id, self.now));
        id.to_string()
    }

    fn advance(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now = end.min(self.now + 20 + millis / 50);
            self.end_overdue();
            self.handle(Event::Tick);
        }
    }

    /// Ends requests that ran for the longest deadline, and delivers reports and probe answers that
    /// are due.
    fn end_overdue(&mut self) {
        let now = self.now;
        for grant in &mut self.grants {
            let old = now.saturating_sub(grant.granted) + 2_000 >= DEADLINE_MAX_MS;
            if grant.is_running() && old {
                grant.ended = Some(now);
            }
        }
        self.grants.retain(|g| g.reports || g.ended.is_none());
        let due = |g: &Grant| {
            let unused = g.started.is_none() && g.granted + GRANT_VALID_MS < now;
            unused || g.ended.is_some_and(|end| end + REPORT_MAX_MS <= now)
        };
        while let Some(at) = self.grants.iter().position(|g| g.reports && due(g)) {
            self.deliver(at);
        }
        let late = |sent: u64| sent + PROBE_MAX_MS <= now;
        while let Some(at) = self.probes.iter().position(|(_, sent, _)| late(*sent)) {
            let (name, _, count) = self.probes[at].clone();
            let busy = count.unwrap_or(self.busy(&name));
            self.answer_probe(at, Some(busy));
        }
    }

    fn finish_intent(&mut self, pick: u8, value: u16) {
        if self.intents.is_empty() {
            return;
        }
        let at = usize::from(pick) % self.intents.len();
        let (key, request) = self.intents.remove(at);
        match value % 4 {
            0 => return self.handle(Event::IntentFailed(key)),
            1 => self.outage = Some(self.now),
            _ => self.logged.push((request, self.now)),
        }
        self.handle(Event::IntentWritten(key));
    }

    fn pick(&self, pick: u8, filter: impl Fn(&Grant) -> bool) -> Option<usize> {
        let all = self.grants.iter().enumerate();
        let matching: Vec<_> = all.filter(|(_, g)| filter(g)).collect();
        let at = usize::from(pick) % matching.len().max(1);
        matching.get(at).map(|(at, _)| *at)
    }

    fn start_request(&mut self, pick: u8) {
        let now = self.now;
        let usable =
            |g: &Grant| g.reports && g.started.is_none() && now <= g.granted + GRANT_VALID_MS;
        let Some(at) = self.pick(pick, usable) else {
            return;
        };
        self.grants[at].started = Some(now);
        let instance = self.grants[at].instance.clone();
        assert!(self.busy(&instance) <= SLOTS, "too many at {instance}");
    }

    fn busy(&self, instance: &str) -> u32 {
        let here = self.grants.iter().filter(|g| &*g.instance == instance);
        here.filter(|g| g.is_running()).count() as u32
    }

    fn end_request(&mut self, pick: u8) {
        if let Some(at) = self.pick(pick, Grant::is_running) {
            self.grants[at].ended = Some(self.now);
        }
    }

    fn report(&mut self, pick: u8, value: u16) {
        let unused = value.is_multiple_of(4);
        let ready = |g: &Grant| g.reports && (g.ended.is_some() || unused && g.started.is_none());
        if let Some(at) = self.pick(pick, ready) {
            self.deliver(at);
        }
    }

    fn deliver(&mut self, at: usize) {
        let grant = self.grants.remove(at);
        let (finish, run_ms) = match (grant.started, grant.ended) {
            (Some(started), Some(ended)) => (Finish::Answered, ended - started),
            _ if grant.slot.is_multiple_of(3) => (Finish::NotSent, 0),
            _ => (Finish::Unused, 0),
        };
        self.finish(&grant, finish, run_ms);
    }

    fn finish(&mut self, grant: &Grant, finish: Finish, run_ms: u64) {
        let (key, slot) = (grant.key.clone(), grant.slot);
        self.handle(match grant.epoch == self.epoch {
            true => Event::Finished {
                slot,
                finish,
                run_ms,
            },
            false => Event::OutstandingFinished { key, finish },
        });
    }

    /// Breaks the connection to an instance, which continues to run the request.
    fn break_connection(&mut self, pick: u8, value: u16) {
        let runs = |g: &Grant| g.reports && g.is_running();
        let Some(at) = self.pick(pick, runs).filter(|_| value.is_multiple_of(2)) else {
            return;
        };
        self.grants[at].reports = false;
        self.grants[at].linked = false;
        let grant = self.grants[at].clone();
        self.finish(&grant, Finish::Lost, 0);
    }

    fn advance_probe(&mut self, pick: u8, value: u16) {
        if self.probes.is_empty() {
            return;
        }
        let at = usize::from(pick) % self.probes.len();
        let (name, _, count) = self.probes[at].clone();
        // The kernel relies on complete surveys for instances that don't report their occupancy, so
        // instances with requests that no gateway reports always do.
        let unreported = self.grants.iter().any(|g| !g.reports && g.instance == name);
        match count {
            None if unreported || !value.is_multiple_of(8) => {
                self.probes[at].2 = Some(self.busy(&name))
            }
            _ => self.answer_probe(at, count),
        }
    }

    fn answer_probe(&mut self, at: usize, busy: Option<u32>) {
        let (instance, ..) = self.probes.remove(at);
        self.handle(Event::Occupancy { instance, busy });
    }

    fn withdraw(&mut self, pick: u8) {
        let unused = |g: &Grant| g.reports && g.linked && g.started.is_none();
        let open = self.open.len();
        if pick.is_multiple_of(2) && open > 0 {
            let key = self.open.keys().nth(usize::from(pick) % open).cloned();
            let key = key.expect("an open slot request");
            self.open.remove(&key);
            self.handle(Event::Withdrawn(key));
        } else if let Some(at) = self.pick(pick, |g| unused(g) && g.epoch == self.epoch) {
            let grant = self.grants.remove(at);
            self.handle(Event::Withdrawn(grant.key));
        }
    }

    fn survey(&mut self, pick: u8) {
        let gateway = usize::from(pick) % 3;
        if !self.unsurveyed.remove(&gateway) {
            return;
        }
        let name = GATEWAYS[gateway];
        let epoch = self.epoch;
        let mine = |g: &&mut Grant| g.reports && g.epoch < epoch && &*g.key.gateway == name;
        let entry = |grant: &mut Grant| Outstanding {
            key: grant.key.clone(),
            request: grant.request.clone(),
            idempotent: grant.idempotent,
            instance: grant.instance.clone(),
        };
        let outstanding = self.grants.iter_mut().filter(mine).map(entry).collect();
        self.handle(Event::Surveyed {
            gateway: name.into(),
            outstanding,
        });
    }

    fn relist(&mut self, pick: u8, value: u16) {
        let name: Arc<str> = INSTANCES[usize::from(pick) % 2].into();
        let leaving = State::Leaving { within_ms: None };
        let state = if value.is_multiple_of(4) {
            leaving
        } else {
            State::Live
        };
        self.states.insert(name, state);
        self.list();
    }

    /// Kills a gateway's process. Its slot request numbers restart; its running requests continue.
    fn kill_gateway(&mut self, pick: u8) {
        let gateway = usize::from(pick) % 3;
        self.last_numbers[gateway] = 0;
        let name: Arc<str> = GATEWAYS[gateway].into();
        let lost = |g: &Grant| g.key.gateway == name;
        self.grants.retain(|g| !(lost(g) && g.started.is_none()));
        for grant in self.grants.iter_mut().filter(|g| lost(g)) {
            grant.reports = false;
            grant.linked = false;
        }
        self.open.retain(|key, _| key.gateway != name);
        self.handle(Event::GatewayLost(name));
    }

    /// Breaks a gateway's connection to the owner. The gateway continues and reports late.
    fn break_link(&mut self, pick: u8) {
        let name: Arc<str> = GATEWAYS[usize::from(pick) % 3].into();
        for grant in self.grants.iter_mut().filter(|g| g.key.gateway == name) {
            grant.linked = false;
        }
        self.open.retain(|key, _| key.gateway != name);
        self.handle(Event::GatewayLost(name));
    }

    /// Lets another scheduler take over the shard after unused grants have expired.
    fn takeover(&mut self, pick: u8) {
        self.now += GRANT_VALID_MS + 1;
        self.end_overdue();
        self.grants.retain(|g| g.started.is_some());
        for grant in &mut self.grants {
            grant.linked = false;
        }
        for (at, (_, request)) in std::mem::take(&mut self.intents).into_iter().enumerate() {
            if (at + usize::from(pick)) % 2 == 0 {
                self.logged.push((request, self.now));
            }
        }
        let (now, outage) = (self.now, self.outage);
        self.logged
            .retain(|(_, at)| now - at < REQUEST_ID_RETENTION_MS);
        let unrecorded = outage.is_some_and(|at| now - at < RETRY_WINDOW_MS);
        self.epoch += 1;
        self.epoch_start = now;
        self.granted_in_epoch.clear();
        self.open.clear();
        self.probes.clear();
        self.kernel = Lockstep::new(now, (false, unrecorded), &GATEWAYS, &self.logged);
        self.unsurveyed = BTreeSet::from([0, 1, 2]);
        self.configure();
    }

    /// Lets every request end and checks that every slot request was answered and every slot freed.
    fn settle(&mut self) {
        for _ in 0..5 {
            while !self.intents.is_empty() {
                self.finish_intent(0, 2);
            }
            self.advance(DEADLINE_MAX_MS);
        }
        assert!(self.open.is_empty(), "unanswered {:?}", self.open);
        let taken: u32 = self.kernel.targets().iter().map(|t| t.taken).sum();
        assert_eq!(taken, 0, "slots leaked");
    }
}

/// Guards against overload of an instance, double dispatch, lost, repeated or late answers,
/// exceeded contract limits and leaked slots under any order of events.
///
/// `ROUTING_SEED` and `ROUTING_TESTS` select other runs.
#[test]
fn invariants_hold_under_any_order_of_events() {
    fn run(ops: Vec<(u8, u8, u16)>) -> bool {
        let mut world = World::new();
        for (op, pick, value) in ops {
            world.step(op, pick, value);
        }
        world.settle();
        true
    }
    let value = |name| std::env::var(name).ok()?.parse().ok();
    let number = |name, default| value(name).unwrap_or(default);
    let run: fn(Vec<(u8, u8, u16)>) -> bool = run;
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(600, number("ROUTING_SEED", 1)))
        .tests(number("ROUTING_TESTS", 400))
        .quickcheck(run);
}
