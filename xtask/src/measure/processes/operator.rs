//! HTTP client that calls a deployment as an operator and as a customer.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use error_stack::Report;
use rosemaryworks_core::contract::{Contract, Pool, Service};
use rosemaryworks_core::job::Spec;
use rosemaryworks_core::size::Size;
use rosemaryworks_node::http::{Client, Request, Response};
use serde_json::{Value, json};

use crate::cluster::Cluster;
use crate::cluster::contract::uniform;
use crate::cluster::deployment::Deployment;
use crate::cluster::ports::Ports;
use crate::cluster::process::Error;
use crate::cluster::settings::OPERATOR_KEY;

const KEY: &str = "measure-key-0123456789";

const ACCELERATORS: u64 = 8_000;

const SERVICE: Service = Service {
    rate: 5_000,
    burst: 5_000,
    concurrency: 400,
    queue: 2_000,
};

const POOL: Pool = Pool {
    size: Size::new(100_000_000, 100_000_000),
    queue: 20_000,
};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);
const OWNERS_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// Client of one deployment with the keys of an operator and a customer.
#[derive(Clone)]
pub(super) struct Operator {
    client: Client,
    ports: Ports,
    shards: usize,
}

impl Operator {
    pub(super) fn new(cluster: &Cluster) -> Self {
        let pools = cluster.deployment.pools.iter().map(|pool| pool.shards);
        let services = cluster.deployment.services.iter();
        let shards: u32 = pools.chain(services.map(|service| service.shards)).sum();
        Self {
            client: cluster.client.clone(),
            ports: cluster.ports,
            shards: shards as usize,
        }
    }

    async fn operator_request(
        &self,
        gateway: usize,
        method: &'static str,
        path: &str,
        body: String,
    ) -> Result<Response, Report<Error>> {
        let url = format!(
            "http://127.0.0.1:{}{path}",
            self.ports.gateway_admin(gateway)
        );
        let request = Request::new(method, url, REQUEST_TIMEOUT)
            .header("authorization", &format!("Bearer {OPERATOR_KEY}"))
            .body(body);
        require_success(path, self.client.send(request).await)
    }

    /// Calls a gateway as a customer. Any status but success is an error.
    pub(super) async fn call(
        &self,
        gateway: usize,
        method: &'static str,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Result<Response, Report<Error>> {
        let answer = self.send(gateway, method, path, headers, body).await;
        require_success(path, answer)
    }

    /// Calls a gateway as a customer and returns the response with any status.
    pub(super) async fn send(
        &self,
        gateway: usize,
        method: &'static str,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Result<Response, rosemaryworks_node::http::Error> {
        let url = format!("http://127.0.0.1:{}{path}", self.ports.gateway(gateway));
        let mut request = Request::new(method, url, REQUEST_TIMEOUT)
            .header("authorization", &format!("Bearer {KEY}"))
            .header("content-type", "application/json")
            .body(body);
        for (name, value) in headers {
            request = request.header(name, value);
        }
        self.client.send(request).await
    }

    /// Injects a fault into the stand-in of the platform, or ends one.
    pub(super) async fn inject(&self, fault: &Value) -> Result<(), Report<Error>> {
        let url = format!("http://127.0.0.1:{}/v1/fault", self.ports.control());
        let request = Request::new("POST", url, REQUEST_TIMEOUT).body(fault.to_string());
        require_success("/v1/fault", self.client.send(request).await)?;
        Ok(())
    }

    /// Publishes a contract.
    pub(super) async fn publish(&self, contract: &Contract) -> Result<(), Report<Error>> {
        let id = format!("publish-{}", contract.name);
        let body = json!({ "id": id, "expected": 0, "contract": contract });
        let path = format!("/v1/contracts/{}", contract.name);
        self.operator_request(0, "PUT", &path, body.to_string())
            .await?;
        Ok(())
    }

    /// Submits a job for `contract`.
    pub(super) async fn submit(&self, contract: &str, job: &Spec) -> Result<(), Report<Error>> {
        let body = serde_json::to_string(job).unwrap_or_default();
        self.call(
            0,
            "POST",
            "/v1/jobs",
            &[("rosemary-contract", contract)],
            body,
        )
        .await?;
        Ok(())
    }

    /// Returns the owner of each shard that has one, as reported by a gateway.
    pub(super) async fn owners(
        &self,
        gateway: usize,
    ) -> Result<BTreeMap<String, String>, Report<Error>> {
        let response = self
            .operator_request(gateway, "GET", "/v1/cell", String::new())
            .await?;
        let cell: Value = serde_json::from_slice(&response.body).unwrap_or_default();
        let shards = cell["shards"].as_array().cloned().unwrap_or_default();
        let owner = |shard: &Value| {
            let name = shard["shard"].as_str()?.to_owned();
            Some((name, shard["owner"].as_str()?.to_owned()))
        };
        Ok(shards.iter().filter_map(owner).collect())
    }

    /// Waits until every shard has an owner.
    pub(super) async fn wait_owners(&self) -> Result<(), Report<Error>> {
        let started = Instant::now();
        while self.owners(0).await?.len() < self.shards {
            if started.elapsed() > OWNERS_TIMEOUT {
                return Err(Report::new(Error::new(
                    "find an owner of every shard",
                    "the cell",
                )));
            }
            tokio::time::sleep(POLL_PERIOD).await;
        }
        Ok(())
    }
}

fn require_success(
    path: &str,
    response: Result<Response, rosemaryworks_node::http::Error>,
) -> Result<Response, Report<Error>> {
    let failed = || Report::new(Error::new("call", path));
    match response {
        Ok(response) if (200..300).contains(&response.status) => Ok(response),
        Ok(response) => {
            let body = String::from_utf8_lossy(&response.body).into_owned();
            Err(failed().attach_printable(format!("{} {body}", response.status)))
        }
        Err(error) => Err(failed().attach_printable(error.to_string())),
    }
}

/// Returns a contract for every service and pool, with limits that the measured load does not
/// reach.
pub(super) fn contract(name: &str, deployment: &Deployment) -> Contract {
    uniform(deployment, (name, KEY), SERVICE, POOL, ACCELERATORS)
}
