//! Callers that submit jobs and query their states.

use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rosemaryworks_core::size::Size;
use rosemaryworks_node::http::{Client, Error};
use rosemaryworks_workflow::{Id, Spec, State, Step};

use crate::history::History;
use crate::layout::Layout;
use crate::process::Process;
use crate::protocol::{Acknowledgement, JobStatus, Protocol};

/// Maximum attempts to submit a job.
const SUBMIT_ATTEMPTS: u32 = 5;

/// Percentage of accepted jobs that are submitted again, as by a caller that has lost the response.
const REPEATED_PERCENT: u32 = 30;

/// Time after which a job is submitted again in milliseconds.
const REPEATED_AFTER_MS: std::ops::Range<u64> = 500..6_000;

/// Time after which the final state of a job is queried once more in milliseconds. Longer than the
/// retention time of the log for most jobs.
const FINAL_QUERY_AFTER_MS: std::ops::Range<u64> = 5_000..20_000;

/// Jobs that callers submit.
pub(crate) struct Load {
    /// Pause of a caller between two jobs in milliseconds.
    pub(crate) pause_ms: Range<u64>,
    /// Percentage of jobs with one long step. They run for longer than a takeover and a lease.
    pub(crate) long_percent: u32,
    /// Run times of the tasks of long jobs in milliseconds.
    pub(crate) long_ms: Range<u64>,
}

/// State that all callers share.
pub(crate) struct Context {
    pub(crate) history: Arc<History>,
    pub(crate) protocol: Arc<dyn Protocol>,
    pub(crate) processes: Vec<Arc<Process>>,
    pub(crate) client: Client,
    pub(crate) layout: Layout,
    pub(crate) load: Load,
    /// Whether callers still submit new jobs.
    pub(crate) submitting: AtomicBool,
}

impl Context {
    fn random_process(&self, rng: &mut SmallRng) -> Arc<Process> {
        self.processes[rng.random_range(0..self.processes.len())].clone()
    }

    /// Submits jobs one after the other and follows each accepted job until it ends.
    pub(crate) async fn run_caller(self: Arc<Self>, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        while self.submitting.load(Ordering::Relaxed) {
            tokio::time::sleep(Duration::from_millis(
                rng.random_range(self.load.pause_ms.clone()),
            ))
            .await;
            let id = Id(rng.random());
            let long = rng.random_range(0..100) < self.load.long_percent;
            let step_count = if long { 1 } else { rng.random_range(1..=2) };
            let steps: Vec<u32> = (0..step_count).map(|_| rng.random_range(1..=4)).collect();
            self.history.record_submission(id, steps.clone());
            let mut refused = true;
            let mut accepted = false;
            let long_ms = long.then(|| self.load.long_ms.clone());
            let spec = spec(&steps, long_ms, &mut rng);
            for _ in 0..SUBMIT_ATTEMPTS {
                match self.submit(id, &spec, &mut rng).await {
                    Acknowledgement::Accepted => {
                        accepted = true;
                        break;
                    }
                    Acknowledgement::Refused => {}
                    Acknowledgement::Unknown | Acknowledgement::Unexpected => refused = false,
                }
                tokio::time::sleep(Duration::from_millis(rng.random_range(100..600))).await;
            }
            self.history.update_job(id, |job| {
                job.accepted = accepted;
                job.refused = !accepted && refused;
            });
            if accepted {
                tokio::spawn(self.clone().follow(id, rng.random()));
                if rng.random_range(0..100) < REPEATED_PERCENT {
                    tokio::spawn(self.clone().submit_again(id, spec, rng.random()));
                }
            }
        }
    }

