//! Commands of an owner to its workers, sent by this VM or through relays.

use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rosemaryworks_node::clock;
use rosemaryworks_wire::command::{Command, Outcome};
use rosemaryworks_workflow::{
    Order, Pace, Refusal, Renewal, RenewalFault, Report, StartOutcome, Stop,
};

use crate::events;
use crate::exchange::{Exchange, Relayed};
use crate::node::{Node, lock};
use crate::owner::Owner;
use crate::port::{Answer, Workers};
use crate::relays::{self, Offer, Relays};

/// Time for a relay to pass a command on and to return the outcome, beyond the limit for the worker.
const RELAY_SLACK: Duration = Duration::from_millis(100);

/// Time for a relay to stop or pace an attempt, and to return the outcome.
const COMMAND_LIMIT: Duration = Duration::from_millis(500);

/// Outcome of a renewal.
pub(crate) struct Renewed {
    pub(crate) result: Result<Report, RenewalFault>,
    /// Whether it was sent twice, because a relay gave no answer and may still send it.
    pub(crate) is_repeated: bool,
}

/// Commands to the workers of one owner. Clones share the relays.
#[derive(Clone)]
pub(crate) struct RelayedWorkers {
    direct: Arc<dyn Workers>,
    exchange: Arc<Exchange>,
    relays: Arc<Mutex<Relays>>,
}

impl RelayedWorkers {
    pub(crate) fn new(direct: Arc<dyn Workers>, exchange: Arc<Exchange>) -> Self {
        Self {
            direct,
            exchange,
            relays: Arc::default(),
        }
    }

    /// Assigns relays for `workers` of an owner that calls `own` of them itself at most. `is_owner`
    /// tells of another process whether it owns a shard. Returns the relays if they have changed.
    fn assign(
        &self,
        workers: usize,
        own: u32,
        is_owner: impl Fn(&str) -> bool,
    ) -> Option<Vec<Arc<str>>> {
        let count = relays::needed(workers, own);
        let offers: Vec<Offer> = match count {
            0 => Vec::new(),
            _ => self
                .exchange
                .offers()
                .into_iter()
                .map(|(vm, millicores)| Offer {
                    is_owner: is_owner(&vm),
                    vm,
                    millicores,
                })
                .collect(),
        };
        let mut relays = lock(&self.relays);
        let has_changed = relays.assign(count, &offers, clock::now().0);
        has_changed.then(|| relays.in_use().cloned().collect())
    }

    /// Returns the number of relays in use.
    pub(crate) fn relay_count(&self) -> usize {
        lock(&self.relays).in_use().count()
    }

    fn choose(&self, worker: &str) -> Option<Arc<str>> {
        lock(&self.relays).choose(worker, clock::now().0).cloned()
    }

    async fn relay(&self, vm: &Arc<str>, command: Command, limit: Duration) -> Relayed {
        let relayed = self.exchange.relay(vm, command, limit).await;
        let mut relays = lock(&self.relays);
        match relayed {
            Relayed::Outcome(_) => relays.answered(vm),
            Relayed::Lost | Relayed::NotSent => {
                if let Some(pause_ms) = relays.failed(vm, clock::now().0) {
                    events::RELAY_PAUSED.log(format_args!("vm={vm} pause_ms={pause_ms}"));
                }
            }
        }
        relayed
    }

    /// Renews the lease of a worker, see [`Workers::renew`].
    pub(crate) async fn send_renewal(
        &self,
        id: &Arc<str>,
        renewal: &Renewal,
        wait_ms: u64,
        timeout: Duration,
    ) -> Renewed {
        let Some(vm) = self.choose(id) else {
            return Renewed {
                result: self.direct.renew(id, renewal, wait_ms, timeout).await,
                is_repeated: false,
            };
        };
        let command = Command::Renew {
            worker: id.clone(),
            renewal: renewal.clone(),
            wait_ms,
            timeout_ms: millis(timeout),
        };
        let limit = timeout + Duration::from_millis(wait_ms) + RELAY_SLACK;
        let relayed = self.relay(&vm, command, limit).await;
        if let Relayed::Outcome(Outcome::Renewed(result)) = relayed {
            let unreached = [RenewalFault::Refused, RenewalFault::Silent];
            if result
                .as_ref()
                .is_err_and(|fault| unreached.contains(fault))
            {
                self.worker_failed(id);
            }
            return Renewed {
                result,
                is_repeated: false,
            };
        }
        // The silence of a relay says nothing about the worker.
        Renewed {
            result: self.direct.renew(id, renewal, 0, timeout).await,
            is_repeated: !matches!(relayed, Relayed::NotSent),
        }
    }

