//! An owner whose CPU is smaller than its load: every call costs a fixed time, and what arrives
//! waits in one queue.
//!
//! Guards against a metastable overload: start requests that are sent after their deadline or after
//! their permits have expired are refused, the tasks are placed again, and the work that fails uses
//! up the CPU that the rest needs, also after the load has fallen.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use rosemaryworks_core::size::Size;
use rosemaryworks_workflow::{
    Action, AdviceRequest, AdviceTerms, Finished, Id, Key, Order, Outcome, Queue, Record, Refusal,
    Report, Running, Settings, Shard, Spec, StartOutcome, Step, Worker,
};

const WORKERS: u64 = 100;

/// Tasks that fit on a worker.
const SLOTS: u64 = 64;

const TASKS_PER_JOB: u32 = 10;

const RUN_US: u64 = 300_000;

/// CPU time to send a request, and to read an answer.
const CALL_US: u64 = 800;

/// CPU time of a tick.
const TICK_US: u64 = 1_000;

/// Time from the owner to a worker.
const NETWORK_US: u64 = 1_000;

const ADVICE_US: u64 = 30_000;

const PERMIT_US: u64 = 2_000_000;

const LEASE_MS: u64 = 4_000;

/// Starts per second that the owner's CPU allows, with a renewal for some of them.
const CAPACITY: u64 = 2 * 1_000_000 / (5 * CALL_US);

/// Something that the owner does or reads, in the order of its queue.
enum Work {
    Submit,
    Tick,
    SendStart(Order),
    StartAnswer(Order, StartOutcome),
    SendRenewal(Arc<str>),
    Report(Arc<str>, Report, u64, u64),
    SendAdvice(AdviceRequest),
    AdviceAnswer(AdviceRequest, Vec<(Arc<str>, Arc<str>)>, u64),
    Durable(u64),
}

/// Something that happens outside of the owner.
enum Event {
    Arrives(Work),
    StartReaches(Order),
    RenewalReaches(Arc<str>, u64, u64, u64, u64),
    Ends(Arc<str>, Key, u32),
}

#[derive(Default)]
struct SimulatedWorker {
    runs: BTreeMap<Key, u32>,
    ends: Vec<Finished>,
    last_end: u64,
    /// Renewal that waits for an end: fencing token and time at which it was sent.
    waiting: Option<(u64, u64)>,
    in_session: bool,
}

struct Owner {
    shard: Shard,
    now_us: u64,
    queue: VecDeque<Work>,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    workers: BTreeMap<Arc<str>, SimulatedWorker>,
    jobs: u64,
    records: u64,
    tick_queued: bool,
    done: BTreeSet<Key>,
    /// Time of the first end of each task.
    done_us: Vec<u64>,
    refused: u64,
}

impl Owner {
    /// Creates an owner of a queue that needs advice or doesn't.
    fn new(advice: Option<AdviceTerms>) -> Self {
        let mut shard = Shard::new(
            Settings {
                lease_ms: LEASE_MS,
                lease_max_ms: 10_000,
                order_ttl_ms: 2_000,
                keep_ms: 120_000,
                early_ms: 0,
            },
            1,
        );
        shard.set_queues([Queue {
            max_attempts: 3,
            advice,
            name: "q".into(),
            pool: "pool".into(),
            priority: 0,
            slack_factor: 1.5,
            slo_ms: 250,
        }]);
        let mut owner = Self {
            shard,
            now_us: 0,
            queue: VecDeque::new(),
            events: BTreeMap::new(),
            next_event: 0,
            workers: BTreeMap::new(),
            jobs: 0,
            records: 0,
            tick_queued: false,
            done: BTreeSet::new(),
            done_us: Vec::new(),
            refused: 0,
        };
        for index in 0..WORKERS {
            let id: Arc<str> = format!("w{index:04}").into();
            owner.shard.list_worker(
                Worker {
                    address: "127.0.0.1:1".parse().expect("an address"),
                    incarnation: 7,
                    capacity: Size::new(SLOTS * 1_000, SLOTS * 1_000),
                    draining: false,
                    id: id.clone(),
                    labels: Vec::new(),
                    pool: "pool".into(),
                    rack: "r".into(),
                    remaining_ms: None,
                },
                0,
            );
            owner.workers.insert(id, SimulatedWorker::default());
        }
        owner.shard.finish_replay(true, 0);
        owner.carry_out_actions();
        owner
    }

    fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    fn after(&mut self, delay_us: u64, event: Event) {
        self.next_event += 1;
        let at = (self.now_us + delay_us, self.next_event);
        self.events.insert(at, event);
    }

