//! Callers that submit jobs and ask for their states.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rosemaryworks_core::size::Size;
use rosemaryworks_node::http::{Client, Error};
use rosemaryworks_workflow::{Id, Spec, State, Step};

use crate::history::History;
use crate::process::Process;
use crate::protocol::{Acknowledgement, JobStatus, Protocol};

/// Attempts to hand a job in.
const ATTEMPTS: u32 = 5;

/// What callers share.
pub(crate) struct Scene {
    pub(crate) history: Arc<History>,
    pub(crate) protocol: Arc<dyn Protocol>,
    pub(crate) processes: Vec<Arc<Process>>,
    pub(crate) client: Client,
    /// Whether new jobs are still submitted.
    pub(crate) open: AtomicBool,
}

impl Scene {
    fn some_process(&self, rng: &mut SmallRng) -> Arc<Process> {
        self.processes[rng.random_range(0..self.processes.len())].clone()
    }

    /// Submits jobs and follows each of them until its end, one after the other.
    pub(crate) async fn call(self: Arc<Self>, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        while self.open.load(Ordering::Relaxed) {
            tokio::time::sleep(Duration::from_millis(rng.random_range(20..250))).await;
            let id = Id(rng.random());
            let steps: Vec<u32> = (0..rng.random_range(1..=2))
                .map(|_| rng.random_range(1..=4))
                .collect();
            self.history.submitted(id, steps.clone());
            let mut refused = true;
            let mut accepted = false;
            let spec = spec(&steps, &mut rng);
            for _ in 0..ATTEMPTS {
                match self.hand_in(id, &spec, &mut rng).await {
                    Acknowledgement::Accepted => {
                        accepted = true;
                        break;
                    }
                    Acknowledgement::Refused => {}
                    Acknowledgement::Unknown | Acknowledgement::Unexpected => refused = false,
                }
                tokio::time::sleep(Duration::from_millis(rng.random_range(100..600))).await;
            }
            self.history.update(id, |job| {
                job.accepted = accepted;
                job.refused = !accepted && refused;
            });
            if accepted {
                tokio::spawn(self.clone().follow(id, rng.random()));
            }
        }
    }

    async fn hand_in(&self, id: Id, spec: &Spec, rng: &mut SmallRng) -> Acknowledgement {
        let process = self.some_process(rng);
        let request = self.protocol.submission(process.callers, id, spec);
        match self.client.send(request).await {
            Ok(response) => {
                let handed = self.protocol.acknowledgement(&response);
                if handed == Acknowledgement::Unexpected {
                    let (status, name) = (response.status, &process.name);
                    let what = format!("{id} is answered {status} by {name}");
                    self.history.violate(what);
                }
                handed
            }
            // Nothing was sent, as the balancer would have noticed.
            Err(Error::Connect(_) | Error::NotListening | Error::Invalid(_)) => {
                Acknowledgement::Refused
            }
            Err(Error::Lost(_) | Error::Timeout) => Acknowledgement::Unknown,
        }
    }

    /// Asks for the state of a job until it has ended; cancels some jobs.
    async fn follow(self: Arc<Self>, id: Id, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let cancels = rng.random_range(0..100) < 7;
        loop {
            tokio::time::sleep(Duration::from_millis(rng.random_range(150..500))).await;
            let process = self.some_process(&mut rng);
            let ended = match cancels {
                true => self.cancel(id, &process).await,
                false => self.ask(id, &process).await,
            };
            if ended {
                return;
            }
        }
    }

    /// Cancels a job. Returns whether that was acknowledged.
    async fn cancel(&self, id: Id, process: &Process) -> bool {
        let request = self.protocol.cancellation(process.callers, id);
        let Ok(response) = self.client.send(request).await else {
            return false;
        };
        let cancelled = self.protocol.acknowledgement(&response) == Acknowledgement::Accepted;
        if cancelled {
            let now_ms = self.history.now_ms();
            self.history
                .update(id, |job| job.cancelled_ms = Some(now_ms));
        }
        cancelled
    }

    /// Asks for the state of a job. Returns whether it has ended.
    async fn ask(&self, id: Id, process: &Process) -> bool {
        let request = self.protocol.status_request(process.callers, id);
        let Ok(response) = self.client.send(request).await else {
            return false;
        };
        match self.protocol.job_status(&response) {
            JobStatus::State(state) => {
                self.history.shown(id, state);
                matches!(state, State::Completed | State::Failed)
            }
            JobStatus::NoSuchJob => {
                let what = format!("{id} was accepted and {} doesn't know it", process.name);
                self.history.violate(what);
                true
            }
            JobStatus::Unavailable => false,
        }
    }
}

/// Makes a job whose steps follow each other. Its text tells workers how its tasks behave.
fn spec(steps: &[u32], rng: &mut SmallRng) -> Spec {
    let millicores = rng.random_range(5..=20) * 100;
    let ms = rng.random_range(80..900);
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
