//! Operators that race to publish contracts, and watchers of what gateways and schedulers have in
//! force.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rosemaryworks_history::Event;
use rosemaryworks_history::record::{Operation, Reply};
use rosemaryworks_node::http::Response;
use serde_json::{Value, json};

use super::scene::Scene;

const CALL_TIMEOUT: Duration = Duration::from_secs(9);
const SHOW_TIMEOUT: Duration = Duration::from_secs(2);
/// Longer than a gateway waits for the answers of the schedulers.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(4);
const SHOW_PERIOD: Duration = Duration::from_millis(700);

/// Contracts that operators race for at any time.
const RACES: usize = 2;

/// Publishes of one contract after which the operators go on with a new one. Bounds the time that
/// the linearizability check takes.
const PUBLISHES_MAX: u64 = 25;

/// Tries to learn the verdict of a publish whose answer was lost.
const TRIES_MAX: u32 = 4;

/// Publishes so far in each race.
#[derive(Debug, Default)]
pub(crate) struct Races([AtomicU64; RACES]);

impl Races {
    fn name(&self, race: usize) -> Arc<str> {
        let number = self.0[race].fetch_add(1, Ordering::SeqCst) / PUBLISHES_MAX;
        format!("race-{race}-{number}").into()
    }
}

/// Publishes until the scene stops.
pub(crate) async fn run(scene: Arc<Scene>, races: Arc<Races>, seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    while !scene.is_stopping() {
        let name = races.name(random.random_range(0..RACES));
        let gateway = random.random_range(0..scene.gateways);
        if let Some(revision) = revision(&scene, gateway, &name).await {
            publish(&scene, &name, revision, &mut random).await;
        }
        let pause_ms = match scene.race.load(Ordering::SeqCst) {
            true => random.random_range(0..50),
            false => random.random_range(200..1_500),
        };
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Returns the revision that a gateway has in force; 0 if there is none.
async fn revision(scene: &Scene, gateway: usize, name: &str) -> Option<u64> {
    let path = format!("/v1/contracts/{name}");
    let request = scene.admin(gateway, "GET", &path, SHOW_TIMEOUT);
    let response = scene.client.send(request).await.ok()?;
    match response.status {
        200 => json(&response)["revision"].as_u64(),
        404 => Some(0),
        _ => None,
    }
}

async fn publish(scene: &Scene, name: &Arc<str>, expected: u64, random: &mut SmallRng) {
    let call = scene.number();
    let mark = random.random_range(1..100);
    scene.note(Event::OperatorCalled {
        call,
        contract: name.clone(),
        operation: Operation::Publish { expected, mark },
    });
    let contract = scene.contract(name, mark);
    let body = json!({ "id": format!("p-{call}"), "expected": expected, "contract": contract });
    let told = verdict(scene, name, &body, random).await;
    scene.note(Event::OperatorTold { call, told });
}

/// Publishes and repeats with the same id, at any gateway, until the verdict is known.
async fn verdict(scene: &Scene, name: &str, body: &Value, random: &mut SmallRng) -> Reply {
    let mut open = false;
    for _ in 0..TRIES_MAX {
        let gateway = random.random_range(0..scene.gateways);
        let path = format!("/v1/contracts/{name}");
        let request = scene.admin(gateway, "PUT", &path, CALL_TIMEOUT);
        let response = scene.client.send(request.body(body.to_string())).await;
        match response.map(|response| told(&response)) {
            Ok(Reply::Refused) if !open => return Reply::Refused,
            // An earlier try may take effect although this one was refused.
            Ok(Reply::Unknown | Reply::Refused) | Err(_) => open = true,
            Ok(told) => return told,
        }
        tokio::time::sleep(Duration::from_millis(random.random_range(100..800))).await;
    }
    Reply::Unknown
}

fn told(response: &Response) -> Reply {
    let content = json(response);
    match response.status {
        200 => match content["revision"].as_u64() {
            Some(revision) => Reply::Accepted { revision },
            None => Reply::Unknown,
        },
        409 => Reply::Conflict {
            current: content["current"].as_u64(),
        },
        400 | 401 | 413 | 503 => Reply::Refused,
        _ => Reply::Unknown,
    }
}

fn json(response: &Response) -> Value {
    serde_json::from_slice(&response.body).unwrap_or_default()
}

/// Notes again and again what one gateway has in force.
pub(crate) async fn watch(scene: Arc<Scene>, gateway: usize) {
    while !scene.is_stopping() {
        let request = scene.admin(gateway, "GET", "/v1/contracts", SHOW_TIMEOUT);
        if let Ok(response) = scene.client.send(request).await
            && response.status == 200
        {
            show(&scene, gateway, &json(&response));
        }
        tokio::time::sleep(SHOW_PERIOD).await;
    }
}

fn show(scene: &Scene, gateway: usize, contracts: &Value) {
    for entry in contracts.as_array().into_iter().flatten() {
        let (Some(name), Some(revision)) = (entry["name"].as_str(), entry["revision"].as_u64())
        else {
            continue;
        };
        scene.note(Event::Shown {
            process: scene.gateway(gateway),
            contract: name.into(),
            revision,
        });
    }
}

/// Notes again and again what the schedulers have in force, as the gateways in turn tell.
///
/// One call is made at a time, so that no answer is noted after a later one.
pub(crate) async fn watch_schedulers(scene: Arc<Scene>) {
    for gateway in (0..scene.gateways).cycle() {
        if scene.is_stopping() {
            break;
        }
        let request = scene.admin(gateway, "GET", "/v1/rollout", ROLLOUT_TIMEOUT);
        if let Ok(response) = scene.client.send(request).await
            && response.status == 200
        {
            enforced(&scene, &json(&response));
        }
        tokio::time::sleep(SHOW_PERIOD).await;
    }
}

fn enforced(scene: &Scene, rollout: &Value) {
    for entry in rollout["contracts"].as_array().into_iter().flatten() {
        let processes = entry["processes"].as_object().into_iter().flatten();
        let schedulers = processes.filter(|(process, _)| process.starts_with("scheduler-"));
        for (process, revision) in schedulers {
            scene.note(Event::Enforced {
                process: process.as_str().into(),
                contract: entry["name"].as_str().unwrap_or_default().into(),
                revision: revision.as_u64().unwrap_or_default(),
            });
        }
    }
}

/// Publishes the contracts of the callers and waits until every gateway has them in force.
pub(crate) async fn prepare(scene: &Scene, names: &[&str]) -> Result<(), String> {
    for name in names {
        let body = json!({
            "id": format!("prepare-{name}"), "expected": 0, "contract": scene.contract(name, 1),
        });
        let path = format!("/v1/contracts/{name}");
        let request = scene.admin(0, "PUT", &path, CALL_TIMEOUT);
        let response = scene.client.send(request.body(body.to_string())).await;
        let response = response.map_err(|error| error.to_string())?;
        if response.status != 200 {
            return Err(String::from_utf8_lossy(&response.body).into());
        }
        for gateway in 0..scene.gateways {
            while revision(scene, gateway, name).await.unwrap_or(0) == 0 {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
    Ok(())
}
