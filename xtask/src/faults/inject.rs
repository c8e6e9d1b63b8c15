//! Fault injector: begins and ends each fault of the schedule at its time.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rosemaryworks_history::Event;
use rosemaryworks_node::http::Request;
use serde_json::{Value, json};
use tokio::time::Instant;

use super::context::Context;
use super::kind::Kind;
use super::processes::Processes;
use super::proxy::Proxies;
use super::schedule::Entry;
use super::setup::LOG;

const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);

/// Milliseconds from an accepted drain to its `Leaving` event: the 12 s within which it must be in
/// force, less the 3 s in which the history check still allows new work on a leaving target.
const DRAIN_NOTICE_MS: u64 = 12_000 - 3_000;

/// Injects faults into the processes, the proxies between them and the stand-in.
pub(crate) struct Injector {
    pub(crate) processes: Processes,
    pub(crate) proxies: Proxies,
    pub(crate) context: Arc<Context>,
}

/// Processes, worker, rack and instance that one fault acts on.
struct Selection {
    /// Index of the entry VM on whose gateway or scheduler the fault acts.
    entry_vm: usize,
    instance: String,
    /// Another entry VM: the other end of a cut link, or the gateway that receives a drain request.
    other_entry_vm: usize,
    rack: String,
    worker: String,
}

impl Injector {
    /// Runs the whole schedule, overlapping faults concurrently.
    pub(crate) async fn run(self: &Arc<Self>, start: Instant, schedule: &[Entry]) {
        let mut faults = tokio::task::JoinSet::new();
        for entry in schedule {
            faults.spawn(self.clone().inject(start, entry.clone()));
        }
        while faults.join_next().await.is_some() {}
    }

    async fn inject(self: Arc<Self>, start: Instant, entry: Entry) {
        let selection = self.select(entry.choice);
        tokio::time::sleep_until(start + Duration::from_millis(entry.at_ms)).await;
        let targets = self.targets(entry.kind, &selection);
        self.record_fault(entry.kind, &targets, true);
        self.begin(entry.kind, &selection).await;
        tokio::time::sleep_until(start + Duration::from_millis(entry.ends_ms)).await;
        self.end(entry.kind, &selection).await;
        self.record_fault(entry.kind, &targets, false);
    }

    fn select(&self, choice: u64) -> Selection {
        let pick = |shift: u32, count: usize| (choice >> shift) as usize % count;
        let deployment = &self.context.deployment;
        let entry_vm = pick(0, deployment.entry_vms);
        let pool = &deployment.pools[pick(8, deployment.pools.len())];
        let service = &deployment.services[pick(16, deployment.services.len())];
        let worker = pick(24, pool.workers);
        Selection {
            entry_vm,
            instance: format!("{}-{}", service.name, pick(32, service.instances)),
            other_entry_vm: (entry_vm + 1 + pick(40, deployment.entry_vms - 1))
                % deployment.entry_vms,
            rack: format!("{}-rack-{}", pool.name, worker / pool.per_rack),
            worker: format!("{}-{worker}", pool.name),
        }
    }

    /// Returns the names under which the history checks identify the targets of a fault.
    fn targets(&self, kind: Kind, selection: &Selection) -> Vec<String> {
        let (gateway, scheduler) = (
            gateway_name(selection.entry_vm),
            scheduler_name(selection.entry_vm),
        );
        match kind {
            Kind::LogDown | Kind::LogLoseAnswers | Kind::LogReject | Kind::LogSlow => {
                vec![LOG.to_owned()]
            }
            Kind::KillGateway | Kind::PauseGateway => vec![gateway],
            Kind::KillScheduler | Kind::PauseScheduler | Kind::Isolate => vec![scheduler],
            Kind::CutSchedulers | Kind::CutOneWay => vec![scheduler],
            Kind::KillEntry | Kind::CutLog => vec![gateway, scheduler],
            Kind::RackCut | Kind::RackDied => vec![selection.rack.clone()],
            Kind::WorkerFails | Kind::LeaveWorker | Kind::Drain => vec![selection.worker.clone()],
            Kind::InstanceCrash | Kind::InstanceCuts | Kind::InstanceSlow => {
                vec![selection.instance.clone()]
            }
            Kind::LeaveInstance => vec![selection.instance.clone()],
            // Planned stops have their own history event; the other kinds make no target fail.
            Kind::StopGateway | Kind::StopScheduler => Vec::new(),
            Kind::CancelWave | Kind::OperatorRace => Vec::new(),
        }
    }

