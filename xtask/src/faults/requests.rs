//! Callers that send requests to services and repeat them at other gateways.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rosemaryworks_history::Event;
use rosemaryworks_history::record::{Outcome, Request as Identity};
use rosemaryworks_node::http::{Error, Response};
use serde_json::{Value, json};

use super::scene::{LARGE, SMALL, Scene};

/// Most attempts with one id.
const ATTEMPTS_MAX: u32 = 4;

/// A request as the caller means it.
struct Plan {
    contract: &'static str,
    deadline_ms: u64,
    id: Arc<str>,
    idempotent: bool,
    length: usize,
    /// Whether the caller numbers its attempts.
    numbered: bool,
    run_ms: u64,
    service: &'static str,
    /// Milliseconds after which the caller repeats the request elsewhere.
    timeout_ms: u64,
    token: Arc<str>,
}

/// Sends requests until the scene stops.
pub(crate) async fn run(scene: Arc<Scene>, seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    while !scene.is_stopping() {
        let plan = plan(&scene, &mut random);
        let mut gateway = random.random_range(0..scene.gateways);
        for attempt in 1..=ATTEMPTS_MAX {
            let outcome = send(&scene, &plan, gateway, attempt).await;
            let again = match outcome {
                Outcome::Completed | Outcome::Refused => false,
                Outcome::NotRun => random.random_bool(0.3),
                _ => random.random_bool(0.8),
            };
            if !again {
                break;
            }
            gateway = (gateway + 1 + random.random_range(0..scene.gateways - 1)) % scene.gateways;
            let pause_ms = random.random_range(0..300);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
        let pause_ms = random.random_range(5..100);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

fn plan(scene: &Scene, random: &mut SmallRng) -> Plan {
    let number = scene.number();
    let services = &scene.deployment.services;
    let slow = random.random_bool(0.15);
    let large = random.random_bool(0.05);
    Plan {
        contract: if random.random_bool(0.1) {
            SMALL
        } else {
            LARGE
        },
        deadline_ms: random.random_range(2_000..12_000),
        id: format!("r-{number}").into(),
        idempotent: random.random_bool(0.4),
        length: random.random_range(1..if large { 300_000 } else { 4_000 }),
        numbered: random.random_bool(0.8),
        run_ms: random.random_range(if slow { 500..5_000 } else { 2..80 }),
        service: services[random.random_range(0..services.len())].name,
        timeout_ms: random.random_range(1_000..14_000),
        token: format!("<{number}>").into(),
    }
}

async fn send(scene: &Scene, plan: &Plan, gateway: usize, attempt: u32) -> Outcome {
    let call = scene.number();
    scene.note(Event::Called {
        call,
        process: scene.gateway(gateway),
        request: Identity {
            contract: plan.contract.into(),
            id: plan.id.clone(),
            attempt,
        },
        idempotent: plan.idempotent,
        token: plan.token.clone(),
        length: plan.length as u64,
    });
    let path = format!("/v1/services/{}", plan.service);
    let timeout = Duration::from_millis(plan.timeout_ms);
    let mut request = scene
        .call(gateway, plan.contract, "POST", &path, timeout)
        .header("rosemary-request-id", &plan.id)
        .header("rosemary-deadline-ms", &plan.deadline_ms.to_string())
        .header("rosemary-idempotent", &plan.idempotent.to_string());
    if plan.numbered {
        request = request.header("rosemary-attempt", &attempt.to_string());
    }
    let result = scene.client.send(request.body(body(plan, attempt))).await;
    let (outcome, event) = answered(call, &plan.token, result);
    scene.note(event);
    outcome
}

fn body(plan: &Plan, attempt: u32) -> String {
    let ask = json!({
        "token": plan.token, "length": plan.length, "run_ms": plan.run_ms,
        "contract": plan.contract, "id": plan.id, "attempt": attempt,
    });
    ask.to_string()
}

fn answered(call: u64, token: &Arc<str>, result: Result<Response, Error>) -> (Outcome, Event) {
    let response = match result {
        Ok(response) => response,
        Err(error) => return failed(call, &error),
    };
    let outcome = match response.header("rosemary-outcome") {
        Some("completed") => Outcome::Completed,
        Some("not-run") => Outcome::NotRun,
        Some("unknown") => Outcome::Unknown,
        _ => Outcome::Refused,
    };
    let whole = token.bytes().cycle().take(response.body.len());
    let own = response.body.starts_with(token.as_bytes());
    let seen = match own || token.as_bytes().starts_with(&response.body) {
        true => token.clone(),
        false => String::from_utf8_lossy(&response.body[..response.body.len().min(32)]).into(),
    };
    let event = Event::Answered {
        call,
        outcome,
        token: seen,
        length: response.body.len() as u64,
        intact: whole.eq(response.body.iter().copied()),
        reason: reason(&response),
    };
    (outcome, event)
}

fn failed(call: u64, error: &Error) -> (Outcome, Event) {
    let outcome = match error {
        Error::Connect(_) | Error::Invalid(_) | Error::NotListening => Outcome::Unreached,
        Error::Lost(_) => Outcome::Lost,
        Error::Timeout => Outcome::TimedOut,
    };
    let event = Event::Answered {
        call,
        outcome,
        token: "".into(),
        length: 0,
        intact: false,
        reason: error.to_string().into(),
    };
    (outcome, event)
}

fn reason(response: &Response) -> Arc<str> {
    let body: Value = serde_json::from_slice(&response.body).unwrap_or_default();
    body["reason"].as_str().unwrap_or_default().into()
}
