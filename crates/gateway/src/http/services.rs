//! Handler for `POST /v1/services/{service}`.

use std::time::Duration;

use ntex::web::types::{Path, Payload, State};
use ntex::web::{HttpRequest, HttpResponse};
use rosemaryworks_admin::discard_body;
use rosemaryworks_core::contract::is_name;
use rosemaryworks_core::outcome::{NotRun, Request, Unknown};
use rosemaryworks_core::shard::{Id, Kind};
use rosemaryworks_core::time::Instant;
use rosemaryworks_node::clock;
use tokio::sync::oneshot;

use super::reply::{self, Refusal};
use super::{body, close_if_draining, headers};
use crate::execution;
use crate::gateway::Gateway;
use crate::service_request::{Outcome, ServiceRequest, is_first_attempt};

/// Milliseconds after the deadline in which an outcome decided at the deadline may still arrive.
/// With 20, callers on a busy machine received `unknown` instead of `not-run`.
const DECISION_GRACE_MS: u64 = 100;

pub(super) async fn handle(
    gateway: State<Gateway>,
    request: HttpRequest,
    service: Path<String>,
    mut payload: Payload,
) -> HttpResponse {
    let received = clock::now();
    let _caller = gateway.count_caller_unless_stopping();
    let service_request = match validate(&gateway, &request, &service, &mut payload, received).await
    {
        Ok(service_request) => service_request,
        Err(refusal) => {
            gateway.meters.request_refused();
            if refusal.status != reply::STATUS_REQUEST_TIMEOUT {
                discard_body(&mut payload).await;
            }
            let response = refusal.response(refused_outcome(&request));
            return close_if_draining(&gateway, response);
        }
    };
    let id = service_request.identity.id.clone();
    let service = service_request.service.clone();
    let outcome = execute(&gateway, service_request).await;
    let elapsed_ms = clock::now().since(received);
    gateway
        .meters
        .request_ended(&service, outcome.name(), elapsed_ms);
    close_if_draining(&gateway, reply::outcome(&id, &outcome))
}

/// Returns the outcome of a rejected request: this attempt did not run, but an earlier one may
/// have.
fn refused_outcome(request: &HttpRequest) -> &'static str {
    match headers::attempt(request) {
        Ok(attempt) if is_first_attempt(attempt) => "not-run",
        _ => "unknown",
    }
}

async fn validate(
    gateway: &Gateway,
    request: &HttpRequest,
    service: &str,
    payload: &mut Payload,
    received: Instant,
) -> Result<ServiceRequest, Refusal> {
    let contract = headers::authenticate(gateway, request)?;
    let known = is_name(service)
        && gateway
            .cell
            .partition
            .count(Kind::Service, service)
            .is_some();
    if !known {
        return Err(Refusal::new(404, "the cell has no such service"));
    }
    let limits = contract.services.get(service);
    let limits = limits
        .ok_or_else(|| Refusal::new(403, format!("the contract doesn't include {service}")))?;
    let deadline = received + headers::deadline_ms(request)?;
    Ok(ServiceRequest {
        service: service.into(),
        identity: Request {
            contract: contract.name.clone(),
            id: headers::id(request)?,
        },
        idempotent: headers::idempotent(request)?,
        attempt: headers::attempt(request)?,
        content_type: headers::value(request, "content-type")?.map(Into::into),
        pinning_limit: limits.pinning_limit(),
        body: body::read(gateway, request, payload, deadline).await?,
        received,
        deadline,
    })
}

async fn execute(gateway: &Gateway, service_request: ServiceRequest) -> Outcome {
    if !service_request.idempotent {
        let cached = gateway.response_cache.get(
            clock::now(),
            &service_request.service,
            &service_request.identity,
        );
        if let Some(response) = cached {
            return Outcome::Completed(response);
        }
    }
    if gateway.is_stopping() {
        return service_request.unsent_outcome(NotRun::Stopping, Unknown::NoOwner);
    }
    let Some(shard) = execution::shard_of_request(&gateway.cell.partition, &service_request) else {
        return service_request.unsent_outcome(NotRun::NoInstance, Unknown::NoOwner);
    };
    gateway.retry_budget.deposit(&service_request.service);
    spawn_and_wait(gateway, service_request, shard).await
}

/// Executes the request in a task of the runtime, which continues if the caller disconnects or the
/// deadline passes.
async fn spawn_and_wait(gateway: &Gateway, service_request: ServiceRequest, shard: Id) -> Outcome {
    let remaining_ms = service_request.deadline.since(clock::now()) + DECISION_GRACE_MS;
    let (sender, receiver) = oneshot::channel();
    let execution_task = execution::run(gateway.clone(), service_request, shard, sender);
    gateway.runtime.spawn(execution_task);
    match tokio::time::timeout(Duration::from_millis(remaining_ms), receiver).await {
        Ok(Ok(outcome)) => outcome,
        _ => Outcome::Unknown(Unknown::Deadline),
    }
}
