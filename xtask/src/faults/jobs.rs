//! Job load: callers submit jobs, poll them to their end and cancel some.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rosemaryworks_history::Event;
use serde_json::{Value, json};
use tokio::task::JoinSet;

use super::context::{Context, LARGE};

/// Largest number of jobs that one caller polls concurrently.
const FOLLOWED_JOBS_MAX: usize = 30;

/// Time for which a submission is retried.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(30);

const PRIORITIES: [&str; 3] = ["nightly", "normal", "urgent"];

const REQUEST_TIMEOUT: Duration = Duration::from_secs(6);
const WAIT_TIMEOUT_MS: u64 = 1_000;

/// A generated job.
struct Job {
    body: Value,
    /// Time from the submission after which the caller cancels the job.
    cancel_after: Option<Duration>,
    id: Arc<str>,
}

/// Submits jobs until the run stops and polls all of them to their end.
pub(crate) async fn run(context: Arc<Context>, seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut followed = JoinSet::new();
    while !context.is_stopping() {
        while followed.len() >= FOLLOWED_JOBS_MAX {
            followed.join_next().await;
        }
        let job = generate(&context, &mut random);
        let job_random = SmallRng::seed_from_u64(random.random());
        followed.spawn(follow(context.clone(), job, job_random));
        let pause_ms = random.random_range(50..600);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
    while followed.join_next().await.is_some() {}
}

fn generate(context: &Context, random: &mut SmallRng) -> Job {
    let id: Arc<str> = format!("j-{}", context.next_number()).into();
    let kind = match random.random_range(0..100) {
        0..70 => "batch",
        70..85 => "gang",
        _ => "service",
    };
    let pool = if kind == "gang" || random.random_bool(0.2) {
        "gpu"
    } else {
        "cpu"
    };
    let run_ms: u64 = random.random_range(100..2_000);
    let percent = if random.random_bool(0.1) { 1_000 } else { 80 };
    let actual_ms = if kind == "service" {
        3_600_000
    } else {
        run_ms * percent / 100
    };
    let payload = json!({ "run-ms": actual_ms, "fails": random.random_bool(0.03) });
    let cancel_after = match kind {
        "service" => Some(random.random_range(3_000..15_000)),
        _ => random
            .random_bool(0.08)
            .then(|| random.random_range(0..3_000)),
    };
    let priority = PRIORITIES[random.random_range(0..PRIORITIES.len())];
    let body = json!({
        "id": id, "kind": kind, "pool": pool, "tasks": random.random_range(1..5),
        "size": {
            "millicores": random.random_range(1..8) * 500,
            "memory_mb": random.random_range(1..8) * 256,
            "accelerators": if pool == "gpu" { random.random_range(0..5) } else { 0 },
        },
        "run_ms": run_ms,
        "priority": priority,
        "restart": random.random_bool(0.7),
        "work": format!("work-{}", random.random_range(0..3)),
        "payload": payload.to_string(),
    });
    let cancel_after = cancel_after.map(Duration::from_millis);
    Job {
        body,
        cancel_after,
        id,
    }
}

async fn follow(context: Arc<Context>, job: Job, mut random: SmallRng) {
    let started = Instant::now();
    if !submit(&context, &job, &mut random).await {
        return;
    }
    let name: Arc<str> = format!("{LARGE}/{}", job.id).into();
    context.record(Event::JobAccepted { job: name.clone() });
    let earlier_waves = context.cancel_waves.load(Ordering::SeqCst);
    let service = job.body["kind"] == "service";
    let mut cancelled = false;
    loop {
        let cancel_due = job
            .cancel_after
            .is_some_and(|after| started.elapsed() >= after);
        let in_wave = context.cancel_waves.load(Ordering::SeqCst) > earlier_waves;
        if !cancelled && (cancel_due || in_wave || (service && context.is_stopping())) {
            cancelled = cancel(&context, &job, &mut random).await;
        }
        let Some(state) = wait_for_end(&context, &job, &mut random).await else {
            tokio::time::sleep(Duration::from_millis(200)).await;
            continue;
        };
        let terminal = !matches!(&*state, "queued" | "running");
        context.record(Event::JobSeen {
            job: name.clone(),
            state,
            terminal,
        });
        if terminal {
            confirm(&context, &job, &name, &mut random).await;
            return;
        }
    }
}

/// Retries the submission until it is acknowledged or finally rejected.
async fn submit(context: &Context, job: &Job, random: &mut SmallRng) -> bool {
    let started = Instant::now();
    while started.elapsed() < SUBMIT_TIMEOUT && !context.is_stopping() {
        let gateway = random.random_range(0..context.gateways);
        let request = context.caller_request(gateway, LARGE, "POST", "/v1/jobs", REQUEST_TIMEOUT);
        match context
            .client
            .send(request.body(job.body.to_string()))
            .await
        {
            Ok(response) if response.status == 200 => return true,
            Ok(response) if matches!(response.status, 400 | 409 | 422) => return false,
            _ => tokio::time::sleep(Duration::from_millis(random.random_range(50..500))).await,
        }
    }
    false
}

async fn cancel(context: &Context, job: &Job, random: &mut SmallRng) -> bool {
    let gateway = random.random_range(0..context.gateways);
    let path = format!("/v1/jobs/{}/cancel", job.id);
    let request = context.caller_request(gateway, LARGE, "POST", &path, REQUEST_TIMEOUT);
    let answer = context.client.send(request).await;
    answer.is_ok_and(|response| response.status == 200)
}

/// Waits up to [`WAIT_TIMEOUT_MS`] for the end of the job and returns the reported state.
async fn wait_for_end(context: &Context, job: &Job, random: &mut SmallRng) -> Option<Arc<str>> {
    let path = format!("/v1/jobs/{}/wait?timeout-ms={WAIT_TIMEOUT_MS}", job.id);
    read_state(context, &path, random).await
}

async fn read_state(context: &Context, path: &str, random: &mut SmallRng) -> Option<Arc<str>> {
    let gateway = random.random_range(0..context.gateways);
    let request = context.caller_request(gateway, LARGE, "GET", path, REQUEST_TIMEOUT);
    let response = context.client.send(request).await.ok()?;
    let status: Value = serde_json::from_slice(&response.body).ok()?;
    match response.status {
        200 => status["state"].as_str().map(Into::into),
        _ => None,
    }
}

/// Reads the final state again after 0.5 to 8 s, when a new owner may have restored the job from
/// the log.
async fn confirm(context: &Context, job: &Job, name: &Arc<str>, random: &mut SmallRng) {
    tokio::time::sleep(Duration::from_millis(random.random_range(500..8_000))).await;
    let path = format!("/v1/jobs/{}", job.id);
    if let Some(state) = read_state(context, &path, random).await {
        let terminal = !matches!(&*state, "queued" | "running");
        let job = name.clone();
        context.record(Event::JobSeen {
            job,
            state,
            terminal,
        });
    }
}
