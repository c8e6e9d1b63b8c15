//! Operator load: concurrent publishes of the same contracts, and polls of the revisions that
//! gateways and schedulers have in force.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rosemaryworks_history::Event;
use rosemaryworks_history::record::{Operation, Reply};
use rosemaryworks_node::http::Response;
use serde_json::{Value, json};

use super::context::Context;

const PUBLISH_TIMEOUT: Duration = Duration::from_secs(9);
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Longer than the time that a gateway waits for responses of the schedulers.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(4);
const POLL_PERIOD: Duration = Duration::from_millis(700);

/// Number of contracts that operators publish concurrently.
const CONTESTED_CONTRACTS: usize = 2;

/// Publishes of one contract, after which operators switch to a new one. Bounds the run time of the
/// linearizability check.
const PUBLISHES_PER_CONTRACT: u64 = 25;

/// Largest number of attempts of one publish while its outcome is unknown.
const ATTEMPTS_MAX: u32 = 4;

/// Number of publishes so far for each contested contract.
#[derive(Debug, Default)]
pub(crate) struct Races([AtomicU64; CONTESTED_CONTRACTS]);

impl Races {
    fn next_name(&self, index: usize) -> Arc<str> {
        let number = self.0[index].fetch_add(1, Ordering::SeqCst) / PUBLISHES_PER_CONTRACT;
        format!("race-{index}-{number}").into()
    }
}

/// Publishes until the run stops.
pub(crate) async fn run(context: Arc<Context>, races: Arc<Races>, seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    while !context.is_stopping() {
        let name = races.next_name(random.random_range(0..CONTESTED_CONTRACTS));
        let gateway = random.random_range(0..context.gateways);
        if let Some(revision) = current_revision(&context, gateway, &name).await {
            publish(&context, &name, revision, &mut random).await;
        }
        let pause_ms = match context.operator_race.load(Ordering::SeqCst) {
            true => random.random_range(0..50),
            false => random.random_range(200..1_500),
        };
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Returns the revision that a gateway has in force; 0 if there is none.
async fn current_revision(context: &Context, gateway: usize, name: &str) -> Option<u64> {
    let path = format!("/v1/contracts/{name}");
    let request = context.operator_request(gateway, "GET", &path, READ_TIMEOUT);
    let response = context.client.send(request).await.ok()?;
    match response.status {
        200 => json(&response)["revision"].as_u64(),
        404 => Some(0),
        _ => None,
    }
}

async fn publish(context: &Context, name: &Arc<str>, expected: u64, random: &mut SmallRng) {
    let call = context.next_number();
    let mark = random.random_range(1..100);
    context.record(Event::OperatorCalled {
        call,
        contract: name.clone(),
        operation: Operation::Publish { expected, mark },
    });
    let contract = context.contract(name, mark);
    let body = json!({ "id": format!("p-{call}"), "expected": expected, "contract": contract });
    let reply = publish_until_known(context, name, &body, random).await;
    context.record(Event::OperatorTold { call, told: reply });
}

/// Publishes through random gateways, with the same id in each attempt, until the outcome is known.
async fn publish_until_known(
    context: &Context,
    name: &str,
    body: &Value,
    random: &mut SmallRng,
) -> Reply {
    let mut maybe_applied = false;
    for _ in 0..ATTEMPTS_MAX {
        let gateway = random.random_range(0..context.gateways);
        let path = format!("/v1/contracts/{name}");
        let request = context.operator_request(gateway, "PUT", &path, PUBLISH_TIMEOUT);
        let response = context.client.send(request.body(body.to_string())).await;
        match response.map(|response| parse_reply(&response)) {
            Ok(Reply::Refused) if !maybe_applied => return Reply::Refused,
            // An earlier attempt may still take effect although this one was rejected.
            Ok(Reply::Unknown | Reply::Refused) | Err(_) => maybe_applied = true,
            Ok(reply) => return reply,
        }
        tokio::time::sleep(Duration::from_millis(random.random_range(100..800))).await;
    }
    Reply::Unknown
}

fn parse_reply(response: &Response) -> Reply {
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

/// Records periodically the revisions that one gateway has in force.
pub(crate) async fn poll_gateway(context: Arc<Context>, gateway: usize) {
    while !context.is_stopping() {
        let request = context.operator_request(gateway, "GET", "/v1/contracts", READ_TIMEOUT);
        if let Ok(response) = context.client.send(request).await
            && response.status == 200
        {
            record_shown(&context, gateway, &json(&response));
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

fn record_shown(context: &Context, gateway: usize, contracts: &Value) {
    for entry in contracts.as_array().into_iter().flatten() {
        let (Some(name), Some(revision)) = (entry["name"].as_str(), entry["revision"].as_u64())
        else {
            continue;
        };
        context.record(Event::Shown {
            process: context.gateway_name(gateway),
            contract: name.into(),
            revision,
        });
    }
}

/// Records periodically the revisions that the schedulers have in force, as reported by one gateway
/// after the other.
///
/// Calls are sequential, so that no response is recorded after a later one.
pub(crate) async fn poll_schedulers(context: Arc<Context>) {
    for gateway in (0..context.gateways).cycle() {
        if context.is_stopping() {
            break;
        }
        let request = context.operator_request(gateway, "GET", "/v1/rollout", ROLLOUT_TIMEOUT);
        if let Ok(response) = context.client.send(request).await
            && response.status == 200
        {
            record_enforced(&context, &json(&response));
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

fn record_enforced(context: &Context, rollout: &Value) {
    for entry in rollout["contracts"].as_array().into_iter().flatten() {
        let processes = entry["processes"].as_object().into_iter().flatten();
        let schedulers = processes.filter(|(process, _)| process.starts_with("scheduler-"));
        for (process, revision) in schedulers {
            context.record(Event::Enforced {
                process: process.as_str().into(),
                contract: entry["name"].as_str().unwrap_or_default().into(),
                revision: revision.as_u64().unwrap_or_default(),
            });
        }
    }
}

/// Publishes the contracts of the callers and waits until every gateway has them in force.
pub(crate) async fn publish_initial(context: &Context, names: &[&str]) -> Result<(), String> {
    for name in names {
        let body = json!({
            "id": format!("prepare-{name}"), "expected": 0, "contract": context.contract(name, 1),
        });
        let path = format!("/v1/contracts/{name}");
        let request = context.operator_request(0, "PUT", &path, PUBLISH_TIMEOUT);
        let response = context.client.send(request.body(body.to_string())).await;
        let response = response.map_err(|error| error.to_string())?;
        if response.status != 200 {
            return Err(String::from_utf8_lossy(&response.body).into());
        }
        for gateway in 0..context.gateways {
            while current_revision(context, gateway, name).await.unwrap_or(0) == 0 {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
    Ok(())
}
