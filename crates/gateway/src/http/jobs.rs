//! Routes of jobs.

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
use crate::jobs::{self, ANSWER_MS, Missing};

/// Longest wait for the end of a job in milliseconds.
const WAIT_MAX_MS: u64 = 60_000;

const WAIT_DEFAULT_MS: u64 = 10_000;

/// Status, outcome and body of an answer.
struct Answer {
    status: u16,
    outcome: &'static str,
    body: Value,
}

impl Answer {
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

    fn respond(self) -> HttpResponse {
        let mut builder = reply::builder(self.status);
        builder.set_header("rosemary-outcome", self.outcome);
        reply::json_body(builder, &self.body)
    }
}

fn respond(gateway: &Gateway, answer: Result<Answer, Refusal>) -> HttpResponse {
    let response = match answer {
        Ok(answer) => answer.respond(),
        Err(refusal) => refusal.answer("not-run"),
    };
    close_if_draining(gateway, response)
}

pub(super) async fn submit(
    gateway: State<Gateway>,
    request: HttpRequest,
    mut payload: Payload,
) -> HttpResponse {
    let _caller = gateway.caller_unless_stopping();
    let answer = submit_checked(&gateway, &request, &mut payload).await;
    if answer
        .as_ref()
        .is_err_and(|refusal| refusal.status != reply::TOO_SLOW)
    {
        discard_body(&mut payload).await;
    }
    respond(&gateway, answer)
}

async fn submit_checked(
    gateway: &Gateway,
    request: &HttpRequest,
    payload: &mut Payload,
) -> Result<Answer, Refusal> {
    let contract = headers::contract(gateway, request)?;
    let deadline = clock::now() + ANSWER_MS;
    let job = parse(&body::read(gateway, request, payload, deadline).await?.bytes)?;
    if gateway.is_stopping() {
        return Ok(Answer::not_run(&NotRun::Stopping));
    }
    let shard = jobs::home(&gateway.cell.partition, &contract, &job.pool, &job.id);
    let shard = shard.ok_or_else(|| {
        Refusal::new(
            403,
            format!("pool: the contract doesn't include {:?}", job.pool),
        )
    })?;
    let contract = Contract::clone(&contract);
    let work = jobs::submit(gateway.clone(), shard, contract, job);
    let submission = gateway.runtime.spawn(work).await;
    Ok(submitted(submission.unwrap_or(Submission::Unknown)))
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

fn submitted(submission: Submission) -> Answer {
    match submission {
        Submission::Accepted(status) => Answer::completed(200, json!(status)),
        Submission::Conflict => {
            Answer::refused(409, "conflict", "the id was used for a different job")
        }
        Submission::NotOwner { .. } => Answer::not_run(&NotRun::NoOwner),
        Submission::Rejected(reason) => Answer::refused(422, "rejected", &reason),
        Submission::Unavailable(reason) => Answer::not_run(&reason),
        Submission::Unknown => Answer::unknown(
            "it isn't known whether the change was made; repeat it with the same id",
        ),
    }
}

pub(super) async fn status(
    gateway: State<Gateway>,
    request: HttpRequest,
    id: Path<String>,
) -> HttpResponse {
    let answer = status_checked(&gateway, &request, &id, 0).await;
    respond(&gateway, answer)
}

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
    let answer = status_checked(&gateway, &request, &id, wait_ms).await;
    respond(&gateway, answer)
}

async fn status_checked(
    gateway: &Gateway,
    request: &HttpRequest,
    id: &str,
    wait_ms: u64,
) -> Result<Answer, Refusal> {
    let (contract, id) = identify(gateway, request, id)?;
    // A stopping gateway answers at once and doesn't wait for these calls: they could go on for ever.
    let caller = gateway.caller_unless_stopping();
    let wait_ms = if caller.is_some() { wait_ms } else { 0 };
    let found = find(gateway, &contract, &id, wait_ms).await;
    Ok(match found {
        Ok(Some((_, status))) => Answer::completed(200, json!(status)),
        Ok(None) => no_job(&id),
        Err(Missing::NotSent) => Answer::not_run(&NotRun::NoOwner),
        Err(Missing::Unknown) => Answer::unknown("the owner of the job did not answer"),
    })
}

fn no_job(id: &Id) -> Answer {
    Answer::refused(404, "no-job", &format!("no job {:?}", &*id.job))
}

fn identify(
    gateway: &Gateway,
    request: &HttpRequest,
    id: &str,
) -> Result<(Arc<Contract>, Id), Refusal> {
    let contract = headers::contract(gateway, request)?;
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

/// Finds a job in the pools of the contract, which are asked at the same time: a pool without an
/// owner must not use up the time of the others. Waits for the job's end only where it is.
async fn find(
    gateway: &Gateway,
    contract: &Contract,
    id: &Id,
    wait_ms: u64,
) -> Result<Option<(shard::Id, Status)>, Missing> {
    let mut searches = JoinSet::new();
    for shard in jobs::homes(&gateway.cell.partition, contract, &id.job) {
        let work = jobs::status(gateway.clone(), shard.clone(), id.clone(), wait_ms);
        let search = async move { work.await.map(|found| found.map(|status| (shard, status))) };
        searches.spawn_on(search, &gateway.runtime);
    }
    let mut missing = None;
    while let Some(search) = searches.join_next().await {
        match search {
            Ok(Ok(Some(found))) => return Ok(Some(found)),
            Ok(Ok(None)) => {}
            Ok(Err(other)) => missing = Some(other),
            Err(_) => missing = Some(Missing::Unknown),
        }
    }
    missing.map_or(Ok(None), Err)
}

pub(super) async fn cancel(
    gateway: State<Gateway>,
    request: HttpRequest,
    id: Path<String>,
) -> HttpResponse {
    let answer = cancel_checked(&gateway, &request, &id).await;
    respond(&gateway, answer)
}

async fn cancel_checked(
    gateway: &Gateway,
    request: &HttpRequest,
    id: &str,
) -> Result<Answer, Refusal> {
    let (contract, id) = identify(gateway, request, id)?;
    let Some(_caller) = gateway.caller_unless_stopping() else {
        return Ok(Answer::not_run(&NotRun::Stopping));
    };
    let shard = match find(gateway, &contract, &id, 0).await {
        Ok(Some((shard, _))) => shard,
        Ok(None) => return Ok(no_job(&id)),
        Err(_) => return Ok(Answer::not_run(&NotRun::NoOwner)),
    };
    let work = jobs::cancel(gateway.clone(), shard, id.clone());
    Ok(match gateway.runtime.spawn(work).await {
        Ok(submission) => submitted(submission),
        Err(_) => submitted(Submission::Unknown),
    })
}
