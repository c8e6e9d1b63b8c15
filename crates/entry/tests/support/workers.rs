//! Stand-ins for workers that run nothing to its end.

use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rosemaryworks_entry::port::{Answer, Workers};
use rosemaryworks_workflow::{
    Key, Order, Pace, Renewal, RenewalFault, Report, Running, StartOutcome, Stop,
};

/// Workers that don't answer, or answer and never end an attempt.
#[derive(Default)]
pub(crate) struct StandInWorkers {
    pub(crate) answering: AtomicBool,
    /// Workers whose lease was renewed.
    pub(crate) renewed: Mutex<Vec<Arc<str>>>,
    /// Workers that were told to start an attempt.
    pub(crate) started: Mutex<Vec<Arc<str>>>,
    /// Tasks of these attempts.
    pub(crate) started_tasks: Mutex<Vec<Key>>,
    /// Whether workers report the attempts that they were told to start.
    pub(crate) reporting: AtomicBool,
    /// Attempts that they were told to start.
    pub(crate) running: Mutex<BTreeMap<Arc<str>, Vec<Running>>>,
    /// Commands by the process that sent them.
    pub(crate) sent: Mutex<BTreeMap<Arc<str>, usize>>,
    /// Workers that leave all commands without an answer.
    pub(crate) silent: Mutex<BTreeSet<Arc<str>>>,
}

impl StandInWorkers {
    fn answers(&self, worker: &str) -> bool {
        let is_silent = self.silent.lock().expect("the lock").contains(worker);
        self.answering.load(Ordering::Relaxed) && !is_silent
    }
}

impl Workers for StandInWorkers {
    fn start(
        &self,
        order: &Order,
        _: Duration,
    ) -> Pin<Box<dyn Future<Output = StartOutcome> + Send>> {
        let mut started = self.started.lock().expect("the lock");
        started.push(order.worker.clone());
        let mut tasks = self.started_tasks.lock().expect("the lock");
        tasks.push(order.key);
        let mut running = self.running.lock().expect("the lock");
        running
            .entry(order.worker.clone())
            .or_default()
            .push(Running {
                key: order.key,
                attempt: order.attempt,
                checkpoint: None,
                percent: 0,
                metric: 0.0,
            });
        let outcome = match self.answers(&order.worker) {
            true => StartOutcome::Accepted { clock_ms: 1 },
            false => StartOutcome::Unknown,
        };
        Box::pin(async move { outcome })
    }

    fn stop(&self, _: &Stop) -> Pin<Box<dyn Future<Output = bool> + Send>> {
        Box::pin(async { false })
    }

    fn pace(&self, _: &Pace) -> Pin<Box<dyn Future<Output = bool> + Send>> {
        Box::pin(async { false })
    }

    fn renew(
        &self,
        id: &Arc<str>,
        _: &Renewal,
        _: u64,
        _: Duration,
    ) -> Answer<Report, RenewalFault> {
        self.renewed.lock().expect("the lock").push(id.clone());
        let running = match self.reporting.load(Ordering::Relaxed) {
            true => self.running.lock().expect("the lock").get(id).cloned(),
            false => None,
        };
        let report = Report {
            may_have_more_ends: false,
            incarnation: 7,
            clock_ms: 1,
            finished: Vec::new(),
            running: running.unwrap_or_default(),
        };
        let answer = match self.answers(id) {
            true => Ok(report),
            false => Err(RenewalFault::Silent),
        };
        Box::pin(async move {
            tokio::time::sleep(Duration::from_millis(5)).await;
            answer
        })
    }
}
