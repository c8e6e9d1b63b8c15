//! Carries out the schedule of failures.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rosemaryworks_history::Event;
use rosemaryworks_node::http::Request;
use serde_json::{Value, json};
use tokio::time::Instant;

use super::kind::Kind;
use super::processes::Processes;
use super::proxy::Proxies;
use super::scene::Scene;
use super::schedule::Entry;
use super::setup::LOG;

const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);

/// Milliseconds until a drain must be in force, less the time that leaving targets are granted.
const DRAIN_NOTICE_MS: u64 = 12_000 - 3_000;

/// Everything that failures act on.
pub(crate) struct Stage {
    pub(crate) processes: Processes,
    pub(crate) proxies: Proxies,
    pub(crate) scene: Arc<Scene>,
}

/// Targets of one failure.
struct Aim {
    entry: usize,
    instance: String,
    other: usize,
    rack: String,
    worker: String,
}

impl Stage {
    /// Carries out the whole schedule.
    pub(crate) async fn play(self: &Arc<Self>, start: Instant, schedule: &[Entry]) {
        let mut parts = tokio::task::JoinSet::new();
        for entry in schedule {
            parts.spawn(self.clone().part(start, entry.clone()));
        }
        while parts.join_next().await.is_some() {}
    }

    async fn part(self: Arc<Self>, start: Instant, entry: Entry) {
        let aim = self.aim(entry.choice);
        tokio::time::sleep_until(start + Duration::from_millis(entry.at_ms)).await;
        let targets = self.targets(entry.kind, &aim);
        self.note(entry.kind, &targets, true);
        self.begin(entry.kind, &aim).await;
        tokio::time::sleep_until(start + Duration::from_millis(entry.ends_ms)).await;
        self.end(entry.kind, &aim).await;
        self.note(entry.kind, &targets, false);
    }

    fn aim(&self, choice: u64) -> Aim {
        let pick = |shift: u32, count: usize| (choice >> shift) as usize % count;
        let deployment = &self.scene.deployment;
        let entry = pick(0, deployment.entries);
        let pool = &deployment.pools[pick(8, deployment.pools.len())];
        let service = &deployment.services[pick(16, deployment.services.len())];
        let worker = pick(24, pool.workers);
        Aim {
            entry,
            instance: format!("{}-{}", service.name, pick(32, service.instances)),
            other: (entry + 1 + pick(40, deployment.entries - 1)) % deployment.entries,
            rack: format!("{}-rack-{}", pool.name, worker / pool.per_rack),
            worker: format!("{}-{worker}", pool.name),
        }
    }

    /// Returns the names under which the checks know what a failure concerns.
    fn targets(&self, kind: Kind, aim: &Aim) -> Vec<String> {
        let (gateway, scheduler) = (gateway(aim.entry), scheduler(aim.entry));
        match kind {
            Kind::LogDown | Kind::LogLoseAnswers | Kind::LogReject | Kind::LogSlow => {
                vec![LOG.to_owned()]
            }
            Kind::KillGateway | Kind::PauseGateway => vec![gateway],
            Kind::KillScheduler | Kind::PauseScheduler | Kind::Isolate => vec![scheduler],
            Kind::CutSchedulers | Kind::CutOneWay => vec![scheduler],
            Kind::KillEntry | Kind::CutLog => vec![gateway, scheduler],
            Kind::RackCut | Kind::RackDied => vec![aim.rack.clone()],
            Kind::WorkerFails | Kind::LeaveWorker | Kind::Drain => vec![aim.worker.clone()],
            Kind::InstanceCrash | Kind::InstanceCuts | Kind::InstanceSlow => {
                vec![aim.instance.clone()]
            }
            Kind::LeaveInstance => vec![aim.instance.clone()],
            // Planned stops are noted as such; the others disturb nothing.
            Kind::StopGateway | Kind::StopScheduler => Vec::new(),
            Kind::CancelWave | Kind::OperatorRace => Vec::new(),
        }
    }

    fn note(&self, kind: Kind, targets: &[String], began: bool) {
        for target in targets {
            self.scene.note(Event::Fault {
                name: kind.name().into(),
                target: target.as_str().into(),
                began,
            });
        }
    }

