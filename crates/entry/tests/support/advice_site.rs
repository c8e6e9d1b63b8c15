//! Two owners, their VMs and the advice service in simulated time. The queues of the VMs and the
//! owners' choices are those of the product; the steps and their placement are a model.

use std::collections::BTreeMap;
use std::sync::Arc;

use rosemaryworks_entry::advice::choice::{Assignment, Choice};
use rosemaryworks_entry::advice::queue::{Offer, Queue, Request};
use rosemaryworks_workflow::{AdviceLoad, SHORT_ADVICE_MS};

#[path = "advice_load.rs"]
pub(crate) mod load;

use load::{CLASSES, EXPIRY_MARGIN_MS, Random, VALIDITY_MS, VMS};

const NETWORK_MS: u64 = 2;
const PASS_MS: u64 = 20;
const END_MS: u64 = 70_000;

/// Times of the owner's side and of the adapter, see `advice::requester` and `platform/src/advisor.rs`.
const SILENT_SLACK_MS: u64 = 400;
const ADAPTER_SLACK_MS: u64 = 3_000;
const ADAPTER_FACTOR: f64 = 4.0;
const VMS_TRIED: u32 = 3;

/// Longest pause after a refused request in milliseconds.
const BUSY_PAUSE_MS: u64 = 100;

struct Step {
    class: usize,
    arrived_ms: u64,
    waiting: u32,
    /// Time from which a gang has room on the workers of its plan.
    room_ms: u64,
    /// Expiry of the permit of each allowed worker.
    permits: Vec<u64>,
    pending: Option<u64>,
    not_before_ms: u64,
    answers: u32,
}

struct Ask {
    owner: usize,
    step: u64,
    workers: u32,
    cost_ms: f64,
    priority: u32,
    /// VMs that refused it as busy.
    refusals: u32,
    /// Whether it counts as failed, so that only a late answer can come.
    is_late: bool,
    assignment: Assignment,
}

#[derive(Clone, Copy)]
enum Reply {
    Answered { given_ms: u64 },
    Busy,
    Expired,
    Failed,
}

enum Event {
    Pass,
    AtVm(usize, u64),
    Due(usize),
    Served(usize, u64),
    GivenUp(usize, u64),
    Replied(u64, Reply, f64),
    Silent(u64, u64),
    TimedOut(u64),
    Restart,
}

#[derive(Default)]
struct Vm {
    queue: Queue,
    call: Option<u64>,
    service_busy_until_ms: u64,
}

/// What happened in 6 s.
#[derive(Default)]
pub(crate) struct Window {
    /// Requests that were sent.
    pub(crate) asked: u32,
    /// Requests without an answer.
    pub(crate) failed: u32,
    /// Answers to requests that counted as failed.
    pub(crate) late: u32,
    /// Requests that weren't sent, or were refused by all VMs tried.
    pub(crate) busy: u32,
    /// Calls that were sent although nobody awaited the answer.
    pub(crate) abandoned: u32,
    /// Steps that were placed.
    pub(crate) placed: u32,
    /// Steps that wait at the end.
    pub(crate) waiting: usize,
}

pub(crate) struct Site {
    now_ms: u64,
    random: Random,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    names: Vec<Arc<str>>,
    vms: Vec<Vm>,
    choices: [Choice; 2],
    loads: [AdviceLoad; 2],
    steps: BTreeMap<u64, Step>,
    asks: BTreeMap<u64, Ask>,
    pub(crate) windows: BTreeMap<u64, Window>,
}

impl Site {
    pub(crate) fn new(seed: u64) -> Self {
        let mut site = Self {
            now_ms: 0,
            random: Random(seed),
            events: BTreeMap::new(),
            sequence: 0,
            names: (0..VMS).map(|i| format!("vm-{i:02}").into()).collect(),
            vms: (0..VMS).map(|_| Vm::default()).collect(),
            choices: [Choice::new(0), Choice::new(1)],
            loads: Default::default(),
            steps: BTreeMap::new(),
            asks: BTreeMap::new(),
            windows: BTreeMap::new(),
        };
        site.at(0, Event::Pass);
        site.at(load::RESTART_MS, Event::Restart);
        site
    }

