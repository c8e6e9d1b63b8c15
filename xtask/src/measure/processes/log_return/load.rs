//! Open-loop load: requests and jobs at a constant rate, independent of the responses.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rosemaryworks_core::job::{Priority, Spec};
use rosemaryworks_history::file::unix_us;
use rosemaryworks_node::http::{Error, Response};
use tokio::task::JoinSet;

use super::super::operator::Operator;
use super::{CONTRACT, jobs};

const GATEWAYS: usize = 6;

const SERVICES: [&str; 2] = ["/v1/services/booking", "/v1/services/planning"];

/// Period of requests; every second one is non-idempotent.
const REQUEST_PERIOD: Duration = Duration::from_millis(5);

/// Period of urgent jobs, and of batch jobs.
const JOB_PERIOD: Duration = Duration::from_millis(200);

/// Delay before a job that was not accepted is resubmitted, and the time after which the caller
/// stops resubmitting it.
const RESUBMIT_DELAY: Duration = Duration::from_millis(200);
const RESUBMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Outcome of a call as reported to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Outcome {
    Completed,
    NoAnswer,
    NotRun,
    Unknown,
}

impl Outcome {
    fn new(answer: &Result<Response, Error>) -> Self {
        let Ok(response) = answer else {
            return Self::NoAnswer;
        };
        match response.header("rosemary-outcome") {
            Some("completed") => Self::Completed,
            Some("not-run") => Self::NotRun,
            _ => Self::Unknown,
        }
    }
}

/// A call with the outcome of its first attempt.
#[derive(Clone, Debug)]
pub(super) struct Call {
    /// Unix time in microseconds at which the call was made.
    pub(super) at_us: u64,
    /// Microseconds from the call to the first response.
    pub(super) latency_us: u64,
    pub(super) outcome: Outcome,
    pub(super) kind: Kind,
}

/// Kind of a call.
#[derive(Clone, Debug)]
pub(super) enum Kind {
    Job {
        id: String,
        urgent: bool,
        /// Unix time in microseconds at which the job was accepted, possibly after rejections.
        accepted_us: Option<u64>,
    },
    Request,
}

/// A load in progress.
pub(super) struct Load {
    customer: Arc<Customer>,
    streams: JoinSet<()>,
}

/// The customer that makes the calls, with the calls made so far.
struct Customer {
    calls: Mutex<Vec<Call>>,
    operator: Operator,
    seed: u64,
    stopping: AtomicBool,
}

impl Load {
    /// Starts the load. The seed is part of the ids, which makes them unique.
    pub(super) fn start(operator: &Operator, seed: u64) -> Self {
        let customer = Arc::new(Customer {
            calls: Mutex::default(),
            operator: operator.clone(),
            seed,
            stopping: AtomicBool::new(false),
        });
        let mut streams = JoinSet::new();
        streams.spawn(
            customer
                .clone()
                .call_periodically(REQUEST_PERIOD, Customer::request),
        );
        streams.spawn(
            customer
                .clone()
                .call_periodically(JOB_PERIOD, Customer::urgent),
        );
        streams.spawn(
            customer
                .clone()
                .call_periodically(JOB_PERIOD, Customer::batch),
        );
        Self { customer, streams }
    }

    /// Stops the load, waits for `grace` and for all open calls, and returns the calls.
    pub(super) async fn stop(self, grace: Duration) -> Vec<Call> {
        self.customer.stopping.store(true, Ordering::SeqCst);
        tokio::time::sleep(grace).await;
        self.streams.join_all().await;
        self.customer.with_calls(std::mem::take)
    }
}

impl Customer {
    fn with_calls<T>(&self, act: impl FnOnce(&mut Vec<Call>) -> T) -> T {
        act(&mut self.calls.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Makes a call every `period`, without waiting for earlier ones, until the load stops; then
    /// waits for the open calls.
    async fn call_periodically<F>(self: Arc<Self>, period: Duration, call: fn(Arc<Self>, u64) -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let mut open = JoinSet::new();
        let mut ticks = tokio::time::interval(period);
        let mut number = 0;
        while !self.stopping.load(Ordering::SeqCst) {
            ticks.tick().await;
            number += 1;
            open.spawn(call(self.clone(), number));
            while open.try_join_next().is_some() {}
        }
        open.join_all().await;
    }

    async fn request(self: Arc<Self>, number: u64) {
        let id = format!("measure-{}-{number}", self.seed);
        let idempotent = number.is_multiple_of(2).to_string();
        let headers = [
            ("rosemary-contract", CONTRACT),
            ("rosemary-request-id", &*id),
            ("rosemary-idempotent", &*idempotent),
            ("rosemary-attempt", "1"),
        ];
        let body = format!("{{\"token\":\"{id}\",\"run_ms\":20,\"length\":500}}");
        let path = SERVICES[(number / 2) as usize % SERVICES.len()];
        let gateway = number as usize % GATEWAYS;
        let at_us = unix_us();
        let answer = self
            .operator
            .send(gateway, "POST", path, &headers, body)
            .await;
        let call = Call {
            at_us,
            latency_us: unix_us().saturating_sub(at_us),
            outcome: Outcome::new(&answer),
            kind: Kind::Request,
        };
        self.with_calls(|calls| calls.push(call));
    }

    async fn urgent(self: Arc<Self>, number: u64) {
        let job = jobs::urgent(format!("urgent-{}-{number}", self.seed), number);
        self.submit(job, number).await;
    }

    async fn batch(self: Arc<Self>, number: u64) {
        let job = jobs::batch(format!("batch-{}-{number}", self.seed), number);
        self.submit(job, number).await;
    }

    /// Submits a job, with retries until it is accepted or [`RESUBMIT_TIMEOUT`] has passed.
    async fn submit(self: Arc<Self>, job: Spec, number: u64) {
        let body = serde_json::to_string(&job).unwrap_or_default();
        let headers = [("rosemary-contract", CONTRACT)];
        let started = Instant::now();
        let at_us = unix_us();
        let mut first = None;
        let mut gateway = number as usize % GATEWAYS;
        let accepted_us = loop {
            let answer = self
                .operator
                .send(gateway, "POST", "/v1/jobs", &headers, body.clone())
                .await;
            let outcome = Outcome::new(&answer);
            first.get_or_insert((outcome, unix_us().saturating_sub(at_us)));
            if outcome == Outcome::Completed {
                break Some(unix_us());
            }
            if started.elapsed() > RESUBMIT_TIMEOUT {
                break None;
            }
            gateway = (gateway + 1) % GATEWAYS;
            tokio::time::sleep(RESUBMIT_DELAY).await;
        };
        let (outcome, latency_us) = first.unwrap_or((Outcome::NoAnswer, 0));
        let call = Call {
            at_us,
            latency_us,
            outcome,
            kind: Kind::Job {
                id: job.id.to_string(),
                urgent: job.priority == Priority::Urgent,
                accepted_us,
            },
        };
        self.with_calls(|calls| calls.push(call));
    }
}
