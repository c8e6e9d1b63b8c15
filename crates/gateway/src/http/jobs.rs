//! Handlers for `/v1/jobs`.

use std::sync::Arc;

use ntex::web::types::{Path, Payload, Query, State};
use ntex::web::{HttpRequest, HttpResponse};
use rosemaryworks_admin::discard_body;
use rosemaryworks_core::contract::{Contract, is_name};
use rosemaryworks_core::job::{Id, Spec, Status, TASKS_MAX};
use rosemaryworks_core::outcome::NotRun;
use rosemaryworks_core::shard;
use rosemaryworks_node::clock;
use rosemaryworks_wire::Submission;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::task::JoinSet;

use super::reply::{self, Refusal};
use super::{body, close_if_draining, headers};
use crate::gateway::Gateway;
use crate::jobs::{self, ANSWER_TIMEOUT_MS, CallError};

/// Longest wait for the end of a job, in milliseconds.
const WAIT_MAX_MS: u64 = 60_000;

const WAIT_DEFAULT_MS: u64 = 10_000;

/// Status, outcome and body of a response.
struct Response {
    status: u16,
    outcome: &'static str,
    body: Value,
}

impl Response {
    fn completed(status: u16, body: Value) -> Self {
        Self {
            status,
            outcome: "completed",
            body,
        }
    }

    fn refused(status: u16, reason: &str, message: &str) -> Self {
        Self {
            status,
            outcome: "not-run",
            body: json!({ "outcome": "not-run", "reason": reason, "message": message }),
        }
    }

    fn not_run(reason: &NotRun) -> Self {
        Self {
            status: reply::not_run_status(reason),
            outcome: "not-run",
            body: reply::not_run(reason),
        }
    }

    fn unknown(message: &str) -> Self {
        Self {
            status: 504,
            outcome: "unknown",
            body: json!({ "outcome": "unknown", "reason": "no-answer", "message": message }),
        }
    }

    fn into_http(self) -> HttpResponse {
        let mut builder = reply::builder(self.status);
        builder.set_header("rosemary-outcome", self.outcome);
        reply::json_body(builder, &self.body)
    }
}

fn respond(gateway: &Gateway, result: Result<Response, Refusal>) -> HttpResponse {
    let response = match result {
        Ok(response) => response.into_http(),
        Err(refusal) => refusal.response("not-run"),
    };
    close_if_draining(gateway, response)
}

pub(super) async fn submit(
    gateway: State<Gateway>,
    request: HttpRequest,
    mut payload: Payload,
) -> HttpResponse {
    let _caller = gateway.count_caller_unless_stopping();
    let result = submit_checked(&gateway, &request, &mut payload).await;
    if result
        .as_ref()
        .is_err_and(|refusal| refusal.status != reply::STATUS_REQUEST_TIMEOUT)
    {
        discard_body(&mut payload).await;
    }
    respond(&gateway, result)
}

async fn submit_checked(
    gateway: &Gateway,
    request: &HttpRequest,
    payload: &mut Payload,
) -> Result<Response, Refusal> {
    let contract = headers::authenticate(gateway, request)?;
    let deadline = clock::now() + ANSWER_TIMEOUT_MS;
    let job = parse(&body::read(gateway, request, payload, deadline).await?.bytes)?;
    if gateway.is_stopping() {
        return Ok(Response::not_run(&NotRun::Stopping));
    }
    let shard = jobs::shard_of_job(&gateway.cell.partition, &contract, &job.pool, &job.id);
    let shard = shard.ok_or_else(|| {
        Refusal::new(
            403,
            format!("pool: the contract doesn't include {:?}", job.pool),
        )
    })?;
    let contract = Contract::clone(&contract);
    let call = jobs::submit(gateway.clone(), shard, contract, job);
    let submission = gateway.runtime.spawn(call).await;
    Ok(submission_response(
        submission.unwrap_or(Submission::Unknown),
    ))
}

fn parse(body: &[u8]) -> Result<Spec, Refusal> {
    let mut deserializer = serde_json::Deserializer::from_slice(body);
    let job: Spec = serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|error| Refusal::new(400, format!("{}: {}", error.path(), error.inner())))?;
    let names = [
        ("id", Some(&job.id)),
        ("pool", Some(&job.pool)),
        ("work", job.work.as_ref()),
    ];
    for (field, name) in names {
        if name.is_some_and(|name| !is_name(name)) {
            let message = format!("{field}: must be 1 to 64 characters of a-z, 0-9 and '-'");
            return Err(Refusal::new(400, message));
        }
    }
    if !(1..=TASKS_MAX).contains(&job.tasks) {
        return Err(Refusal::new(
            400,
            format!("tasks: must be 1 to {TASKS_MAX}"),
        ));
    }
    Ok(job)
}

