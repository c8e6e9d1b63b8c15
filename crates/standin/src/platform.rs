//! All simulated parts of the platform, and the fault injection into them.

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
use crate::worker::{Availability, Checkpoints, Context, Worker};

/// The simulated platform: log, list of VMs, workers and instances.
#[derive(Debug)]
pub struct Platform {
    /// The list of VMs.
    pub directory: Directory,
    /// Writer of the event history.
    pub history: Arc<Writer>,
    /// Instances.
    pub instances: Vec<Arc<Instance>>,
    /// The log.
    pub log: Log,
    /// Workers.
    pub workers: Vec<Arc<Worker>>,
}

/// Response to `GET /v1/summary`.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Summary {
    /// Leases held at all workers.
    pub leases: usize,
    /// Requests running at all instances.
    pub requests: u32,
    /// Retained records by stream.
    pub records: BTreeMap<Arc<str>, usize>,
}

impl Platform {
    /// Creates a platform in which every VM is live.
    #[must_use]
    pub fn new(settings: &Settings, history: Arc<Writer>) -> Self {
        let context = Context {
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
        let worker = |(index, target)| Arc::new(Worker::new(target, index, context.clone()));
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

    /// Applies time-driven changes of the workers and of the list of VMs.
    pub fn tick(&self) {
        let now = clock::now();
        self.directory.tick(now);
        self.workers.iter().for_each(|worker| worker.tick(now));
    }

    /// Returns the summary of leases, requests and records.
    #[must_use]
    pub fn summary(&self) -> Summary {
        let now = clock::now();
        Summary {
            leases: self.workers.iter().map(|worker| worker.leases(now)).sum(),
            requests: self.instances.iter().map(|instance| instance.busy()).sum(),
            records: self.log.sizes(),
        }
    }

    /// Injects or clears a failure.
    ///
    /// # Errors
    ///
    /// Returns the reason if the failure names an unknown target. The failure is not injected then.
    pub fn inject(&self, fault: &Fault) -> Result<(), String> {
        match fault {
            Fault::LogDown => self.log.behaviour(|log| log.down = true),
            Fault::LogLoseAnswers { count } => self.log.behaviour(|log| log.lose_answers = *count),
            Fault::LogReject { count } => self.log.behaviour(|log| log.reject = *count),
            Fault::LogSlow { delay_ms } => self.log.behaviour(|log| log.delay_ms = *delay_ms),
            Fault::LogUp => self
                .log
                .behaviour(|log| *log = crate::log::Behaviour::default()),
            Fault::WorkersCut { targets } => {
                self.set_availability(targets, Availability::Partitioned)?
            }
            Fault::WorkersDied { targets } => self.set_availability(targets, Availability::Down)?,
            Fault::WorkersUp { targets } => self.set_availability(targets, Availability::Up)?,
            Fault::WorkerFails { target, fails } => {
                self.worker(target)?.set_fails(clock::now(), *fails);
            }
            Fault::InstanceCrashed { target } => self
                .instance(target)?
                .change(|behaviour| behaviour.crashed = true),
            Fault::InstanceCuts { target } => self
                .instance(target)?
                .change(|behaviour| behaviour.truncates = true),
            Fault::InstanceSlow { target, percent } => self
                .instance(target)?
                .change(|behaviour| behaviour.percent = (*percent).max(1)),
            Fault::InstanceUp { target } => self
                .instance(target)?
                .change(|behaviour| *behaviour = crate::instance::Behaviour::default()),
            Fault::Leaving {
                target,
                list,
                itself,
                within_ms,
            } => self.announce_leaving(target, *list, *itself, *within_ms)?,
            Fault::Removed { target } => self.change_listing(target, Change::Removed)?,
            Fault::Returned { target } => {
                self.change_listing(target, Change::Live)?;
                self.withdraw_leaving(target);
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

    /// Sets the availability of workers, given by their names or racks.
    fn set_availability(
        &self,
        targets: &[Arc<str>],
        availability: Availability,
    ) -> Result<(), String> {
        let mut selected = Vec::new();
        for name in targets {
            let before = selected.len();
            let matches =
                |worker: &&Arc<Worker>| worker.target.name == *name || worker.target.rack == *name;
            selected.extend(self.workers.iter().filter(matches));
            if selected.len() == before {
                return Err(format!("worker or rack {name:?} does not exist"));
            }
        }
        let now = clock::now();
        selected
            .iter()
            .for_each(|worker| worker.set_availability(now, availability));
        Ok(())
    }

    /// Changes the entry of a VM in the list after its lag.
    fn change_listing(&self, target: &Arc<str>, change: Change) -> Result<(), String> {
        if self.worker(target).is_err() && self.instance(target).is_err() {
            return Err(format!("target {target:?} does not exist"));
        }
        self.directory.change(clock::now(), target, change);
        Ok(())
    }

    /// Announces over the list, the VM itself or both that a VM is leaving.
    fn announce_leaving(
        &self,
        target: &Arc<str>,
        list: bool,
        itself: bool,
        within_ms: Option<u64>,
    ) -> Result<(), String> {
        if list {
            self.change_listing(target, Change::Leaving { within_ms })?;
        }
        match (itself, self.worker(target), self.instance(target)) {
            (false, Ok(_), _) | (false, _, Ok(_)) => {}
            (true, Ok(worker), _) => worker.set_leaving(clock::now(), true),
            (true, _, Ok(instance)) => instance.change(|behaviour| behaviour.leaving = true),
            (_, Err(_), Err(_)) => return Err(format!("target {target:?} does not exist")),
        }
        Ok(())
    }

    /// Withdraws the announcement of the VM itself that it is leaving.
    fn withdraw_leaving(&self, target: &str) {
        if let Ok(worker) = self.worker(target) {
            worker.set_leaving(clock::now(), false);
        }
        if let Ok(instance) = self.instance(target) {
            instance.change(|behaviour| behaviour.leaving = false);
        }
    }
}
