//! Callers that submit jobs, follow them to their end and cancel some.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rosemaryworks_history::Event;
use serde_json::{Value, json};
use tokio::task::JoinSet;

use super::scene::{LARGE, Scene};

/// Jobs that one caller follows at once.
const FOLLOWED_MAX: usize = 30;

/// Longest time for which a submission is repeated.
const SUBMIT_MAX: Duration = Duration::from_secs(30);

const PRIORITIES: [&str; 3] = ["nightly", "normal", "urgent"];

const CALL_TIMEOUT: Duration = Duration::from_secs(6);
const WAIT_MS: u64 = 1_000;

/// A job as the caller means it.
struct Plan {
    body: Value,
    /// Time from the submission after which the caller cancels the job.
    cancel_after: Option<Duration>,
    id: Arc<str>,
}

/// Submits jobs until the scene stops and follows all of them to their end.
pub(crate) async fn run(scene: Arc<Scene>, seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut followed = JoinSet::new();
    while !scene.is_stopping() {
        while followed.len() >= FOLLOWED_MAX {
            followed.join_next().await;
        }
        let plan = plan(&scene, &mut random);
        let random_job = SmallRng::seed_from_u64(random.random());
        followed.spawn(job(scene.clone(), plan, random_job));
        let pause_ms = random.random_range(50..600);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
    while followed.join_next().await.is_some() {}
}

fn plan(scene: &Scene, random: &mut SmallRng) -> Plan {
    let id: Arc<str> = format!("j-{}", scene.number()).into();
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
    let true_ms = if kind == "service" {
        3_600_000
    } else {
        run_ms * percent / 100
    };
    let payload = json!({ "run-ms": true_ms, "fails": random.random_bool(0.03) });
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
    Plan {
        body,
        cancel_after,
        id,
    }
}

async fn job(scene: Arc<Scene>, plan: Plan, mut random: SmallRng) {
    let started = Instant::now();
    if !submit(&scene, &plan, &mut random).await {
        return;
    }
    let name: Arc<str> = format!("{LARGE}/{}", plan.id).into();
    scene.note(Event::JobAccepted { job: name.clone() });
    let wave = scene.waves.load(Ordering::SeqCst);
    let service = plan.body["kind"] == "service";
    let mut cancelled = false;
    loop {
        let due = plan
            .cancel_after
            .is_some_and(|after| started.elapsed() >= after);
        let waved = scene.waves.load(Ordering::SeqCst) > wave;
        if !cancelled && (due || waved || (service && scene.is_stopping())) {
            cancelled = cancel(&scene, &plan, &mut random).await;
        }
        let Some(state) = wait(&scene, &plan, &mut random).await else {
            tokio::time::sleep(Duration::from_millis(200)).await;
            continue;
        };
        let terminal = !matches!(&*state, "queued" | "running");
        scene.note(Event::JobSeen {
            job: name.clone(),
            state,
            terminal,
        });
        if terminal {
            confirm(&scene, &plan, &name, &mut random).await;
            return;
        }
    }
}

/// Submits until the job is acknowledged or refused for good.
async fn submit(scene: &Scene, plan: &Plan, random: &mut SmallRng) -> bool {
    let started = Instant::now();
    while started.elapsed() < SUBMIT_MAX && !scene.is_stopping() {
        let gateway = random.random_range(0..scene.gateways);
        let request = scene.call(gateway, LARGE, "POST", "/v1/jobs", CALL_TIMEOUT);
        match scene.client.send(request.body(plan.body.to_string())).await {
            Ok(response) if response.status == 200 => return true,
            Ok(response) if matches!(response.status, 400 | 409 | 422) => return false,
            _ => tokio::time::sleep(Duration::from_millis(random.random_range(50..500))).await,
        }
    }
    false
}

async fn cancel(scene: &Scene, plan: &Plan, random: &mut SmallRng) -> bool {
    let gateway = random.random_range(0..scene.gateways);
    let path = format!("/v1/jobs/{}/cancel", plan.id);
    let request = scene.call(gateway, LARGE, "POST", &path, CALL_TIMEOUT);
    let answer = scene.client.send(request).await;
    answer.is_ok_and(|response| response.status == 200)
}

/// Waits a while for the end of the job and returns the state told.
async fn wait(scene: &Scene, plan: &Plan, random: &mut SmallRng) -> Option<Arc<str>> {
    let path = format!("/v1/jobs/{}/wait?timeout-ms={WAIT_MS}", plan.id);
    state(scene, &path, random).await
}

async fn state(scene: &Scene, path: &str, random: &mut SmallRng) -> Option<Arc<str>> {
    let gateway = random.random_range(0..scene.gateways);
    let request = scene.call(gateway, LARGE, "GET", path, CALL_TIMEOUT);
    let response = scene.client.send(request).await.ok()?;
    let status: Value = serde_json::from_slice(&response.body).ok()?;
    match response.status {
        200 => status["state"].as_str().map(Into::into),
        _ => None,
    }
}

/// Asks again after a while, when a new owner may have taken the job over from the log.
async fn confirm(scene: &Scene, plan: &Plan, name: &Arc<str>, random: &mut SmallRng) {
    tokio::time::sleep(Duration::from_millis(random.random_range(500..8_000))).await;
    let path = format!("/v1/jobs/{}", plan.id);
    if let Some(state) = state(scene, &path, random).await {
        let terminal = !matches!(&*state, "queued" | "running");
        let job = name.clone();
        scene.note(Event::JobSeen {
            job,
            state,
            terminal,
        });
    }
}