    fn at(&mut self, at_ms: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((at_ms, self.sequence), event);
    }

    fn window(&mut self) -> &mut Window {
        self.windows.entry(self.now_ms / 6_000).or_default()
    }

    pub(crate) fn run(&mut self) {
        while let Some(((at_ms, _), event)) = self.events.pop_first() {
            if at_ms > END_MS {
                return;
            }
            self.now_ms = at_ms;
            match event {
                Event::Pass => {
                    self.arrivals();
                    let down = load::RESTART_MS..load::RESTART_MS + load::TAKEOVER_MS;
                    if !down.contains(&at_ms) {
                        self.pass();
                    }
                    self.at(at_ms + PASS_MS, Event::Pass);
                }
                Event::AtVm(vm, ask) => self.offer(vm, ask),
                Event::Due(vm) => self.expire(vm),
                Event::Served(vm, ask) => {
                    if self.vms[vm].call == Some(ask) {
                        self.call_ended(vm, ask, Reply::Answered { given_ms: at_ms });
                    }
                }
                Event::GivenUp(vm, ask) => {
                    if self.vms[vm].call == Some(ask) {
                        self.call_ended(vm, ask, Reply::Failed);
                    }
                }
                Event::Replied(ask, reply, backlog_ms) => self.replied(ask, reply, backlog_ms),
                Event::Silent(ask, left_ms) => self.silent(ask, left_ms),
                Event::TimedOut(ask) => self.timed_out(ask),
                Event::Restart => {
                    for vm in &mut self.vms {
                        vm.queue = Queue::default();
                        vm.call = None;
                    }
                    self.choices = [Choice::new(0), Choice::new(1)];
                    self.asks.clear();
                    for step in self.steps.values_mut() {
                        step.permits.clear();
                        step.pending = None;
                        step.not_before_ms = 0;
                        step.answers = 0;
                    }
                }
            }
        }
    }

    fn arrivals(&mut self) {
        for (class, terms) in CLASSES.iter().enumerate() {
            let rate = terms.steps_per_s * load::surge(class, self.now_ms);
            let expected = rate * PASS_MS as f64 / 1_000.0;
            // At most five of the steps arrive in one pass.
            for _ in 0..5 {
                if self.random.next() < expected / 5.0 {
                    self.sequence += 1;
                    let step = Step {
                        class,
                        arrived_ms: self.now_ms,
                        waiting: terms.tasks,
                        room_ms: self.now_ms
                            + (-load::GANG_WAIT_MS * (1.0 - self.random.next()).ln()) as u64,
                        permits: Vec::new(),
                        pending: None,
                        not_before_ms: 0,
                        answers: 0,
                    };
                    self.steps.insert(self.sequence, step);
                }
            }
        }
        let now_ms = self.now_ms;
        self.steps
            .retain(|_, step| now_ms < step.arrived_ms + CLASSES[step.class].given_up_ms);
    }

    fn pass(&mut self) {
        let mut order: Vec<(u32, u64)> = self
            .steps
            .iter()
            .map(|(id, step)| (CLASSES[step.class].priority, *id))
            .collect();
        order.sort_unstable();
        self.window().waiting = order.len();
        for owner in 0..2 {
            self.loads[owner] = self.choices[owner].load(&self.names, self.now_ms);
        }
        for (_, id) in order {
            let step = &self.steps[&id];
            let valid = |at: &u64| self.now_ms < *at;
            let is_permitted = step.permits.len() >= 3 && step.permits.iter().all(valid);
            if CLASSES[step.class].gang && is_permitted && self.now_ms >= step.room_ms {
                self.place(id, 3);
            } else {
                self.ask(id);
            }
        }
    }

