//! The whole stand-in behind its ports.

use std::collections::BTreeMap;
use std::sync::Arc;

use rosemaryworks_history::Event;
use rosemaryworks_history::file::Writer;
use rosemaryworks_node::clock;
use serde::Serialize;

use crate::directory::{Change, Directory};
use crate::fault::Fault;
use crate::instance::Instance;
use crate::log::Log;
use crate::settings::Settings;
use crate::worker::{Checkpoints, Reach, Shared, Worker};

/// Log, list of VMs, workers and instances.
#[derive(Debug)]
pub struct Platform {
    /// The list of VMs.
    pub directory: Directory,
    /// History.
    pub history: Arc<Writer>,
    /// Instances.
    pub instances: Vec<Arc<Instance>>,
    /// The log.
    pub log: Log,
    /// Workers.
    pub workers: Vec<Arc<Worker>>,
}

/// Answer to `GET /v1/summary`.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Summary {
    /// Leases held at all workers.
    pub leases: usize,
    /// Requests that run at all instances.
    pub requests: u32,
    /// Records kept by stream.
    pub records: BTreeMap<Arc<str>, usize>,
}

impl Platform {
    /// Creates a stand-in in which every VM is live.
    #[must_use]
    pub fn new(settings: &Settings, history: Arc<Writer>) -> Self {
        let shared = Shared {
            checkpoints: Checkpoints::default(),
            history: history.clone(),
            tasks: settings.tasks.clone(),
        };
        let workers: Vec<_> = settings
            .workers
            .iter()
            .flat_map(crate::settings::Workers::targets)
            .collect();
        let instances: Vec<_> = settings
            .instances
            .iter()
            .flat_map(crate::settings::Instances::targets)
            .collect();
        let worker = |(index, target)| Arc::new(Worker::new(target, index, shared.clone()));
        let instance = |target| Arc::new(Instance::new(target, history.clone()));
        Self {
            directory: Directory::new(
                workers.clone(),
                instances.clone(),
                settings.directory.lag_ms,
                history.clone(),
            ),
            instances: instances.into_iter().map(instance).collect(),
            log: Log::new(&settings.log, history.clone()),
            workers: workers.into_iter().enumerate().map(worker).collect(),
            history,
        }
    }

    /// Lets time pass at the workers and in the list of VMs.
    pub fn tick(&self) {
        let now = clock::now();
        self.directory.tick(now);
        self.workers.iter().for_each(|worker| worker.tick(now));
    }

    /// Returns what the stand-in holds.
    #[must_use]
    pub fn summary(&self) -> Summary {
        let now = clock::now();
        Summary {
            leases: self.workers.iter().map(|worker| worker.leases(now)).sum(),
            requests: self.instances.iter().map(|instance| instance.busy()).sum(),
            records: self.log.sizes(),
        }
    }

    /// Injects a failure or ends one.
    ///
    /// # Errors
    ///
    /// Returns the reason if the failure names an unknown target. Nothing changes then.
    pub fn inject(&self, fault: &Fault) -> Result<(), String> {
        match fault {
            Fault::LogDown => self.log.behaviour(|log| log.down = true),
            Fault::LogLoseAnswers { count } => self.log.behaviour(|log| log.lose_answers = *count),
            Fault::LogReject { count } => self.log.behaviour(|log| log.reject = *count),
            Fault::LogSlow { delay_ms } => self.log.behaviour(|log| log.delay_ms = *delay_ms),
            Fault::LogUp => self
                .log
                .behaviour(|log| *log = crate::log::Behaviour::default()),
            Fault::WorkersCut { targets } => self.reach(targets, Reach::Cut)?,
            Fault::WorkersDied { targets } => self.reach(targets, Reach::Died)?,
            Fault::WorkersUp { targets } => self.reach(targets, Reach::Up)?,
            Fault::WorkerFails { target, fails } => {
                self.worker(target)?.set_fails(clock::now(), *fails);
            }
            Fault::InstanceCrashed { target } => {
                self.instance(target)?.change(|it| it.crashed = true)
            }
            Fault::InstanceCuts { target } => self.instance(target)?.change(|it| it.cuts = true),
            Fault::InstanceSlow { target, percent } => self
                .instance(target)?
                .change(|it| it.percent = (*percent).max(1)),
            Fault::InstanceUp { target } => self
                .instance(target)?
                .change(|it| *it = crate::instance::Behaviour::default()),
            Fault::Leaving {
                target,
                list,
                itself,
                within_ms,
            } => self.leave(target, *list, *itself, *within_ms)?,
            Fault::Removed { target } => self.list(target, Change::Removed)?,
            Fault::Returned { target } => {
                self.list(target, Change::Live)?;
                self.stay(target);
                self.history.record(Event::Returned {
                    target: target.clone(),
                });
            }
        }
        Ok(())
    }

    fn worker(&self, name: &str) -> Result<&Worker, String> {
        let mut workers = self.workers.iter();
        let found = workers.find(|worker| &*worker.target.name == name);
        found
            .map(|worker| &**worker)
            .ok_or_else(|| format!("worker {name:?} does not exist"))
    }

    fn instance(&self, name: &str) -> Result<&Instance, String> {
        let mut instances = self.instances.iter();
        let found = instances.find(|instance| &*instance.target.name == name);
        found
            .map(|instance| &**instance)
            .ok_or_else(|| format!("instance {name:?} does not exist"))
    }

    /// Sets the reach of workers, given by their names or their racks.
    fn reach(&self, targets: &[Arc<str>], reach: Reach) -> Result<(), String> {
        let mut meant = Vec::new();
        for name in targets {
            let before = meant.len();
            let named =
                |worker: &&Arc<Worker>| worker.target.name == *name || worker.target.rack == *name;
            meant.extend(self.workers.iter().filter(named));
            if meant.len() == before {
                return Err(format!("worker or rack {name:?} does not exist"));
            }
        }
        let now = clock::now();
        meant.iter().for_each(|worker| worker.set_reach(now, reach));
        Ok(())
    }

    fn list(&self, target: &Arc<str>, change: Change) -> Result<(), String> {
        if self.worker(target).is_err() && self.instance(target).is_err() {
            return Err(format!("target {target:?} does not exist"));
        }
        self.directory.change(clock::now(), target, change);
        Ok(())
    }

    fn leave(
        &self,
        target: &Arc<str>,
        list: bool,
        itself: bool,
        within_ms: Option<u64>,
    ) -> Result<(), String> {
        if list {
            self.list(target, Change::Leaving { within_ms })?;
        }
        match (itself, self.worker(target), self.instance(target)) {
            (false, Ok(_), _) | (false, _, Ok(_)) => {}
            (true, Ok(worker), _) => worker.set_leaving(clock::now(), true),
            (true, _, Ok(instance)) => instance.change(|it| it.leaving = true),
            (_, Err(_), Err(_)) => return Err(format!("target {target:?} does not exist")),
        }
        Ok(())
    }

    fn stay(&self, target: &str) {
        if let Ok(worker) = self.worker(target) {
            worker.set_leaving(clock::now(), false);
        }
        if let Ok(instance) = self.instance(target) {
            instance.change(|it| it.leaving = false);
        }
    }
}