    fn record_fault(&self, kind: Kind, targets: &[String], began: bool) {
        for target in targets {
            self.context.record(Event::Fault {
                name: kind.name().into(),
                target: target.as_str().into(),
                began,
            });
        }
    }

    async fn begin(&self, kind: Kind, selection: &Selection) {
        let (gateway, scheduler) = (
            gateway_name(selection.entry_vm),
            scheduler_name(selection.entry_vm),
        );
        match kind {
            Kind::CancelWave => {
                self.context.cancel_waves.fetch_add(1, Ordering::SeqCst);
            }
            Kind::OperatorRace => self.context.operator_race.store(true, Ordering::SeqCst),
            Kind::KillGateway => self.processes.kill(&gateway).await,
            Kind::KillScheduler => self.processes.kill(&scheduler).await,
            Kind::KillEntry => {
                self.processes.kill(&gateway).await;
                self.processes.kill(&scheduler).await;
            }
            Kind::PauseGateway => self.processes.pause(&gateway, true).await,
            Kind::PauseScheduler => self.processes.pause(&scheduler, true).await,
            Kind::StopGateway => self.processes.stop(&gateway).await,
            Kind::StopScheduler => self.processes.stop(&scheduler).await,
            Kind::CutLog | Kind::CutOneWay | Kind::CutSchedulers | Kind::Isolate => {
                self.cut(kind, selection, true);
            }
            Kind::Drain => self.drain(selection, "drain").await,
            Kind::InstanceCrash | Kind::InstanceCuts | Kind::InstanceSlow => {
                self.control(&instance_fault(kind, &selection.instance))
                    .await;
            }
            Kind::LeaveInstance => self.leave(&selection.instance, selection).await,
            Kind::LeaveWorker => self.leave(&selection.worker, selection).await,
            Kind::LogDown => self.control(&json!({ "fault": "log-down" })).await,
            Kind::LogLoseAnswers => {
                let fault = json!({ "fault": "log-lose-answers", "count": 6 });
                self.control(&fault).await;
            }
            Kind::LogReject => {
                self.control(&json!({ "fault": "log-reject", "count": 6 }))
                    .await
            }
            Kind::LogSlow => {
                let fault = json!({ "fault": "log-slow", "delay_ms": 1_500 });
                self.control(&fault).await;
            }
            Kind::RackCut => {
                let fault = json!({ "fault": "workers-cut", "targets": [selection.rack] });
                self.control(&fault).await;
            }
            Kind::RackDied => {
                let fault = json!({ "fault": "workers-died", "targets": [selection.rack] });
                self.control(&fault).await;
            }
            Kind::WorkerFails => self.fail_worker(&selection.worker, true).await,
        }
    }

    async fn end(&self, kind: Kind, selection: &Selection) {
        let (gateway, scheduler) = (
            gateway_name(selection.entry_vm),
            scheduler_name(selection.entry_vm),
        );
        match kind {
            Kind::CancelWave => {}
            Kind::OperatorRace => self.context.operator_race.store(false, Ordering::SeqCst),
            Kind::KillGateway | Kind::StopGateway => self.processes.restart(&gateway).await,
            Kind::KillScheduler | Kind::StopScheduler => self.processes.restart(&scheduler).await,
            Kind::KillEntry => {
                tokio::join!(
                    self.processes.restart(&gateway),
                    self.processes.restart(&scheduler)
                );
            }
            Kind::PauseGateway => self.processes.pause(&gateway, false).await,
            Kind::PauseScheduler => self.processes.pause(&scheduler, false).await,
            Kind::CutLog | Kind::CutOneWay | Kind::CutSchedulers | Kind::Isolate => {
                self.cut(kind, selection, false);
            }
            Kind::Drain => self.drain(selection, "undrain").await,
            Kind::InstanceCrash | Kind::InstanceCuts | Kind::InstanceSlow => {
                let fault = json!({ "fault": "instance-up", "target": selection.instance });
                self.control(&fault).await;
            }
            Kind::LeaveInstance => {
                let fault = json!({ "fault": "returned", "target": selection.instance });
                self.control(&fault).await;
            }
            Kind::LeaveWorker => {
                let fault = json!({ "fault": "returned", "target": selection.worker });
                self.control(&fault).await;
            }
            Kind::LogDown | Kind::LogLoseAnswers | Kind::LogReject | Kind::LogSlow => {
                self.control(&json!({ "fault": "log-up" })).await;
            }
            Kind::RackCut | Kind::RackDied => {
                let fault = json!({ "fault": "workers-up", "targets": [selection.rack] });
                self.control(&fault).await;
            }
            Kind::WorkerFails => self.fail_worker(&selection.worker, false).await,
        }
    }

