//! In-memory workers, instances and list of VMs.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use error_stack::Report as ErrorReport;
use rosemaryworks_core::job::Task;
use rosemaryworks_core::placement::{Attempt, Finished, Lease, Report, Result as End};
use rosemaryworks_core::shard::Epoch;
use rosemaryworks_core::size::Size;
use rosemaryworks_core::target::{Instance, State, Worker};
use rosemaryworks_platform::directory::Listing;
use rosemaryworks_platform::instances::{Request, Response};
use rosemaryworks_platform::workers::{Action, Control, Grant, Sync};
use rosemaryworks_platform::{Answer, Directory, Failure, Fault, Instances, Workers};

#[derive(Default)]
struct Inner {
    highest_epochs: BTreeMap<Arc<str>, Epoch>,
    running: HashMap<(Arc<str>, Task, Attempt), (Grant, Instant)>,
    finished: HashMap<(Arc<str>, Task, Attempt), Finished>,
    starts: Vec<Task>,
}

/// Targets that are always live. Tasks run for their declared time.
#[derive(Clone, Default)]
pub(crate) struct Targets(Arc<Mutex<Inner>>);

impl Targets {
    /// Returns the task of each attempt that was started.
    pub(crate) fn starts(&self) -> Vec<Task> {
        self.0.lock().unwrap().starts.clone()
    }

    /// Returns an error if the worker has seen a newer epoch.
    fn check_epoch(&self, worker: &Worker, epoch: Epoch) -> Result<(), ErrorReport<Failure>> {
        let mut state = self.0.lock().unwrap();
        let highest = state.highest_epochs.entry(worker.name.clone()).or_default();
        if epoch < *highest {
            let fault = Fault::Fenced { seen: highest.0 };
            return Err(ErrorReport::new(Failure::new("call", &worker.name, fault)));
        }
        *highest = epoch;
        Ok(())
    }

    fn report(&self, worker: &Worker, sync: &Sync) -> Report {
        let mut state = self.0.lock().unwrap();
        for (task, attempt) in &sync.acknowledge {
            let key = (worker.name.clone(), task.clone(), *attempt);
            state.finished.remove(&key);
        }
        let done: Vec<_> = state
            .running
            .iter()
            .filter(|(_, (grant, since))| since.elapsed() >= Duration::from_millis(grant.run_ms))
            .map(|(key, _)| key.clone())
            .collect();
        for key in done {
            let (grant, _) = state.running.remove(&key).unwrap();
            let finished = Finished {
                task: grant.task.clone(),
                attempt: grant.attempt,
                result: End::Succeeded,
                run_ms: grant.run_ms,
            };
            state.finished.insert(key, finished);
        }
        let own = |name: &Arc<str>| *name == worker.name;
        let running = state.running.iter().filter(|(key, _)| own(&key.0));
        let leases = running.map(|(_, (grant, _))| Lease {
            task: grant.task.clone(),
            attempt: grant.attempt,
            size: grant.size,
            used: Size::ZERO,
            used_age_ms: 0,
            checkpointed: false,
        });
        let finished = state.finished.iter().filter(|(key, _)| own(&key.0));
        Report {
            leases: leases.collect(),
            finished: finished.map(|(_, finished)| finished.clone()).collect(),
            leaving: false,
        }
    }
}

impl Workers for Targets {
    fn control(&self, worker: &Worker, control: Control) -> Answer<()> {
        let result = self.check_epoch(worker, control.epoch);
        if result.is_ok() && control.action == Action::Stop {
            let key = (worker.name.clone(), control.task, control.attempt);
            let mut state = self.0.lock().unwrap();
            if let Some((grant, since)) = state.running.remove(&key) {
                let finished = Finished {
                    task: grant.task,
                    attempt: grant.attempt,
                    result: End::Stopped,
                    run_ms: since.elapsed().as_millis() as u64,
                };
                state.finished.insert(key, finished);
            }
        }
        Box::pin(std::future::ready(result))
    }

    fn place(&self, worker: &Worker, grant: Grant) -> Answer<()> {
        let result = self.check_epoch(worker, grant.epoch);
        if result.is_ok() {
            let mut state = self.0.lock().unwrap();
            state.starts.push(grant.task.clone());
            let key = (worker.name.clone(), grant.task.clone(), grant.attempt);
            state.running.insert(key, (grant, Instant::now()));
        }
        Box::pin(std::future::ready(result))
    }

    fn sync(&self, worker: &Worker, sync: Sync) -> Answer<Report> {
        let result = self.check_epoch(worker, sync.epoch);
        let result = result.map(|()| self.report(worker, &sync));
        Box::pin(std::future::ready(result))
    }
}

impl Instances for Targets {
    fn occupancy(&self, _instance: &Instance) -> Answer<Option<u32>> {
        Box::pin(std::future::ready(Ok(Some(0))))
    }

    fn send(&self, _instance: &Instance, _request: Request) -> Answer<Response> {
        Box::pin(std::future::ready(Ok(Response::default())))
    }
}

impl Directory for Targets {
    fn list(&self) -> Answer<Listing> {
        let instance = |index: u16| Instance {
            name: format!("booking-{index}").into(),
            service: "booking".into(),
            zone: "a".into(),
            address: ([127, 0, 0, 1], 9_000 + index).into(),
            slots: 8,
            connections: 64,
        };
        let worker = |index: u16| Worker {
            name: format!("cpu-{index}").into(),
            pool: "cpu".into(),
            zone: "a".into(),
            rack: format!("rack-{index}").into(),
            address: ([127, 0, 0, 1], 9_100 + index).into(),
            size: Size::new(16_000, 32_000),
        };
        let listing = Listing {
            workers: (0..4).map(|i| (worker(i), State::Live)).collect(),
            instances: (0..4).map(|i| (instance(i), State::Live)).collect(),
        };
        Box::pin(std::future::ready(Ok(listing)))
    }
}