    fn ask(&mut self, id: u64) {
        let step = &self.steps[&id];
        let terms = &CLASSES[step.class];
        if step.pending.is_some() || self.now_ms < step.not_before_ms {
            return;
        }
        let is_planned = terms.gang && step.permits.len() >= 3;
        let expires_soon = |at: &u64| *at <= self.now_ms + load::RENEW_BEFORE_MS;
        if is_planned && !step.permits.iter().any(expires_soon) {
            return;
        }
        let workers = if is_planned {
            3
        } else {
            let workers = f64::from(step.waiting) * 2.0 / terms.allowed;
            (workers.ceil() as u32).clamp(12, 30)
        };
        let cost_ms = terms.call_ms + terms.worker_ms * f64::from(workers);
        let owner = terms.owner;
        if !self.loads[owner].admits(terms.priority, cost_ms, VALIDITY_MS) {
            return;
        }
        self.loads[owner].sent(cost_ms);
        let ask = Ask {
            owner,
            step: id,
            workers,
            cost_ms,
            priority: terms.priority,
            refusals: 0,
            is_late: false,
            assignment: Assignment {
                vm: self.names[0].clone(),
                queued_ms: 0.0,
                sent_ms: self.now_ms,
            },
        };
        self.send(ask);
    }

    /// Sends a request to a VM, as `Requester::request` does.
    fn send(&mut self, mut ask: Ask) {
        let wait_max_ms = AdviceLoad::wait_max_ms(ask.priority, VALIDITY_MS);
        let choice = &mut self.choices[ask.owner];
        let assignment = choice.assign(&self.names, ask.cost_ms, wait_max_ms as f64, self.now_ms);
        let Some(assignment) = assignment.filter(|_| ask.refusals < VMS_TRIED) else {
            self.window().busy += 1;
            if let Some(step) = self.steps.get_mut(&ask.step) {
                step.pending = None;
                step.not_before_ms = self.now_ms + BUSY_PAUSE_MS;
            }
            return;
        };
        self.sequence += 1;
        let number = self.sequence;
        let named = |name: &Arc<str>| *name == assignment.vm;
        let vm = self.names.iter().position(named).expect("a VM");
        let expected_ms = (ask.cost_ms + assignment.queued_ms) as u64 + SILENT_SLACK_MS;
        let longest_ms = wait_max_ms + (ask.cost_ms * 1.5) as u64 + SILENT_SLACK_MS;
        let left_ms = match ask.cost_ms > SHORT_ADVICE_MS {
            true => longest_ms.saturating_sub(expected_ms),
            false => 0,
        };
        self.at(self.now_ms + NETWORK_MS, Event::AtVm(vm, number));
        self.at(self.now_ms + expected_ms, Event::Silent(number, left_ms));
        if let Some(step) = self.steps.get_mut(&ask.step) {
            step.pending = Some(number);
        }
        ask.assignment = assignment;
        self.asks.insert(number, ask);
    }

    fn offer(&mut self, vm: usize, number: u64) {
        let Some(ask) = self.asks.get(&number) else {
            return;
        };
        let wait_max_ms = AdviceLoad::wait_max_ms(ask.priority, VALIDITY_MS);
        let request = Request {
            number,
            shard: ask.owner as u32,
            epoch: 1,
            priority: ask.priority,
            cost_ms: ask.cost_ms,
            useful_ms: wait_max_ms + ask.cost_ms as u64,
        };
        match self.vms[vm].queue.offer(request, self.now_ms) {
            Offer::Queued { send_by_ms } => {
                self.at(send_by_ms + 1, Event::Due(vm));
                self.send_call(vm);
            }
            Offer::Busy | Offer::Superseded => self.reply(vm, number, Reply::Busy),
        }
    }

    fn expire(&mut self, vm: usize) {
        for number in self.vms[vm].queue.expire(self.now_ms) {
            self.reply(vm, number, Reply::Expired);
        }
    }

    fn reply(&mut self, vm: usize, number: u64, reply: Reply) {
        let backlog_ms = self.vms[vm].queue.backlog_ms(self.now_ms);
        let replied = Event::Replied(number, reply, backlog_ms);
        self.at(self.now_ms + NETWORK_MS, replied);
    }