    fn worker_failed(&self, worker: &Arc<str>) {
        lock(&self.relays).worker_failed(worker, clock::now().0);
    }

    /// Sends a command to stop or pace an attempt of a worker.
    async fn send(
        self,
        vm: Arc<str>,
        worker: Arc<str>,
        command: Command,
        direct: impl Future<Output = bool>,
    ) -> bool {
        match self.relay(&vm, command, COMMAND_LIMIT).await {
            Relayed::Outcome(Outcome::Taken(true)) => true,
            Relayed::NotSent => direct.await,
            _ => {
                self.worker_failed(&worker);
                false
            }
        }
    }
}

impl Workers for RelayedWorkers {
    fn start(
        &self,
        order: &Order,
        timeout: Duration,
    ) -> Pin<Box<dyn Future<Output = StartOutcome> + Send>> {
        let Some(vm) = self.choose(&order.worker) else {
            return self.direct.start(order, timeout);
        };
        let (workers, order) = (self.clone(), order.clone());
        let command = Command::Start {
            order: order.clone(),
            timeout_ms: millis(timeout),
        };
        Box::pin(async move {
            let outcome = match workers.relay(&vm, command, timeout + RELAY_SLACK).await {
                Relayed::Outcome(Outcome::Started(outcome)) => outcome,
                Relayed::NotSent => return workers.direct.start(&order, timeout).await,
                _ => StartOutcome::Unknown,
            };
            let unreached = [
                StartOutcome::Unknown,
                StartOutcome::Refused(Refusal::NotSent),
            ];
            if unreached.contains(&outcome) {
                workers.worker_failed(&order.worker);
            }
            outcome
        })
    }

    fn stop(&self, stop: &Stop) -> Pin<Box<dyn Future<Output = bool> + Send>> {
        let direct = self.direct.stop(stop);
        let Some(vm) = self.choose(&stop.worker) else {
            return direct;
        };
        let command = Command::Stop(stop.clone());
        Box::pin(self.clone().send(vm, stop.worker.clone(), command, direct))
    }

    fn pace(&self, pace: &Pace) -> Pin<Box<dyn Future<Output = bool> + Send>> {
        let direct = self.direct.pace(pace);
        let worker = &pace.run.worker;
        let Some(vm) = self.choose(worker) else {
            return direct;
        };
        let command = Command::Pace(pace.clone());
        Box::pin(self.clone().send(vm, worker.clone(), command, direct))
    }

    fn renew(
        &self,
        id: &Arc<str>,
        renewal: &Renewal,
        wait_ms: u64,
        timeout: Duration,
    ) -> Answer<Report, RenewalFault> {
        let (workers, id, renewal) = (self.clone(), id.clone(), renewal.clone());
        Box::pin(async move {
            workers
                .send_renewal(&id, &renewal, wait_ms, timeout)
                .await
                .result
        })
    }
}

impl Owner {
    /// Assigns relays to the workers of the shard.
    pub(crate) fn assign_relays(&self, node: &Node) {
        let workers = self.state().host_ids().len();
        let owners = lock(&node.claims).owners();
        let is_owner = |vm: &str| owners.values().any(|owner| **owner == *vm);
        let own = node.settings.own_workers();
        let changed = self.workers().assign(workers, own, is_owner);
        if let Some(relays) = changed {
            events::RELAYS_ASSIGNED.log(format_args!(
                "shard={} epoch={} workers={workers} relays={}",
                self.shard(),
                self.epoch(),
                relays.join(",")
            ));
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