    /// Runs until `end_us` with `rate` tasks per second.
    fn run(&mut self, end_us: u64, rate: u64) {
        let interval_us = 1_000_000 * u64::from(TASKS_PER_JOB) / rate;
        let mut submission_us = self.now_us;
        while submission_us < end_us {
            let delay_us = submission_us - self.now_us;
            self.after(delay_us, Event::Arrives(Work::Submit));
            submission_us += interval_us;
        }
        loop {
            let due = self.events.first_key_value().map(|(at, _)| *at);
            if let Some(at) = due.filter(|at| at.0 <= self.now_us) {
                let event = self.events.remove(&at).expect("an event");
                self.happen(event, at.0);
            } else if let Some(work) = self.queue.pop_front() {
                self.work(work);
            } else {
                match due {
                    Some((at_us, _)) if at_us < end_us => self.now_us = at_us,
                    _ => self.now_us = end_us,
                }
            }
            if self.now_us >= end_us {
                return;
            }
        }
    }

    /// Spends the CPU time of `work` and does it.
    fn work(&mut self, work: Work) {
        self.now_us += match work {
            Work::Tick => TICK_US,
            Work::Submit | Work::Durable(_) => 0,
            _ => CALL_US,
        };
        let now_ms = self.now_ms();
        match work {
            Work::Submit => {
                self.jobs += 1;
                let step = Step {
                    count: TASKS_PER_JOB,
                    estimate_ms: RUN_US / 1_000,
                    size: Size::new(1_000, 1_000),
                    ..Step::default()
                };
                let spec = Arc::new(Spec {
                    steps: vec![step],
                    ..Spec::default()
                });
                self.shard.submit(Id(self.jobs), "q".into(), spec, now_ms);
            }
            Work::Tick => {
                self.tick_queued = false;
                self.shard.tick(now_ms, now_ms);
                self.carry_out_actions();
                return;
            }
            Work::SendStart(order) => {
                self.after(NETWORK_US, Event::StartReaches(order));
                return;
            }
            Work::StartAnswer(order, outcome) => {
                self.refused += u64::from(matches!(outcome, StartOutcome::Refused(_)));
                self.shard.start_answered(&order, outcome, now_ms);
                self.wake_session(&order.worker);
            }
            Work::SendRenewal(id) => {
                let renewal = self.shard.renewal(&id, now_ms).expect("a worker");
                let event = Event::RenewalReaches(
                    id,
                    renewal.token,
                    now_ms,
                    renewal.acknowledged,
                    renewal.wait_ms,
                );
                self.after(NETWORK_US, event);
                return;
            }
            Work::Report(id, report, token, sent_ms) => {
                self.shard.report(&id, report, token, sent_ms, now_ms);
                self.continue_session(&id);
            }
            Work::SendAdvice(request) => {
                let permits = request.workers.iter();
                let permits = permits.map(|id| (id.clone(), "permit".into())).collect();
                let until_us = self.now_us + ADVICE_US + PERMIT_US;
                let answer = Work::AdviceAnswer(request, permits, until_us);
                self.after(ADVICE_US, Event::Arrives(answer));
                return;
            }
            Work::AdviceAnswer(request, permits, until_us) => {
                let until_ms = until_us / 1_000;
                self.shard
                    .advice_received(request.step, permits, until_ms, now_ms);
            }
            Work::Durable(count) => self.shard.mark_durable(count),
        }
        self.queue_tick();
    }

    fn queue_tick(&mut self) {
        if !self.tick_queued {
            self.tick_queued = true;
            self.after(2_000, Event::Arrives(Work::Tick));
        }
    }

    fn carry_out_actions(&mut self) {
        for action in self.shard.take_actions() {
            match action {
                Action::Start(order) => self.queue.push_back(Work::SendStart(order)),
                Action::RequestAdvice(request) => self.queue.push_back(Work::SendAdvice(request)),
                Action::Renew(id) => self.wake_session(&id),
                Action::Record(Record::Ended { .. } | Record::Final { .. }) => {
                    self.records += 1;
                    let durable = Work::Durable(self.records);
                    self.after(10_000, Event::Arrives(durable));
                }
                Action::Record(_) => self.records += 1,
                _ => {}
            }
        }
    }

    /// Starts a renewal unless one is under way.
    fn wake_session(&mut self, id: &Arc<str>) {
        let worker = self.workers.get_mut(id).expect("a worker");
        if !worker.in_session {
            worker.in_session = true;
            self.queue.push_back(Work::SendRenewal(id.clone()));
        }
    }

    /// Goes on with the session of a worker that has reported.
    fn continue_session(&mut self, id: &Arc<str>) {
        self.workers.get_mut(id).expect("a worker").in_session = false;
        let host = self.shard.host(id).expect("a worker");
        if host.has_pending_ends() {
            self.workers.get_mut(id).expect("a worker").in_session = true;
            self.after(15_000, Event::Arrives(Work::SendRenewal(id.clone())));
        } else if host.run_count() > 0 {
            self.wake_session(id);
        }
    }

