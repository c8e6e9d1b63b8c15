//! `POST /v1/services/{service}`.

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
use crate::exchange;
use crate::gateway::Gateway;
use crate::inquiry::{Inquiry, Outcome, is_first};

/// Milliseconds after the deadline that the handler leaves for a decision made at the deadline. With
/// 20, callers on a busy machine were told `unknown` in place of `not-run`.
const GRACE_MS: u64 = 100;

pub(super) async fn take(
    gateway: State<Gateway>,
    request: HttpRequest,
    service: Path<String>,
    mut payload: Payload,
) -> HttpResponse {
    let received = clock::now();
    let _caller = gateway.caller_unless_stopping();
    let inquiry = match check(&gateway, &request, &service, &mut payload, received).await {
        Ok(inquiry) => inquiry,
        Err(refusal) => {
            gateway.meters.refused();
            if refusal.status != reply::TOO_SLOW {
                discard_body(&mut payload).await;
            }
            let answer = refusal.answer(refused_outcome(&request));
            return close_if_draining(&gateway, answer);
        }
    };
    let id = inquiry.request.id.clone();
    let service = inquiry.service.clone();
    let outcome = decide(&gateway, inquiry).await;
    let elapsed_ms = clock::now().since(received);
    gateway.meters.ended(&service, outcome.name(), elapsed_ms);
    close_if_draining(&gateway, reply::outcome(&id, &outcome))
}

/// Returns the outcome of a request that is refused for its own fault: this attempt did not run, an
/// earlier one may have.
fn refused_outcome(request: &HttpRequest) -> &'static str {
    match headers::attempt(request) {
        Ok(attempt) if is_first(attempt) => "not-run",
        _ => "unknown",
    }
}

async fn check(
    gateway: &Gateway,
    request: &HttpRequest,
    service: &str,
    payload: &mut Payload,
    received: Instant,
) -> Result<Inquiry, Refusal> {
    let contract = headers::contract(gateway, request)?;
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
    Ok(Inquiry {
        service: service.into(),
        request: Request {
            contract: contract.name.clone(),
            id: headers::id(request)?,
        },
        idempotent: headers::idempotent(request)?,
        attempt: headers::attempt(request)?,
        content_type: headers::value(request, "content-type")?.map(Into::into),
        smallest_limit: limits.pinning_limit(),
        body: body::read(gateway, request, payload, deadline).await?,
        received,
        deadline,
    })
}

async fn decide(gateway: &Gateway, inquiry: Inquiry) -> Outcome {
    if !inquiry.idempotent {
        let kept = gateway
            .answers
            .get(clock::now(), &inquiry.service, &inquiry.request);
        if let Some(answer) = kept {
            return Outcome::Completed(answer);
        }
    }
    if gateway.is_stopping() {
        return inquiry.not_sent(NotRun::Stopping, Unknown::NoOwner);
    }
    let Some(shard) = exchange::shard(&gateway.cell.partition, &inquiry) else {
        return inquiry.not_sent(NotRun::NoInstance, Unknown::NoOwner);
    };
    gateway.budget.earn(&inquiry.service);
    run(gateway, inquiry, shard).await
}

/// Runs the request on the runtime, where it goes on if the caller goes or its deadline passes.
async fn run(gateway: &Gateway, inquiry: Inquiry, shard: Id) -> Outcome {
    let left_ms = inquiry.deadline.since(clock::now()) + GRACE_MS;
    let (sender, receiver) = oneshot::channel();
    let work = exchange::run(gateway.clone(), inquiry, shard, sender);
    gateway.runtime.spawn(work);
    match tokio::time::timeout(Duration::from_millis(left_ms), receiver).await {
        Ok(Ok(outcome)) => outcome,
        _ => Outcome::Unknown(Unknown::Deadline),
    }
}
