//! HTTP client that calls the gateways as a customer and as an operator.

use std::time::Duration;

use rosemaryworks_core::contract::Contract;
use rosemaryworks_node::http::{Client, Request, Response};
use serde_json::{Value, json};

use super::contract;
use crate::cluster::Cluster;
use crate::cluster::ports::Ports;
use crate::cluster::settings::OPERATOR_KEY;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_PERIOD: Duration = Duration::from_millis(100);
const JOB_TIMEOUT_MS: u64 = 15_000;

/// Client of one deployment with the keys of a customer and an operator.
pub(crate) struct Caller {
    client: Client,
    ports: Ports,
    gateways: usize,
}

impl Caller {
    pub(crate) fn new(cluster: &Cluster) -> Self {
        let gateways = cluster.gateways.len();
        Self {
            client: cluster.client.clone(),
            ports: cluster.ports,
            gateways,
        }
    }

    async fn send(&self, request: Request) -> Result<Response, String> {
        self.client
            .send(request)
            .await
            .map_err(|error| error.to_string())
    }

    fn operator_request(&self, gateway: usize, method: &'static str, path: &str) -> Request {
        let port = self.ports.gateway_admin(gateway);
        Request::new(
            method,
            format!("http://127.0.0.1:{port}{path}"),
            REQUEST_TIMEOUT,
        )
        .header("authorization", &format!("Bearer {OPERATOR_KEY}"))
    }

    fn customer_request(&self, gateway: usize, method: &'static str, path: &str) -> Request {
        let port = self.ports.gateway(gateway);
        Request::new(
            method,
            format!("http://127.0.0.1:{port}{path}"),
            REQUEST_TIMEOUT,
        )
        .header("authorization", &format!("Bearer {}", contract::KEY))
        .header("rosemary-contract", contract::NAME)
    }

    /// Publishes a new contract through the first gateway.
    pub(crate) async fn publish(&self, contract: &Contract) -> String {
        let body = json!({ "id": "demo-publish", "expected": 0, "contract": contract });
        let path = format!("/v1/contracts/{}", contract.name);
        let request = self
            .operator_request(0, "PUT", &path)
            .body(body.to_string());
        match self.send(request).await {
            Ok(response) if response.status == 200 => "accepted".to_owned(),
            Ok(response) => describe(&response),
            Err(error) => error,
        }
    }

    /// Waits until every gateway has the contract in force.
    pub(crate) async fn wait_at_gateways(&self) -> String {
        let path = format!("/v1/contracts/{}", contract::NAME);
        for gateway in 0..self.gateways {
            loop {
                match self
                    .send(self.operator_request(gateway, "GET", &path))
                    .await
                {
                    Ok(response) if response.status == 200 => break,
                    Ok(response) if response.status == 404 => {}
                    Ok(response) => return describe(&response),
                    Err(error) => return error,
                }
                tokio::time::sleep(POLL_PERIOD).await;
            }
        }
        "in force".to_owned()
    }

    /// Waits until the rollout report lists every scheduler as up to date with the contract.
    pub(crate) async fn wait_at_schedulers(&self) -> String {
        loop {
            let request = self.operator_request(0, "GET", "/v1/rollout");
            let rollout = match self.send(request).await {
                Ok(response) if response.status == 200 => json(&response),
                Ok(response) => return describe(&response),
                Err(error) => return error,
            };
            let mut contracts = rollout["contracts"].as_array().into_iter().flatten();
            let entry = contracts.find(|entry| entry["name"] == contract::NAME);
            let is_empty = |list: &Value| list.as_array().is_some_and(Vec::is_empty);
            let all_updated = entry.is_some_and(|entry| is_empty(&entry["behind"]));
            if all_updated && is_empty(&rollout["unreached"]) {
                return "in force".to_owned();
            }
            tokio::time::sleep(POLL_PERIOD).await;
        }
    }

    /// Sends a non-idempotent request through the first gateway and checks that the response
    /// belongs to it.
    pub(crate) async fn request(&self, service: &str) -> String {
        let token = format!("demo-{service}");
        match self.call_service(0, service, &token).await {
            Ok(response) if outcome(&response) == "completed" => match is_echo(&response, &token) {
                true => "completed".to_owned(),
                false => format!("answer to another request: {}", describe(&response)),
            },
            Ok(response) => describe(&response),
            Err(error) => error,
        }
    }

    /// Repeats the request of [`Caller::request`] through the last gateway.
    pub(crate) async fn repeat(&self, service: &str) -> String {
        let token = format!("demo-{service}");
        match self.call_service(self.gateways - 1, service, &token).await {
            Ok(response) => describe(&response),
            Err(error) => error,
        }
    }

    async fn call_service(
        &self,
        gateway: usize,
        service: &str,
        token: &str,
    ) -> Result<Response, String> {
        let request = self
            .customer_request(gateway, "POST", &format!("/v1/services/{service}"))
            .header("rosemary-request-id", token)
            .header("content-type", "application/json")
            .body(json!({ "token": token, "run_ms": 20, "length": 2_000 }).to_string());
        self.send(request).await
    }

    /// Submits a job through the first gateway and waits for its end through the last.
    pub(crate) async fn job(&self, kind: &str, pool: &str, tasks: u32) -> String {
        let id = format!("demo-{kind}");
        let accelerators = u32::from(pool == "gpu");
        let body = json!({
            "id": id, "kind": kind, "pool": pool, "tasks": tasks, "run_ms": 300,
            "size": { "millicores": 1000, "memory_mb": 512, "accelerators": accelerators },
        });
        let request = self
            .customer_request(0, "POST", "/v1/jobs")
            .header("content-type", "application/json");
        match self.send(request.body(body.to_string())).await {
            Ok(response) if matches!(response.status, 200..=202) => {}
            Ok(response) => return describe(&response),
            Err(error) => return error,
        }
        let path = format!("/v1/jobs/{id}/wait?timeout-ms={JOB_TIMEOUT_MS}");
        match self
            .send(self.customer_request(self.gateways - 1, "GET", &path))
            .await
        {
            Ok(response) => field(&response, "state"),
            Err(error) => error,
        }
    }
}

fn outcome(response: &Response) -> &str {
    response.header("rosemary-outcome").unwrap_or("none")
}

fn json(response: &Response) -> Value {
    serde_json::from_slice(&response.body).unwrap_or(Value::Null)
}

fn field(response: &Response, name: &str) -> String {
    match json(response).get(name).and_then(Value::as_str) {
        Some(value) => value.to_owned(),
        None => describe(response),
    }
}

/// Returns whether the response carries the request's token and at least the requested length.
fn is_echo(response: &Response, token: &str) -> bool {
    let body = String::from_utf8_lossy(&response.body);
    response.header("rosemary-request-id") == Some(token)
        && body.contains(token)
        && body.len() >= 2_000
}

/// Returns the outcome with its reason, or the status with the body.
fn describe(response: &Response) -> String {
    let reason = json(response)
        .get("reason")
        .and_then(Value::as_str)
        .map(ToOwned::to_owned);
    match (response.header("rosemary-outcome"), reason) {
        (Some(outcome), Some(reason)) => format!("{outcome}: {reason}"),
        (Some(outcome), None) => outcome.to_owned(),
        (None, _) => {
            let body = String::from_utf8_lossy(&response.body);
            format!("{} {}", response.status, body.trim())
        }
    }
}