    fn happen(&mut self, event: Event, at_us: u64) {
        match event {
            Event::Arrives(work) => self.queue.push_back(work),
            Event::StartReaches(order) => {
                let worker = self.workers.get_mut(&order.worker).expect("a worker");
                let permit_until_ms = order.placed_ms + PERMIT_US / 1_000;
                let outcome = if order.deadline_ms <= at_us / 1_000 {
                    StartOutcome::Refused(Refusal::Late)
                } else if permit_until_ms <= at_us / 1_000 {
                    StartOutcome::Refused(Refusal::Permit)
                } else {
                    worker.runs.insert(order.key, order.attempt);
                    let clock_ms = at_us / 1_000;
                    StartOutcome::Accepted { clock_ms }
                };
                if let StartOutcome::Accepted { .. } = outcome {
                    let end = Event::Ends(order.worker.clone(), order.key, order.attempt);
                    let run_us = at_us + RUN_US - self.now_us.min(at_us + RUN_US);
                    self.after(run_us, end);
                }
                let answer = Event::Arrives(Work::StartAnswer(order, outcome));
                self.after(NETWORK_US, answer);
            }
            Event::RenewalReaches(id, token, sent_ms, acknowledged, wait_ms) => {
                let worker = self.workers.get_mut(&id).expect("a worker");
                worker.ends.retain(|end| end.number > acknowledged);
                if worker.ends.is_empty() && wait_ms > 0 {
                    worker.waiting = Some((token, sent_ms));
                } else {
                    self.report(&id, token, sent_ms, at_us);
                }
            }
            Event::Ends(id, key, attempt) => {
                let worker = self.workers.get_mut(&id).expect("a worker");
                if worker.runs.get(&key) != Some(&attempt) {
                    return;
                }
                worker.runs.remove(&key);
                worker.last_end += 1;
                worker.ends.push(Finished {
                    number: worker.last_end,
                    key,
                    attempt,
                    how: Outcome::Done,
                    checkpoint: None,
                });
                assert!(self.done.insert(key), "{key} has run twice");
                self.done_us.push(at_us);
                let waiting = self.workers.get_mut(&id).and_then(|w| w.waiting.take());
                if let Some((token, sent_ms)) = waiting {
                    self.report(&id, token, sent_ms, at_us);
                }
            }
        }
    }

    fn report(&mut self, id: &Arc<str>, token: u64, sent_ms: u64, at_us: u64) {
        let worker = &self.workers[id];
        let running = worker.runs.iter().map(|(key, attempt)| Running {
            key: *key,
            attempt: *attempt,
            checkpoint: None,
            percent: 0,
            metric: 0.0,
        });
        let report = Report {
            incarnation: 7,
            clock_ms: at_us / 1_000,
            finished: worker.ends.clone(),
            may_have_more_ends: false,
            running: running.collect(),
        };
        let report = Work::Report(id.clone(), report, token, sent_ms);
        self.after(NETWORK_US, Event::Arrives(report));
    }

    /// Returns the tasks per second that were done between two times, in seconds.
    fn goodput(&self, from_s: u64, to_s: u64) -> u64 {
        let range = from_s * 1_000_000..to_s * 1_000_000;
        let done = self.done_us.iter().filter(|at| range.contains(at)).count();
        done as u64 / (to_s - from_s)
    }
}

/// Runs an owner at `percent` of its capacity for 10 s, then at 80%. Returns the goodput under the
/// load, and from 5 s after its end.
fn goodput_under(percent: u64, advice: Option<AdviceTerms>) -> (u64, u64) {
    let mut owner = Owner::new(advice);
    owner.run(2_000_000, CAPACITY / 2);
    owner.run(12_000_000, CAPACITY * percent / 100);
    owner.run(22_000_000, CAPACITY * 8 / 10);
    let goodput = (owner.goodput(4, 12), owner.goodput(17, 22));
    println!("load {percent}%: {goodput:?} refused {}", owner.refused);
    goodput
}

fn check_goodput(advice: Option<AdviceTerms>) {
    let goodputs = [50, 80, 100, 200, 400].map(|percent| goodput_under(percent, advice));
    let peak = goodputs.iter().map(|(under_load, _)| *under_load).max();
    let peak = peak.expect("a load");
    let (old_rate, _) = goodputs[1];
    for (under_load, afterwards) in &goodputs[3..] {
        assert!(under_load * 10 >= peak * 8, "{under_load} of {peak}");
        assert!(*afterwards >= old_rate, "{afterwards} of {old_rate}");
    }
}

#[test]
fn goodput_holds_under_overload_and_returns_after_it() {
    check_goodput(None);
}

#[test]
fn goodput_of_a_queue_with_advice_holds_under_overload_and_returns_after_it() {
    check_goodput(Some(AdviceTerms {
        call_ms: 20.0,
        worker_ms: 0.3,
        validity_ms: PERMIT_US / 1_000,
    }));
}
