//! Counts the commands that each process sends to the stand-in workers.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use rosemaryworks_entry::port::{Answer, Workers};
use rosemaryworks_workflow::{Order, Pace, Renewal, RenewalFault, Report, StartOutcome, Stop};

use super::StandInWorkers;

/// Access of one process to the workers.
pub(crate) struct Sender {
    node: Arc<str>,
    workers: Arc<StandInWorkers>,
}

impl Sender {
    pub(crate) fn new(node: &Arc<str>, workers: &Arc<StandInWorkers>) -> Self {
        Self {
            node: node.clone(),
            workers: workers.clone(),
        }
    }

    fn count(&self) {
        let mut sent = self.workers.sent.lock().expect("the lock");
        *sent.entry(self.node.clone()).or_default() += 1;
    }
}

impl Workers for Sender {
    fn start(
        &self,
        order: &Order,
        timeout: Duration,
    ) -> Pin<Box<dyn Future<Output = StartOutcome> + Send>> {
        self.count();
        self.workers.start(order, timeout)
    }

    fn stop(&self, stop: &Stop) -> Pin<Box<dyn Future<Output = bool> + Send>> {
        self.count();
        self.workers.stop(stop)
    }

    fn pace(&self, pace: &Pace) -> Pin<Box<dyn Future<Output = bool> + Send>> {
        self.count();
        self.workers.pace(pace)
    }

    fn renew(
        &self,
        id: &Arc<str>,
        renewal: &Renewal,
        wait_ms: u64,
        timeout: Duration,
    ) -> Answer<Report, RenewalFault> {
        self.count();
        self.workers.renew(id, renewal, wait_ms, timeout)
    }
}
