//! Adapter to service instances.

use std::time::Duration;

use error_stack::Report;
use rosemaryworks_core::target::Instance;
use rosemaryworks_node::http::{self, Client};
use serde::{Deserialize, Serialize};

use super::call::{TIMEOUT, classify};
use crate::failure::{Answer, Failure, Fault};
use crate::instances::{Request, Response};

/// Header of a 503 response to a request that was not run. Its value is `true`.
pub const NOT_RUN_HEADER: &str = "rosemary-not-run";

const STATUS_NOT_FOUND: u16 = 404;
const STATUS_OK: u16 = 200;

/// Response to `GET /occupancy`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Occupancy {
    /// Number of requests being served.
    pub busy: u32,
}

/// Client of service instances.
#[derive(Clone, Debug)]
pub struct Instances {
    client: Client,
}

impl Instances {
    /// Creates a client.
    #[must_use]
    pub fn new(client: Client) -> Self {
        Self { client }
    }

    fn exchange(
        &self,
        operation: &'static str,
        instance: &Instance,
        request: http::Request,
    ) -> Answer<http::Response> {
        let client = self.client.clone();
        let peer = format!("instance {}", instance.name);
        Box::pin(async move {
            let result = client.send(request).await;
            result.map_err(|error| Report::new(Failure::new(operation, &peer, classify(error))))
        })
    }
}

impl crate::Instances for Instances {
    fn occupancy(&self, instance: &Instance) -> Answer<Option<u32>> {
        const OPERATION: &str = "read occupancy";
        let url = format!("http://{}/occupancy", instance.address);
        let answer = self.exchange(OPERATION, instance, http::Request::new("GET", url, TIMEOUT));
        let peer = format!("instance {}", instance.name);
        Box::pin(async move {
            let response = answer.await?;
            parse_occupancy(&response)
                .map_err(|fault| Report::new(Failure::new(OPERATION, &peer, fault)))
        })
    }

    fn send(&self, instance: &Instance, request: Request) -> Answer<Response> {
        let http_request = http::Request {
            method: "POST",
            url: format!("http://{}/", instance.address),
            headers: request.headers,
            body: request.body,
            timeout: Duration::from_millis(request.timeout_ms),
            stall_timeout: None,
            response_max_bytes: http::BODY_MAX_BYTES,
        };
        let answer = self.exchange("send request", instance, http_request);
        Box::pin(async move {
            let response = answer.await?;
            Ok(Response {
                status: response.status,
                headers: response.headers,
                body: response.body,
            })
        })
    }
}

/// Parses the occupancy; returns `None` for an instance without the route.
fn parse_occupancy(response: &http::Response) -> Result<Option<u32>, Fault> {
    match response.status {
        STATUS_OK => serde_json::from_slice(&response.body)
            .map(|occupancy: Occupancy| Some(occupancy.busy))
            .map_err(|error| Fault::Uncertain(format!("malformed answer: {error}"))),
        STATUS_NOT_FOUND => Ok(None),
        status => Err(Fault::Uncertain(format!("status {status}"))),
    }
}
