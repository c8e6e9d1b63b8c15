//! Lifecycle of the processes under test: kill, pause, planned stop and restart.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rosemaryworks_history::Event;
use rosemaryworks_node::http::Request;
use tokio::sync::Mutex;
use tokio::time::Instant;

use super::context::Context;
use crate::cluster::process::Process;

/// Timeout of a planned stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout until a restarted process is ready; longer than an outage of the log, which lasts 60 s by
/// default.
const READY_TIMEOUT: Duration = Duration::from_secs(90);

const EXIT_POLL_PERIOD: Duration = Duration::from_millis(20);

const READY_POLL_PERIOD: Duration = Duration::from_millis(100);

/// A process with the port of its readiness endpoint.
struct Member {
    port: u16,
    process: Mutex<Process>,
}

/// Gateways and schedulers by name.
pub(crate) struct Processes {
    members: BTreeMap<String, Member>,
    context: Arc<Context>,
}

impl Processes {
    pub(crate) fn new(
        context: Arc<Context>,
        gateways: Vec<Process>,
        schedulers: Vec<Process>,
    ) -> Self {
        let ports = context.ports;
        let gateways = gateways.into_iter().enumerate();
        let gateways = gateways.map(|(index, process)| (ports.gateway_admin(index), process));
        let schedulers = schedulers.into_iter().enumerate();
        let schedulers =
            schedulers.map(|(index, process)| (ports.scheduler_status(index), process));
        let member = |(port, process): (u16, Process)| {
            let name = process.name().to_owned();
            let process = Mutex::new(process);
            (name, Member { port, process })
        };
        let members = gateways.chain(schedulers).map(member).collect();
        Self { members, context }
    }

    fn record_state(&self, name: &str, up: bool) {
        let process = name.into();
        self.context.record(Event::Process { process, up });
    }

    /// Kills a process without a graceful stop.
    pub(crate) async fn kill(&self, name: &str) {
        self.record_state(name, false);
        self.members[name].process.lock().await.kill();
    }

    /// Suspends or resumes a process.
    pub(crate) async fn pause(&self, name: &str, pause: bool) {
        let mut process = self.members[name].process.lock().await;
        match pause {
            true => process.pause(),
            false => process.resume(),
        }
    }

    /// Stops a process gracefully and waits for it to exit.
    pub(crate) async fn stop(&self, name: &str) {
        let record_stop = |began| {
            let process = name.into();
            self.context.record(Event::PlannedStop { process, began });
        };
        record_stop(true);
        self.members[name].process.lock().await.terminate();
        match self.wait_exit(name).await {
            Some(0) => record_stop(false),
            Some(code) => println!("{name} ended its planned stop with code {code}"),
            None => println!("{name} did not end its planned stop in time"),
        }
        self.record_state(name, false);
    }

    /// Waits for a process to exit and returns its exit code. The lock is taken for each poll only,
    /// so that other faults can act on the process: a paused one must be resumed before it can
    /// stop.
    async fn wait_exit(&self, name: &str) -> Option<i32> {
        let deadline = Instant::now() + STOP_TIMEOUT;
        loop {
            if let Some(code) = self.members[name].process.lock().await.exit_code() {
                return Some(code);
            }
            if Instant::now() >= deadline {
                return None;
            }
            tokio::time::sleep(EXIT_POLL_PERIOD).await;
        }
    }

    /// Starts a process again and waits until it is ready.
    pub(crate) async fn restart(&self, name: &str) {
        let member = &self.members[name];
        if let Err(report) = member.process.lock().await.restart() {
            println!("{report:?}");
            return;
        }
        let deadline = Instant::now() + READY_TIMEOUT;
        let url = format!("http://127.0.0.1:{}/readyz", member.port);
        while Instant::now() < deadline {
            let request = Request::new("GET", url.clone(), Duration::from_secs(1));
            let answer = self.context.client.send(request).await;
            if answer.is_ok_and(|response| response.status == 200) {
                self.record_state(name, true);
                return;
            }
            tokio::time::sleep(READY_POLL_PERIOD).await;
        }
        println!("{name} was not ready {READY_TIMEOUT:?} after its restart");
    }

    /// Stops every process, gateways first, and returns the names of those that did not exit with
    /// code 0 in time.
    pub(crate) async fn stop_all(&self) -> Vec<String> {
        let mut failed = Vec::new();
        for role in ["gateway", "scheduler"] {
            let group = || {
                self.members
                    .iter()
                    .filter(|(name, _)| name.starts_with(role))
            };
            for (_, member) in group() {
                member.process.lock().await.terminate();
            }
            for (name, _) in group() {
                if self.wait_exit(name).await != Some(0) {
                    failed.push(name.clone());
                }
            }
        }
        failed
    }
}
