//! Execution of one service request: acquires a slot, dispatches the request to the instance,
//! retries if allowed, and reports the finish to the owner.

use std::sync::Arc;

use rosemaryworks_core::outcome::{Finish, NotRun, Unknown};
use rosemaryworks_core::partition::Map;
use rosemaryworks_core::shard::{Id, Kind};
use rosemaryworks_node::clock;
use rosemaryworks_platform::Fault;
use rosemaryworks_platform::instances::{Request, Response};
use tokio::sync::oneshot;

use crate::acquisition::{self, Decision};
use crate::events;
use crate::gateway::Gateway;
use crate::grants::Grant;
use crate::report;
use crate::service_request::{Outcome, ServiceRequest};

/// Milliseconds until the complete response of an instance must have arrived. Longer than any
/// deadline, because the slot stays occupied until the response has ended.
pub(crate) const RESPONSE_TIMEOUT_MS: u64 = 120_000;

/// Header of a 503 response of an instance that did not run the request.
const NOT_RUN_HEADER: &str = "rosemary-not-run";

const STATUS_UNAVAILABLE: u16 = 503;

/// Result of a dispatch. The variants have the meaning of those of [`Finish`].
enum Delivery {
    Answered(Response),
    Lost,
    NotSent,
    Rejected,
}

/// Returns the shard of a request, or `None` if the cell has no such service.
pub(crate) fn shard_of_request(partition: &Map, service_request: &ServiceRequest) -> Option<Id> {
    partition.shard_of_key(
        Kind::Service,
        &service_request.service,
        &service_request.identity.contract,
        &service_request.identity.id,
        service_request.pinning_limit,
    )
}

/// Executes a request and sends the outcome to `reply`. Once the request is dispatched, waits for
/// the end of the instance's response even if the receiver of `reply` is dropped.
pub(crate) async fn run(
    gateway: Gateway,
    service_request: ServiceRequest,
    shard: Id,
    mut reply: oneshot::Sender<Outcome>,
) {
    let _in_flight = gateway.count_request(service_request.deadline);
    let mut exclude = Vec::new();
    let mut rejected = false;
    let outcome = loop {
        let grant =
            match acquisition::acquire(&gateway, &service_request, &shard, &exclude, &mut reply)
                .await
            {
                Decision::Granted(grant) => grant,
                Decision::Ended(outcome) => break outcome.after_rejection(rejected),
            };
        let instance = grant.instance.name.clone();
        match dispatch_and_report(&gateway, &service_request, grant).await {
            NextStep::Ended(outcome) => break outcome.after_rejection(rejected),
            NextStep::Retry { sent } => {
                rejected |= sent;
                exclude.push(instance);
            }
        }
    };
    if reply.send(outcome).is_err() {
        let elapsed_ms = clock::now().since(service_request.received);
        events::ANSWERED_LATE.log(format_args!(
            "contract={} id={} elapsed_ms={elapsed_ms}",
            service_request.identity.contract, service_request.identity.id
        ));
    }
}

/// Next step of the execution after a dispatch.
enum NextStep {
    Ended(Outcome),
    /// The request is retried at another instance. `sent` is true if bytes reached this one.
    Retry {
        sent: bool,
    },
}

async fn dispatch_and_report(
    gateway: &Gateway,
    service_request: &ServiceRequest,
    grant: Grant,
) -> NextStep {
    let started = clock::now();
    let delivery = dispatch(gateway, service_request, &grant).await;
    let run_ms = clock::now().since(started);
    let (finish, outcome) = match delivery {
        Delivery::Answered(response) => {
            let outcome = complete(gateway, service_request, response);
            (Finish::Answered, outcome)
        }
        Delivery::Lost => (Finish::Lost, Outcome::Unknown(Unknown::InstanceLost)),
        Delivery::NotSent => {
            if try_retry(gateway, service_request) {
                report::spawn_and_wait(gateway, grant, Finish::NotSent, service_request.deadline)
                    .await;
                return NextStep::Retry { sent: false };
            }
            let outcome = service_request.unsent_outcome(NotRun::NoInstance, Unknown::InstanceLost);
            (Finish::NotSent, outcome)
        }
        Delivery::Rejected => {
            if try_retry(gateway, service_request) {
                report::spawn_and_wait(gateway, grant, Finish::Rejected, service_request.deadline)
                    .await;
                return NextStep::Retry { sent: true };
            }
            let outcome = Outcome::Unknown(Unknown::InstanceRefused);
            (Finish::Rejected, outcome)
        }
    };
    report::spawn(gateway, grant, finish, run_ms);
    NextStep::Ended(outcome)
}

fn complete(gateway: &Gateway, service_request: &ServiceRequest, response: Response) -> Outcome {
    let response = Arc::new(response);
    if !service_request.idempotent {
        let (service, request) = (&service_request.service, &service_request.identity);
        gateway
            .response_cache
            .insert(clock::now(), service, request, &response);
    }
    Outcome::Completed(response)
}

/// Returns whether a request that no instance ran may be dispatched again, and takes the retry from
/// the budget if so.
fn try_retry(gateway: &Gateway, service_request: &ServiceRequest) -> bool {
    let allowed = service_request.idempotent
        && clock::now() < service_request.deadline
        && gateway.retry_budget.try_spend(&service_request.service);
    if allowed {
        gateway.meters.request_retried(&service_request.service);
    }
    allowed
}

async fn dispatch(gateway: &Gateway, service_request: &ServiceRequest, grant: &Grant) -> Delivery {
    let request = Request {
        headers: headers(service_request),
        body: service_request.body.bytes.clone(),
        timeout_ms: RESPONSE_TIMEOUT_MS,
    };
    match gateway.instances.send(&grant.instance, request).await {
        Ok(response) if is_rejection(&response) => Delivery::Rejected,
        Ok(response) => Delivery::Answered(response),
        Err(report) => {
            let failure = report.current_context();
            events::INSTANCE_FAILED.log(format_args!(
                "id={} error={failure}",
                service_request.identity.id
            ));
            match failure.fault {
                Fault::Unreached(_) => Delivery::NotSent,
                _ => Delivery::Lost,
            }
        }
    }
}

fn headers(service_request: &ServiceRequest) -> Vec<(Arc<str>, Arc<str>)> {
    let attempt = service_request.attempt_number().to_string();
    let mut headers = vec![
        (
            "rosemary-request-id".into(),
            service_request.identity.id.clone(),
        ),
        ("rosemary-attempt".into(), attempt.into()),
        (
            "rosemary-contract".into(),
            service_request.identity.contract.clone(),
        ),
    ];
    if let Some(content_type) = &service_request.content_type {
        headers.push(("content-type".into(), content_type.clone()));
    }
    headers
}

fn is_rejection(response: &Response) -> bool {
    let marked_not_run = response.headers.iter().any(|(name, value)| {
        name.eq_ignore_ascii_case(NOT_RUN_HEADER) && value.eq_ignore_ascii_case("true")
    });
    response.status == STATUS_UNAVAILABLE && marked_not_run
}