fn submission_response(submission: Submission) -> Response {
    match submission {
        Submission::Accepted(status) => Response::completed(200, json!(status)),
        Submission::Conflict => {
            Response::refused(409, "conflict", "the id was used for a different job")
        }
        Submission::NotOwner { .. } => Response::not_run(&NotRun::NoOwner),
        Submission::Rejected(reason) => Response::refused(422, "rejected", &reason),
        Submission::Unavailable(reason) => Response::not_run(&reason),
        Submission::Unknown => Response::unknown(
            "it isn't known whether the change was made; repeat it with the same id",
        ),
    }
}

pub(super) async fn status(
    gateway: State<Gateway>,
    request: HttpRequest,
    id: Path<String>,
) -> HttpResponse {
    let result = status_checked(&gateway, &request, &id, 0).await;
    respond(&gateway, result)
}

/// Query parameters of a wait.
#[derive(Deserialize)]
pub(super) struct Wait {
    #[serde(rename = "timeout-ms")]
    timeout_ms: Option<u64>,
}

pub(super) async fn wait(
    gateway: State<Gateway>,
    request: HttpRequest,
    id: Path<String>,
    query: Query<Wait>,
) -> HttpResponse {
    let wait_ms = query.timeout_ms.unwrap_or(WAIT_DEFAULT_MS).min(WAIT_MAX_MS);
    let result = status_checked(&gateway, &request, &id, wait_ms).await;
    respond(&gateway, result)
}

async fn status_checked(
    gateway: &Gateway,
    request: &HttpRequest,
    id: &str,
    wait_ms: u64,
) -> Result<Response, Refusal> {
    let (contract, id) = authorize(gateway, request, id)?;
    // A stopping gateway doesn't count these calls and responds without waiting for the job.
    // Otherwise callers that keep polling would delay the stop without end.
    let caller = gateway.count_caller_unless_stopping();
    let wait_ms = if caller.is_some() { wait_ms } else { 0 };
    let found = find_job(gateway, &contract, &id, wait_ms).await;
    Ok(match found {
        Ok(Some((_, status))) => Response::completed(200, json!(status)),
        Ok(None) => no_such_job(&id),
        Err(CallError::NotProcessed) => Response::not_run(&NotRun::NoOwner),
        Err(CallError::Unknown) => Response::unknown("the owner of the job did not answer"),
    })
}

fn no_such_job(id: &Id) -> Response {
    Response::refused(404, "no-job", &format!("no job {:?}", &*id.job))
}

fn authorize(
    gateway: &Gateway,
    request: &HttpRequest,
    id: &str,
) -> Result<(Arc<Contract>, Id), Refusal> {
    let contract = headers::authenticate(gateway, request)?;
    if !is_name(id) {
        let message = "id: must be 1 to 64 characters of a-z, 0-9 and '-'";
        return Err(Refusal::new(400, message));
    }
    let id = Id {
        contract: contract.name.clone(),
        job: id.into(),
    };
    Ok((contract, id))
}

/// Looks up a job in all pools of the contract concurrently, so that a pool without an owner
/// doesn't use up the time of the others. Only the lookup in the pool that has the job waits for
/// its end.
async fn find_job(
    gateway: &Gateway,
    contract: &Contract,
    id: &Id,
    wait_ms: u64,
) -> Result<Option<(shard::Id, Status)>, CallError> {
    let mut lookups = JoinSet::new();
    for shard in jobs::candidate_shards(&gateway.cell.partition, contract, &id.job) {
        let call = jobs::status(gateway.clone(), shard.clone(), id.clone(), wait_ms);
        let lookup = async move { call.await.map(|found| found.map(|status| (shard, status))) };
        lookups.spawn_on(lookup, &gateway.runtime);
    }
    let mut error = None;
    while let Some(lookup) = lookups.join_next().await {
        match lookup {
            Ok(Ok(Some(found))) => return Ok(Some(found)),
            Ok(Ok(None)) => {}
            Ok(Err(other)) => error = Some(other),
            Err(_) => error = Some(CallError::Unknown),
        }
    }
    error.map_or(Ok(None), Err)
}

pub(super) async fn cancel(
    gateway: State<Gateway>,
    request: HttpRequest,
    id: Path<String>,
) -> HttpResponse {
    let result = cancel_checked(&gateway, &request, &id).await;
    respond(&gateway, result)
}

async fn cancel_checked(
    gateway: &Gateway,
    request: &HttpRequest,
    id: &str,
) -> Result<Response, Refusal> {
    let (contract, id) = authorize(gateway, request, id)?;
    let Some(_caller) = gateway.count_caller_unless_stopping() else {
        return Ok(Response::not_run(&NotRun::Stopping));
    };
    let shard = match find_job(gateway, &contract, &id, 0).await {
        Ok(Some((shard, _))) => shard,
        Ok(None) => return Ok(no_such_job(&id)),
        Err(_) => return Ok(Response::not_run(&NotRun::NoOwner)),
    };
    let call = jobs::cancel(gateway.clone(), shard, id.clone());
    Ok(match gateway.runtime.spawn(call).await {
        Ok(submission) => submission_response(submission),
        Err(_) => submission_response(Submission::Unknown),
    })
}