    async fn begin(&self, kind: Kind, aim: &Aim) {
        let (gateway, scheduler) = (gateway(aim.entry), scheduler(aim.entry));
        match kind {
            Kind::CancelWave => {
                self.scene.waves.fetch_add(1, Ordering::SeqCst);
            }
            Kind::OperatorRace => self.scene.race.store(true, Ordering::SeqCst),
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
                self.cut(kind, aim, true);
            }
            Kind::Drain => self.drain(aim, "drain").await,
            Kind::InstanceCrash | Kind::InstanceCuts | Kind::InstanceSlow => {
                self.control(&instance_fault(kind, &aim.instance)).await;
            }
            Kind::LeaveInstance => self.leave(&aim.instance, aim).await,
            Kind::LeaveWorker => self.leave(&aim.worker, aim).await,
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
                let fault = json!({ "fault": "workers-cut", "targets": [aim.rack] });
                self.control(&fault).await;
            }
            Kind::RackDied => {
                let fault = json!({ "fault": "workers-died", "targets": [aim.rack] });
                self.control(&fault).await;
            }
            Kind::WorkerFails => self.fail_worker(&aim.worker, true).await,
        }
    }

    async fn end(&self, kind: Kind, aim: &Aim) {
        let (gateway, scheduler) = (gateway(aim.entry), scheduler(aim.entry));
        match kind {
            Kind::CancelWave => {}
            Kind::OperatorRace => self.scene.race.store(false, Ordering::SeqCst),
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
                self.cut(kind, aim, false);
            }
            Kind::Drain => self.drain(aim, "undrain").await,
            Kind::InstanceCrash | Kind::InstanceCuts | Kind::InstanceSlow => {
                let fault = json!({ "fault": "instance-up", "target": aim.instance });
                self.control(&fault).await;
            }
            Kind::LeaveInstance => {
                let fault = json!({ "fault": "returned", "target": aim.instance });
                self.control(&fault).await;
            }
            Kind::LeaveWorker => {
                let fault = json!({ "fault": "returned", "target": aim.worker });
                self.control(&fault).await;
            }
            Kind::LogDown | Kind::LogLoseAnswers | Kind::LogReject | Kind::LogSlow => {
                self.control(&json!({ "fault": "log-up" })).await;
            }
            Kind::RackCut | Kind::RackDied => {
                let fault = json!({ "fault": "workers-up", "targets": [aim.rack] });
                self.control(&fault).await;
            }
            Kind::WorkerFails => self.fail_worker(&aim.worker, false).await,
        }
    }

    fn cut(&self, kind: Kind, aim: &Aim, cut: bool) {
        let (one, other) = (scheduler(aim.entry), scheduler(aim.other));
        match kind {
            Kind::CutLog => {
                self.proxies.set_both(&one, LOG, cut);
                self.proxies.set_both(&gateway(aim.entry), LOG, cut);
            }
            Kind::CutOneWay => self.proxies.set(&one, &other, cut),
            Kind::CutSchedulers => self.proxies.set_both(&one, &other, cut),
            _ => {
                for index in (0..self.scene.deployment.entries).filter(|it| *it != aim.entry) {
                    self.proxies.set_both(&one, &scheduler(index), cut);
                }
            }
        }
    }

    async fn control(&self, fault: &Value) {
        let url = format!("http://127.0.0.1:{}/v1/fault", self.scene.ports.control());
        let request = Request::new("POST", url, CONTROL_TIMEOUT).body(fault.to_string());
        match self.scene.client.send(request).await {
            Ok(response) if response.status == 200 => {}
            Ok(response) => println!("fault {fault} was refused with status {}", response.status),
            Err(error) => println!("fault {fault} could not be injected: {error}"),
        }
    }

    async fn fail_worker(&self, worker: &str, fails: bool) {
        let fault = json!({ "fault": "worker-fails", "target": worker, "fails": fails });
        self.control(&fault).await;
    }

    async fn leave(&self, target: &str, aim: &Aim) {
        let itself = aim.other.is_multiple_of(2);
        let fault = json!({
            "fault": "leaving", "target": target, "list": true, "itself": itself,
            "within_ms": 30_000,
        });
        self.control(&fault).await;
    }

    /// Drains a worker or puts it back. A drain must be in force 12 s after it was accepted.
    async fn drain(&self, aim: &Aim, verb: &str) {
        let scene = &self.scene;
        if verb == "undrain" {
            let target = aim.worker.as_str().into();
            scene.note(Event::Returned { target });
        }
        let path = format!("/v1/targets/{}/{verb}", aim.worker);
        let body = json!({ "id": format!("{verb}-{}", scene.number()) });
        let request = scene.admin(aim.other, "POST", &path, CONTROL_TIMEOUT);
        let answer = scene.client.send(request.body(body.to_string())).await;
        let accepted = answer.is_ok_and(|response| response.status == 200);
        if accepted && verb == "drain" {
            tokio::time::sleep(Duration::from_millis(DRAIN_NOTICE_MS)).await;
            let target = aim.worker.as_str().into();
            scene.note(Event::Leaving { target });
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

fn gateway(index: usize) -> String {
    format!("gateway-{}", index + 1)
}

fn scheduler(index: usize) -> String {
    format!("scheduler-{}", index + 1)
}
