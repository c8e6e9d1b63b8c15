//! A simulated world: time, processes, workers, the log and the paths between them.

use std::ops::Range;
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rosemaryworks_core::size::Size;
use rosemaryworks_workflow::{Id, Record, Spec, Step};

use super::clock::Clock;
use super::fault::Fault;
use super::fleet::Call;
use super::history::History;
use super::log::{Log, Request};
use super::network::{Network, Path, Place};
use super::process::{Input, Message, Process, Purpose, name};
use super::queue::Queue;
use super::series;
use super::worker::{LEASE_MAX_MS, Worker};

/// Simulated time of a run in milliseconds.
const END_MS: u64 = 30_000;

/// The same for a world in which workers start again.
const RESTARTS_END_MS: u64 = 60_000;

/// Longest lease in some worlds in which workers start again, in milliseconds.
const SHORT_LEASE_MAX_MS: u64 = 6_000;

/// Time-out of a call of the log in milliseconds.
const LOG_TIMEOUT_MS: u64 = 700;

/// Upper bound of the usual delay of a call of the log each way, in milliseconds.
pub(crate) const LOG_DELAY_MS: u64 = 15;

/// Which processes an owner without a log regards as ones that may have claimed the shard.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Acquaintance {
    /// All, whether they had a link or not.
    All,
    /// Those with which it has or had a link, as in the product.
    #[default]
    Links,
}

/// Deviations from the protocol, and whether workers start again. The default has none.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rules {
    pub(crate) acquaintance: Acquaintance,
    /// Owners command workers without a valid permission.
    pub(crate) ignores_permission: bool,
    /// Owners take the newest record of the claim's key as a proof, in place of the stream.
    pub(crate) proves_by_newest: bool,
    /// Workers start again, calls to them are late, and starts need a permit.
    pub(crate) restarts: bool,
}

/// Size of a world.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scale {
    pub(crate) processes: usize,
    pub(crate) workers: usize,
}

/// What happens at a time.
pub(crate) enum Event {
    FaultBegins(Fault),
    FaultEnds(Fault),
    Links,
    LogCall {
        process: usize,
        call: u64,
        request: Request,
    },
    PollEnds {
        poll: u64,
    },
    Process {
        process: usize,
        input: Input,
    },
    Submit,
    WorkerCall(Call),
    WorkerListed {
        worker: usize,
        incarnation: u64,
    },
    WorkerTimer(usize),
}

/// A renewal that waits at a worker for the end of an attempt.
pub(crate) struct Poll {
    pub(crate) number: u64,
    pub(crate) worker: usize,
    pub(crate) process: usize,
    pub(crate) epoch: u64,
    pub(crate) call: u64,
}

/// A simulated world.
pub(crate) struct World {
    pub(crate) now_ms: u64,
    pub(crate) rng: SmallRng,
    pub(crate) rules: Rules,
    pub(crate) log: Log,
    pub(crate) network: Network,
    pub(crate) processes: Vec<Process>,
    pub(crate) workers: Vec<Worker>,
    pub(crate) polls: Vec<Poll>,
    pub(crate) history: History,
    /// Longest lease that workers grant, in milliseconds.
    pub(crate) lease_max_ms: u64,
    /// Whether most tasks take several seconds.
    pub(crate) has_long_tasks: bool,
    pub(crate) last_number: u64,
    queue: Queue<Event>,
    last_job: u64,
}

