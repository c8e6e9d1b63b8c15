//! Carries out one request: asks for a slot, dispatches, and reports the end.

use std::sync::Arc;

use rosemaryworks_core::outcome::{Finish, NotRun, Unknown};
use rosemaryworks_core::partition::Map;
use rosemaryworks_core::shard::{Id, Kind};
use rosemaryworks_node::clock;
use rosemaryworks_platform::Fault;
use rosemaryworks_platform::instances::{Request, Response};
use tokio::sync::oneshot;

use crate::ask::{self, Asked};
use crate::events;
use crate::gateway::Gateway;
use crate::grants::Grant;
use crate::inquiry::{Inquiry, Outcome};
use crate::report;

/// Milliseconds to wait for the whole answer of an instance. Longer than any deadline: the slot
/// stays taken until the answer has ended.
pub(crate) const ANSWER_MAX_MS: u64 = 120_000;

/// Header of a 503 answer of an instance that did not run the request.
const NOT_RUN_HEADER: &str = "rosemary-not-run";

const STATUS_UNAVAILABLE: u16 = 503;

/// What became of a dispatch.
enum Dispatched {
    Answered(Response),
    Lost,
    NotSent,
    Rejected,
}

/// Returns the shard of a request, or `None` if the cell has no such service.
pub(crate) fn shard(partition: &Map, inquiry: &Inquiry) -> Option<Id> {
    partition.shard_of_key(
        Kind::Service,
        &inquiry.service,
        &inquiry.request.contract,
        &inquiry.request.id,
        inquiry.smallest_limit,
    )
}

/// Carries out a request and tells `reply` the outcome. Once the request is dispatched, goes on to
/// the end of the instance's answer even if nobody waits for the outcome any more.
pub(crate) async fn run(
    gateway: Gateway,
    inquiry: Inquiry,
    shard: Id,
    mut reply: oneshot::Sender<Outcome>,
) {
    let _busy = gateway.request(inquiry.deadline);
    let mut exclude = Vec::new();
    let mut rejected = false;
    let outcome = loop {
        let grant = match ask::obtain(&gateway, &inquiry, &shard, &exclude, &mut reply).await {
            Asked::Granted(grant) => grant,
            Asked::Ended(outcome) => break outcome.after(rejected),
        };
        let instance = grant.instance.name.clone();
        match attempt(&gateway, &inquiry, grant).await {
            Attempt::Ended(outcome) => break outcome.after(rejected),
            Attempt::Retry { sent } => {
                rejected |= sent;
                exclude.push(instance);
            }
        }
    };
    if reply.send(outcome).is_err() {
        let elapsed_ms = clock::now().since(inquiry.received);
        events::ANSWERED_LATE.log(format_args!(
            "contract={} id={} elapsed_ms={elapsed_ms}",
            inquiry.request.contract, inquiry.request.id
        ));
    }
}

/// What follows a dispatch.
enum Attempt {
    Ended(Outcome),
    /// Another instance is asked for. `sent` tells whether bytes reached the last one.
    Retry {
        sent: bool,
    },
}

async fn attempt(gateway: &Gateway, inquiry: &Inquiry, grant: Grant) -> Attempt {
    let started = clock::now();
    let dispatched = dispatch(gateway, inquiry, &grant).await;
    let run_ms = clock::now().since(started);
    let (finish, outcome) = match dispatched {
        Dispatched::Answered(response) => {
            let outcome = keep(gateway, inquiry, response);
            (Finish::Answered, outcome)
        }
        Dispatched::Lost => (Finish::Lost, Outcome::Unknown(Unknown::InstanceLost)),
        Dispatched::NotSent => {
            if retry(gateway, inquiry) {
                report::briefly(gateway, grant, Finish::NotSent, inquiry.deadline).await;
                return Attempt::Retry { sent: false };
            }
            let outcome = inquiry.not_sent(NotRun::NoInstance, Unknown::InstanceLost);
            (Finish::NotSent, outcome)
        }
        Dispatched::Rejected => {
            if retry(gateway, inquiry) {
                report::briefly(gateway, grant, Finish::Rejected, inquiry.deadline).await;
                return Attempt::Retry { sent: true };
            }
            let outcome = Outcome::Unknown(Unknown::InstanceRefused);
            (Finish::Rejected, outcome)
        }
    };
    report::spawn(gateway, grant, finish, run_ms);
    Attempt::Ended(outcome)
}

fn keep(gateway: &Gateway, inquiry: &Inquiry, response: Response) -> Outcome {
    let answer = Arc::new(response);
    if !inquiry.idempotent {
        let (service, request) = (&inquiry.service, &inquiry.request);
        gateway.answers.put(clock::now(), service, request, &answer);
    }
    Outcome::Completed(answer)
}

/// Tells whether a request that no instance ran is dispatched again.
fn retry(gateway: &Gateway, inquiry: &Inquiry) -> bool {
    let allowed = inquiry.idempotent
        && clock::now() < inquiry.deadline
        && gateway.budget.spend(&inquiry.service);
    if allowed {
        gateway.meters.retried(&inquiry.service);
    }
    allowed
}

async fn dispatch(gateway: &Gateway, inquiry: &Inquiry, grant: &Grant) -> Dispatched {
    let request = Request {
        headers: headers(inquiry),
        body: inquiry.body.bytes.clone(),
        timeout_ms: ANSWER_MAX_MS,
    };
    match gateway.instances.send(&grant.instance, request).await {
        Ok(response) if is_rejection(&response) => Dispatched::Rejected,
        Ok(response) => Dispatched::Answered(response),
        Err(report) => {
            let failure = report.current_context();
            events::INSTANCE_FAILED.log(format_args!("id={} error={failure}", inquiry.request.id));
            match failure.fault {
                Fault::Unreached(_) => Dispatched::NotSent,
                _ => Dispatched::Lost,
            }
        }
    }
}

fn headers(inquiry: &Inquiry) -> Vec<(Arc<str>, Arc<str>)> {
    let attempt = inquiry.attempt_number().to_string();
    let mut headers = vec![
        ("rosemary-request-id".into(), inquiry.request.id.clone()),
        ("rosemary-attempt".into(), attempt.into()),
        ("rosemary-contract".into(), inquiry.request.contract.clone()),
    ];
    if let Some(kind) = &inquiry.content_type {
        headers.push(("content-type".into(), kind.clone()));
    }
    headers
}

fn is_rejection(response: &Response) -> bool {
    let marked = response.headers.iter().any(|(name, value)| {
        name.eq_ignore_ascii_case(NOT_RUN_HEADER) && value.eq_ignore_ascii_case("true")
    });
    response.status == STATUS_UNAVAILABLE && marked
}