    fn send_call(&mut self, vm: usize) {
        self.expire(vm);
        let Some(number) = self.vms[vm].queue.next(self.now_ms) else {
            return;
        };
        let cost_ms = match self.asks.get(&number) {
            Some(ask) if !ask.is_late => ask.cost_ms,
            ask => {
                let cost_ms = ask.map_or(0.0, |ask| ask.cost_ms);
                self.window().abandoned += 1;
                cost_ms
            }
        };
        self.vms[vm].call = Some(number);
        let begins_ms = self.vms[vm].service_busy_until_ms.max(self.now_ms);
        let slowness = load::slowness(vm, self.now_ms);
        let ends_ms = begins_ms + (cost_ms * slowness.unwrap_or(1.0)) as u64;
        self.vms[vm].service_busy_until_ms = ends_ms;
        if slowness.is_some() {
            self.at(ends_ms, Event::Served(vm, number));
        }
        let timeout = (cost_ms * ADAPTER_FACTOR) as u64 + ADAPTER_SLACK_MS;
        self.at(self.now_ms + timeout, Event::GivenUp(vm, number));
    }

    fn call_ended(&mut self, vm: usize, number: u64, reply: Reply) {
        self.vms[vm].call = None;
        let is_answered = matches!(reply, Reply::Answered { .. });
        self.vms[vm].queue.answered(is_answered, self.now_ms);
        self.reply(vm, number, reply);
        self.send_call(vm);
    }

    fn silent(&mut self, number: u64, left_ms: u64) {
        if let Some(ask) = self.asks.get(&number) {
            self.choices[ask.owner].silent(&ask.assignment, self.now_ms);
            self.at(self.now_ms + left_ms, Event::TimedOut(number));
        }
    }

    fn timed_out(&mut self, number: u64) {
        let Some(ask) = self.asks.get_mut(&number) else {
            return;
        };
        ask.is_late = true;
        let step = ask.step;
        self.failed(step);
    }

    fn failed(&mut self, step: u64) {
        self.window().asked += 1;
        self.window().failed += 1;
        if let Some(step) = self.steps.get_mut(&step) {
            step.pending = None;
            step.not_before_ms = self.now_ms + 100;
        }
    }

    fn replied(&mut self, number: u64, reply: Reply, backlog_ms: f64) {
        let Some(mut ask) = self.asks.remove(&number) else {
            return;
        };
        let (vm, now_ms) = (&ask.assignment.vm, self.now_ms);
        self.choices[ask.owner].reported(vm, backlog_ms, now_ms);
        match reply {
            Reply::Answered { given_ms } => {
                match ask.is_late {
                    true => self.window().late += 1,
                    false => self.window().asked += 1,
                }
                self.apply(&ask, given_ms + VALIDITY_MS);
            }
            _ if ask.is_late => {}
            Reply::Busy => {
                ask.refusals += 1;
                self.send(ask);
            }
            Reply::Expired | Reply::Failed => self.failed(ask.step),
        }
    }

    fn apply(&mut self, ask: &Ask, expires_ms: u64) {
        let (id, workers, is_late) = (ask.step, ask.workers, ask.is_late);
        let now_ms = self.now_ms;
        let Some(step) = self.steps.get_mut(&id) else {
            return;
        };
        let terms = &CLASSES[step.class];
        let expires_ms = expires_ms - EXPIRY_MARGIN_MS;
        if !is_late {
            step.pending = None;
            step.not_before_ms = now_ms + (60 << step.answers.min(4));
            step.answers += 1;
        }
        if terms.gang && workers == 3 {
            step.permits.truncate(3);
            step.permits.fill(expires_ms);
        } else {
            for _ in 0..workers {
                if self.random.next() < terms.allowed {
                    step.permits.push(expires_ms);
                }
            }
        }
        if terms.gang {
            if workers != 3 {
                step.permits.truncate(3);
            }
            return;
        }
        let has_room = |_: &u64| self.random.next() < terms.room;
        let placed = step.permits.drain(..).filter(has_room).count() as u32;
        self.place(id, placed);
    }

    fn place(&mut self, id: u64, placed: u32) {
        let Some(step) = self.steps.get_mut(&id) else {
            return;
        };
        step.waiting = step.waiting.saturating_sub(placed);
        if placed > 0 {
            step.answers = 0;
            step.not_before_ms = self.now_ms;
        }
        if step.waiting == 0 {
            self.steps.remove(&id);
            self.window().placed += 1;
        }
    }
}
