//! Request load: callers send requests to services and retry them at other gateways.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rosemaryworks_history::Event;
use rosemaryworks_history::record::{Outcome, Request as Identity};
use rosemaryworks_node::http::{Error, Response};
use serde_json::{Value, json};

use super::context::{Context, LARGE, SMALL};

/// Largest number of attempts with one id.
const ATTEMPTS_MAX: u32 = 4;

/// A generated request.
struct Spec {
    contract: &'static str,
    deadline_ms: u64,
    id: Arc<str>,
    idempotent: bool,
    length: usize,
    /// Whether the request carries the attempt number.
    numbered: bool,
    run_ms: u64,
    service: &'static str,
    /// Response timeout in milliseconds, after which the caller may retry at another gateway.
    timeout_ms: u64,
    token: Arc<str>,
}

/// Sends requests until the run stops.
pub(crate) async fn run(context: Arc<Context>, seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    while !context.is_stopping() {
        let spec = generate(&context, &mut random);
        let mut gateway = random.random_range(0..context.gateways);
        for attempt in 1..=ATTEMPTS_MAX {
            let outcome = send(&context, &spec, gateway, attempt).await;
            let retry = match outcome {
                Outcome::Completed | Outcome::Refused => false,
                Outcome::NotRun => random.random_bool(0.3),
                _ => random.random_bool(0.8),
            };
            if !retry {
                break;
            }
            gateway =
                (gateway + 1 + random.random_range(0..context.gateways - 1)) % context.gateways;
            let pause_ms = random.random_range(0..300);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
        let pause_ms = random.random_range(5..100);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

fn generate(context: &Context, random: &mut SmallRng) -> Spec {
    let number = context.next_number();
    let services = &context.deployment.services;
    let slow = random.random_bool(0.15);
    let large = random.random_bool(0.05);
    Spec {
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

async fn send(context: &Context, spec: &Spec, gateway: usize, attempt: u32) -> Outcome {
    let call = context.next_number();
    context.record(Event::Called {
        call,
        process: context.gateway_name(gateway),
        request: Identity {
            contract: spec.contract.into(),
            id: spec.id.clone(),
            attempt,
        },
        idempotent: spec.idempotent,
        token: spec.token.clone(),
        length: spec.length as u64,
    });
    let path = format!("/v1/services/{}", spec.service);
    let timeout = Duration::from_millis(spec.timeout_ms);
    let mut request = context
        .caller_request(gateway, spec.contract, "POST", &path, timeout)
        .header("rosemary-request-id", &spec.id)
        .header("rosemary-deadline-ms", &spec.deadline_ms.to_string())
        .header("rosemary-idempotent", &spec.idempotent.to_string());
    if spec.numbered {
        request = request.header("rosemary-attempt", &attempt.to_string());
    }
    let result = context.client.send(request.body(body(spec, attempt))).await;
    let (outcome, event) = classify(call, &spec.token, result);
    context.record(event);
    outcome
}

fn body(spec: &Spec, attempt: u32) -> String {
    let content = json!({
        "token": spec.token, "length": spec.length, "run_ms": spec.run_ms,
        "contract": spec.contract, "id": spec.id, "attempt": attempt,
    });
    content.to_string()
}

fn classify(call: u64, token: &Arc<str>, result: Result<Response, Error>) -> (Outcome, Event) {
    let response = match result {
        Ok(response) => response,
        Err(error) => return classify_error(call, &error),
    };
    let outcome = match response.header("rosemary-outcome") {
        Some("completed") => Outcome::Completed,
        Some("not-run") => Outcome::NotRun,
        Some("unknown") => Outcome::Unknown,
        _ => Outcome::Refused,
    };
    let expected = token.bytes().cycle().take(response.body.len());
    let has_token = response.body.starts_with(token.as_bytes());
    let answered_token = match has_token || token.as_bytes().starts_with(&response.body) {
        true => token.clone(),
        false => String::from_utf8_lossy(&response.body[..response.body.len().min(32)]).into(),
    };
    let event = Event::Answered {
        call,
        outcome,
        token: answered_token,
        length: response.body.len() as u64,
        intact: expected.eq(response.body.iter().copied()),
        reason: reason(&response),
    };
    (outcome, event)
}

fn classify_error(call: u64, error: &Error) -> (Outcome, Event) {
    let outcome = match error {
        Error::Connect(_) | Error::Invalid(_) | Error::Refused => Outcome::Unreached,
        Error::Lost(_) => Outcome::Lost,
        Error::Timeout | Error::Incomplete { .. } => Outcome::TimedOut,
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