    fn cut(&self, kind: Kind, selection: &Selection, cut: bool) {
        let (one, other) = (
            scheduler_name(selection.entry_vm),
            scheduler_name(selection.other_entry_vm),
        );
        match kind {
            Kind::CutLog => {
                self.proxies.set_cut_both(&one, LOG, cut);
                self.proxies
                    .set_cut_both(&gateway_name(selection.entry_vm), LOG, cut);
            }
            Kind::CutOneWay => self.proxies.set_cut(&one, &other, cut),
            Kind::CutSchedulers => self.proxies.set_cut_both(&one, &other, cut),
            _ => {
                for index in (0..self.context.deployment.entry_vms)
                    .filter(|index| *index != selection.entry_vm)
                {
                    self.proxies.set_cut_both(&one, &scheduler_name(index), cut);
                }
            }
        }
    }

    async fn control(&self, fault: &Value) {
        let url = format!("http://127.0.0.1:{}/v1/fault", self.context.ports.control());
        let request = Request::new("POST", url, CONTROL_TIMEOUT).body(fault.to_string());
        match self.context.client.send(request).await {
            Ok(response) if response.status == 200 => {}
            Ok(response) => println!("fault {fault} was rejected with status {}", response.status),
            Err(error) => println!("fault {fault} could not be injected: {error}"),
        }
    }

    async fn fail_worker(&self, worker: &str, fails: bool) {
        let fault = json!({ "fault": "worker-fails", "target": worker, "fails": fails });
        self.control(&fault).await;
    }

    async fn leave(&self, target: &str, selection: &Selection) {
        // Half of the choices let the VM announce its leaving itself, in addition to the list.
        let announced_by_vm = selection.other_entry_vm.is_multiple_of(2);
        let fault = json!({
            "fault": "leaving", "target": target, "list": true, "itself": announced_by_vm,
            "within_ms": 30_000,
        });
        self.control(&fault).await;
    }

    /// Drains a worker or ends its drain. A drain must be in force 12 s after it was accepted.
    async fn drain(&self, selection: &Selection, operation: &str) {
        let context = &self.context;
        if operation == "undrain" {
            let target = selection.worker.as_str().into();
            context.record(Event::Returned { target });
        }
        let path = format!("/v1/targets/{}/{operation}", selection.worker);
        let body = json!({ "id": format!("{operation}-{}", context.next_number()) });
        let request =
            context.operator_request(selection.other_entry_vm, "POST", &path, CONTROL_TIMEOUT);
        let answer = context.client.send(request.body(body.to_string())).await;
        let accepted = answer.is_ok_and(|response| response.status == 200);
        if accepted && operation == "drain" {
            tokio::time::sleep(Duration::from_millis(DRAIN_NOTICE_MS)).await;
            let target = selection.worker.as_str().into();
            context.record(Event::Leaving { target });
        }
    }
}

fn instance_fault(kind: Kind, instance: &str) -> Value {
    match kind {
        Kind::InstanceCrash => json!({ "fault": "instance-crashed", "target": instance }),
        Kind::InstanceCuts => json!({ "fault": "instance-cuts", "target": instance }),
        _ => json!({ "fault": "instance-slow", "target": instance, "percent": 400 }),
    }
}

fn gateway_name(index: usize) -> String {
    format!("gateway-{}", index + 1)
}

fn scheduler_name(index: usize) -> String {
    format!("scheduler-{}", index + 1)
}