impl World {
    /// Creates a world whose size and faults the seed draws.
    pub(crate) fn new(seed: u64, rules: Rules) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut scale = Scale {
            processes: rng.random_range(3..=5),
            workers: rng.random_range(2..=4),
        };
        let count = rng.random_range(4..=14);
        let faults = (0..count).map(|_| Fault::draw(&mut rng, scale));
        let mut faults: Vec<(Range<u64>, Fault)> = faults.collect();
        let (mut lease_max_ms, mut has_long_tasks) = (LEASE_MAX_MS, false);
        if rules.restarts {
            // A generator of its own, so that the other faults stay those of the seed.
            let mut rng = SmallRng::seed_from_u64(seed ^ 0x00a9_a125);
            scale.workers += rng.random_range(1..=3);
            series::draw(&mut rng, scale, &mut faults);
            if rng.random_bool(0.3) {
                lease_max_ms = SHORT_LEASE_MAX_MS;
            }
            has_long_tasks = rng.random_bool(0.6);
        }
        Self {
            has_long_tasks,
            ..Self::with_lease(seed, scale, faults, rules, lease_max_ms)
        }
    }

    /// Creates a world with the given faults, each with its times.
    pub(crate) fn with_faults(
        seed: u64,
        scale: Scale,
        faults: Vec<(Range<u64>, Fault)>,
        rules: Rules,
    ) -> Self {
        Self::with_lease(seed, scale, faults, rules, LEASE_MAX_MS)
    }

    fn with_lease(
        seed: u64,
        scale: Scale,
        faults: Vec<(Range<u64>, Fault)>,
        rules: Rules,
        lease_max_ms: u64,
    ) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed ^ 0x5eed);
        let processes =
            (0..scale.processes).map(|index| Process::new(index, Clock::draw(&mut rng)));
        let processes = processes.collect();
        let worker = |_| {
            let clock = Clock::draw(&mut rng);
            Worker::new(clock, rng.random_range(0..150), lease_max_ms)
        };
        let workers = (0..scale.workers).map(worker).collect();
        let mut world = Self {
            now_ms: 0,
            rng,
            rules,
            log: Log::default(),
            network: Network {
                log_delay_ms: LOG_DELAY_MS,
                ..Network::default()
            },
            processes,
            workers,
            polls: Vec::new(),
            history: History::default(),
            lease_max_ms,
            has_long_tasks: false,
            last_number: 0,
            queue: Queue::default(),
            last_job: 0,
        };
        world.plan(scale, faults);
        world
    }

    fn plan(&mut self, scale: Scale, faults: Vec<(Range<u64>, Fault)>) {
        if self.rules.acquaintance == Acquaintance::All {
            (0..scale.processes).for_each(|process| self.introduce_all(process));
        }
        for process in 0..scale.processes {
            let delay_ms = self.rng.random_range(0..200);
            self.input_after(process, delay_ms, Input::ReadClaims { timer: 0 });
            self.input_after(process, delay_ms, Input::Renew);
            if self.rules.proves_by_newest {
                self.input_after(process, delay_ms, Input::ReadNewest);
            }
        }
        self.list_all();
        self.after(0, Event::Links);
        self.after(1_000, Event::Submit);
        for (times, fault) in faults {
            self.after(times.start, Event::FaultBegins(fault.clone()));
            self.after(times.end, Event::FaultEnds(fault));
        }
    }

    /// Lets a process know all others for good.
    pub(crate) fn introduce_all(&mut self, process: usize) {
        let others = (0..self.processes.len()).filter(|other| *other != process);
        for other in others {
            self.processes[process].known.opened(&name(other));
        }
    }

    /// Runs the world to its end.
    pub(crate) fn run(&mut self) {
        let end_ms = match self.rules.restarts {
            true => RESTARTS_END_MS,
            false => END_MS,
        };
        while let Some((at_ms, event)) = self.queue.pop() {
            if at_ms > end_ms {
                return;
            }
            self.now_ms = at_ms;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::FaultBegins(fault) => self.begin_fault(&fault),
            Event::FaultEnds(fault) => self.end_fault(&fault),
            Event::Links => self.update_links(),
            Event::LogCall {
                process,
                call,
                request,
            } => self.execute_log_call(process, call, request),
            Event::PollEnds { poll } => self.end_poll(poll),
            Event::Process { process, input } => self.deliver(process, input),
            Event::Submit => self.submit_job(),
            Event::WorkerCall(call) => self.receive_call(call),
            Event::WorkerListed {
                worker,
                incarnation,
            } => self.list_worker(worker, incarnation),
            Event::WorkerTimer(worker) => self.end_due_runs(worker),
        }
    }

    /// Passes an input to a process, after its pause if it is paused.
    fn deliver(&mut self, process: usize, input: Input) {
        let until_ms = self.processes[process].paused_until_ms;
        match until_ms > self.now_ms {
            true => self.after(until_ms - self.now_ms, Event::Process { process, input }),
            false => self.handle_input(process, input),
        }
    }

    /// Adds an event after a simulated time.
    pub(crate) fn after(&mut self, ms: u64, event: Event) {
        let order = self.rng.random();
        self.queue.push(self.now_ms + ms, order, event);
    }

    /// Adds an input after a simulated time.
    pub(crate) fn input_after(&mut self, process: usize, ms: u64, input: Input) {
        self.after(ms, Event::Process { process, input });
    }

    /// Adds an input after a time on the clock of the process.
    pub(crate) fn set_timer(&mut self, process: usize, ms: u64, input: Input) {
        let ms = self.processes[process].clock.duration(ms);
        self.input_after(process, ms, input);
    }

    /// Returns the time on the clock of a process.
    pub(crate) fn clock_ms(&self, process: usize) -> u64 {
        self.processes[process].clock.read(self.now_ms)
    }

    pub(crate) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Sends a request to the log. The answer, or `None` after the time-out, reaches the process.
    pub(crate) fn call_log(&mut self, process: usize, purpose: Purpose, request: Request) {
        self.call_log_within(process, purpose, request, LOG_TIMEOUT_MS);
    }

    pub(crate) fn call_log_within(
        &mut self,
        process: usize,
        purpose: Purpose,
        request: Request,
        timeout_ms: u64,
    ) {
        let call = self.next_number();
        let takeover_ms = match purpose.is_of_takeover() {
            true => self.network.takeover_call_ms,
            false => 0,
        };
        self.processes[process].calls.insert(call, purpose);
        let lost = Input::LogAnswer {
            call,
            response: None,
        };
        self.set_timer(process, timeout_ms, lost.clone());
        if self.network.path(Place::Process(process), Place::Log) == Path::Closed {
            self.input_after(process, 2, lost);
            return;
        }
        let delay_ms = match self.rng.random_range(0..100) {
            0 => self.rng.random_range(300..3_000),
            _ => takeover_ms + self.rng.random_range(1..=self.network.log_delay_ms),
        };
        let event = Event::LogCall {
            process,
            call,
            request,
        };
        self.after(delay_ms, event);
    }

    fn execute_log_call(&mut self, process: usize, call: u64, request: Request) {
        let path = self.network.path(Place::Process(process), Place::Log);
        match path {
            Path::Open => {}
            Path::Held => {
                let event = Event::LogCall {
                    process,
                    call,
                    request,
                };
                return self.after(50, event);
            }
            Path::Closed | Path::Silent => return,
        }
        let response = self.log.execute(request, self.now_ms);
        let delay_ms = match self.rng.random_range(0..100) {
            0 => return,
            1 => self.rng.random_range(300..900),
            _ => self.rng.random_range(1..=self.network.log_delay_ms),
        };
        let answer = Input::LogAnswer {
            call,
            response: Some(response),
        };
        self.input_after(process, delay_ms, answer);
    }

    /// Sends a message to another process.
    pub(crate) fn send(&mut self, from: usize, to: usize, message: Message) {
        let path = self.network.path(Place::Process(from), Place::Process(to));
        if path != Path::Open {
            return;
        }
        let delay_ms = match self.rng.random_range(0..50) {
            0 => self.rng.random_range(50..700),
            _ => self.rng.random_range(1..10),
        };
        self.input_after(to, delay_ms, Input::Message { from, message });
    }

    /// Submits a job of one or two tasks through some process.
    fn submit_job(&mut self) {
        self.last_job += 1;
        let step = Step {
            count: self.rng.random_range(1..=2),
            estimate_ms: 500,
            size: Size::new(1_000, 1_024),
            ..Step::default()
        };
        let spec = Spec {
            steps: vec![step],
            ..Spec::default()
        };
        let record = Record::Submitted {
            id: Id(self.last_job),
            queue: "q".into(),
            spec: Arc::new(spec),
        };
        let process = self.rng.random_range(0..self.processes.len());
        self.input_after(process, 0, Input::Submit(record));
        let pause_ms = self.rng.random_range(100..500);
        self.after(pause_ms, Event::Submit);
    }
}