    async fn submit(&self, id: Id, spec: &Spec, rng: &mut SmallRng) -> Acknowledgement {
        let process = self.random_process(rng);
        let (to, queue) = (process.caller_address, self.layout.queue_of_job(id));
        let request = self.protocol.submission(to, queue, id, spec);
        match self.client.send(request).await {
            Ok(response) => {
                let acknowledgement = self.protocol.acknowledgement(&response);
                if acknowledgement == Acknowledgement::Unexpected {
                    let (status, name) = (response.status, &process.name);
                    let description = format!("{name} responded to {id} with status {status}");
                    self.history.add_violation(description);
                }
                acknowledgement
            }
            // Nothing was sent. A load balancer before the processes would detect this as well.
            Err(Error::Connect(_) | Error::Refused | Error::Invalid(_)) => Acknowledgement::Refused,
            Err(Error::Lost(_) | Error::Timeout | Error::Incomplete { .. }) => {
                Acknowledgement::Unknown
            }
        }
    }

    /// Submits an accepted job once more.
    async fn submit_again(self: Arc<Self>, id: Id, spec: Spec, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let after_ms = rng.random_range(REPEATED_AFTER_MS);
        tokio::time::sleep(Duration::from_millis(after_ms)).await;
        self.submit(id, &spec, &mut rng).await;
    }

    /// Queries the state of a job until it has ended, and once more later. About 7 % of the jobs are
    /// cancelled instead.
    async fn follow(self: Arc<Self>, id: Id, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let cancel = rng.random_range(0..100) < 7;
        loop {
            tokio::time::sleep(Duration::from_millis(rng.random_range(150..500))).await;
            let process = self.random_process(&mut rng);
            let ended = match cancel {
                true => self.cancel(id, &process).await,
                false => self.query(id, &process).await,
            };
            if ended {
                break;
            }
        }
        if !cancel {
            let after_ms = rng.random_range(FINAL_QUERY_AFTER_MS);
            tokio::time::sleep(Duration::from_millis(after_ms)).await;
            let process = self.random_process(&mut rng);
            self.query(id, &process).await;
        }
    }

    /// Cancels a job. Returns whether the cancellation was acknowledged.
    async fn cancel(&self, id: Id, process: &Process) -> bool {
        let (to, queue) = (process.caller_address, self.layout.queue_of_job(id));
        let request = self.protocol.cancellation(to, queue, id);
        let Ok(response) = self.client.send(request).await else {
            return false;
        };
        let cancelled = self.protocol.acknowledgement(&response) == Acknowledgement::Accepted;
        if cancelled {
            let now_ms = self.history.now_ms();
            self.history
                .update_job(id, |job| job.cancelled_ms = Some(now_ms));
        }
        cancelled
    }

    /// Queries the state of a job and checks it. Returns whether the job has ended or is unknown.
    async fn query(&self, id: Id, process: &Process) -> bool {
        let (to, queue) = (process.caller_address, self.layout.queue_of_job(id));
        let request = self.protocol.status_request(to, queue, id);
        let Ok(response) = self.client.send(request).await else {
            return false;
        };
        match self.protocol.job_status(&response) {
            JobStatus::State(state) => {
                self.history.check_state(id, state);
                matches!(state, State::Completed | State::Failed)
            }
            JobStatus::NoSuchJob => {
                let description = format!("{id} was accepted but is unknown to {}", process.name);
                self.history.add_violation(description);
                true
            }
            JobStatus::Unavailable => false,
        }
    }
}

/// Returns a job whose steps run one after the other. Its text sets the run time, processor use and
/// failure percentage of its tasks at the workers.
fn spec(steps: &[u32], long_ms: Option<Range<u64>>, rng: &mut SmallRng) -> Spec {
    let (millicores, ms) = match long_ms {
        Some(long_ms) => (300, rng.random_range(long_ms)),
        None => (rng.random_range(5..=20) * 100, rng.random_range(80..900)),
    };
    let step = |(index, count): (u16, &u32)| Step {
        after: index.checked_sub(1).into_iter().collect(),
        count: *count,
        estimate_ms: ms,
        size: Size::new(millicores, 100),
        ..Step::default()
    };
    Spec {
        steps: (0..).zip(steps).map(step).collect(),
        text: format!("ms={ms} cpu={millicores} fails=4").into(),
        ..Spec::default()
    }
}
