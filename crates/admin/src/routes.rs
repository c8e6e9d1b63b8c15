//! HTTP routes of the administration API.

use std::future::Future;
use std::sync::Arc;

use ntex::web::types::{Path, Payload, Query, State};
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};
use rosemaryworks_core::contract::{Revision, is_name};
use rosemaryworks_core::job;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::api::Api;
use crate::audit;
use crate::body::{self, Answer, Error, respond};
use crate::cell;
use crate::diff;
use crate::publish::{self, Accepted, Drain, Publish};
use crate::rollout;

/// Entries of each kind returned if the query sets no limit.
const AUDIT_DEFAULT_LIMIT: usize = 100;

/// Registers the routes. The application's state must hold an [`Api`].
pub fn routes(config: &mut ServiceConfig) {
    config.service((
        web::resource("/v1/contracts").route(web::get().to(list)),
        web::resource("/v1/contracts/{name}")
            .route(web::get().to(show))
            .route(web::put().to(put)),
        web::resource("/v1/contracts/{name}/diff").route(web::get().to(compare)),
        web::resource("/v1/cell").route(web::get().to(show_cell)),
        web::resource("/v1/rollout").route(web::get().to(show_rollout)),
        web::resource("/v1/targets").route(web::get().to(targets)),
        web::resource("/v1/targets/{name}/{verb}").route(web::post().to(drain)),
        web::resource("/v1/jobs").route(web::get().to(jobs)),
        web::resource("/v1/jobs/{contract}/{job}/tasks").route(web::get().to(tasks)),
        web::resource("/v1/audit").route(web::get().to(trail)),
    ));
}

/// Returns the operator who sent the request. Records a refusal in the audit trail if `change`
/// isn't empty.
fn authenticate(api: &Api, request: &HttpRequest, change: &str) -> Answer<Arc<str>> {
    let header = request.headers().get("authorization");
    let operator = api.operator(header.and_then(|value| value.to_str().ok()));
    let operator = operator.ok_or_else(|| {
        let reason = "no operator has this key";
        if !change.is_empty() {
            audit::record_refusal(api, None, change, reason);
        }
        Error::new(401, reason)
    })?;
    // Until the contracts are loaded, a response could contain older revisions than those in force.
    match api.contracts.progress().known {
        true => Ok(operator),
        false => Err(Error::new(503, "the contracts are not known yet")),
    }
}

/// Responds with an error to a request whose body was not read.
async fn reject(error: Error, payload: &mut Payload) -> HttpResponse {
    body::discard_body(payload).await;
    respond::<()>(Err(error))
}

/// Runs `work` as a task on the runtime for calls to the log and to schedulers. It runs to
/// completion even if the caller disconnects, and doesn't occupy the thread of the handler.
async fn run_detached<T: Send + 'static>(
    api: &Api,
    work: impl Future<Output = T> + Send + 'static,
) -> Answer<T> {
    let task = api.runtime.spawn(work);
    task.await
        .map_err(|error| Error::new(500, error.to_string()))
}

async fn put(
    api: State<Api>,
    request: HttpRequest,
    name: Path<String>,
    mut payload: Payload,
) -> HttpResponse {
    let change = format!("publish contract {}", name.as_str());
    let operator = match authenticate(&api, &request, &change) {
        Ok(operator) => operator,
        Err(error) => return reject(error, &mut payload).await,
    };
    let answer = publish_named(&api, &operator, &name, &mut payload).await;
    audit_refusal(&api, operator, &change, &answer);
    respond(answer)
}

async fn publish_named(
    api: &Api,
    operator: &Arc<str>,
    name: &str,
    payload: &mut Payload,
) -> Answer<Accepted> {
    let body: Publish = body::parse(&body::read(payload).await?)?;
    if &*body.contract.name != name {
        let text = format!("contract.name: is not {name:?} as in the path");
        return Err(Error::new(400, text));
    }
    let work = publish::publish(api.clone(), operator.clone(), body);
    run_detached(api, work).await?
}

/// Records a rejected change in the audit trail. Conflicts are not recorded: the contracts stream
/// already contains them.
fn audit_refusal<T>(api: &Api, operator: Arc<str>, change: &str, answer: &Answer<T>) {
    if let Err(error) = answer
        && matches!(error.status, 400 | 404 | 413)
    {
        audit::record_refusal(api, Some(operator), change, &error.summary());
    }
}

async fn drain(
    api: State<Api>,
    request: HttpRequest,
    path: Path<(String, String)>,
    mut payload: Payload,
) -> HttpResponse {
    let (target, verb) = path.into_inner();
    let change = format!("{verb} target {target}");
    let operator = match authenticate(&api, &request, &change) {
        Ok(operator) => operator,
        Err(error) => return reject(error, &mut payload).await,
    };
    let answer = drain_named(&api, &operator, &target, &verb, &mut payload).await;
    audit_refusal(&api, operator, &change, &answer);
    respond(answer)
}

async fn drain_named(
    api: &Api,
    operator: &Arc<str>,
    target: &str,
    verb: &str,
    payload: &mut Payload,
) -> Answer<Accepted> {
    let drained = match verb {
        "drain" => true,
        "undrain" => false,
        _ => return Err(Error::new(404, "use drain or undrain")),
    };
    let body: Drain = body::parse(&body::read(payload).await?)?;
    let work = publish::drain(api.clone(), operator.clone(), target.into(), drained, body);
    run_detached(api, work).await?
}

async fn list(api: State<Api>, request: HttpRequest) -> HttpResponse {
    respond(authenticate(&api, &request, "").map(|_| {
        let entries = api.contracts.entries().into_iter().map(|entry| {
            json!({
                "name": entry.contract.name,
                "revision": entry.revision,
                "weight": entry.contract.weight,
                "operator": entry.operator,
                "at_unix_ms": entry.at_unix_ms,
            })
        });
        entries.collect::<Vec<Value>>()
    }))
}

#[derive(Deserialize)]
struct Show {
    #[serde(default)]
    keys: bool,
    revision: Option<u64>,
}

async fn show(
    api: State<Api>,
    request: HttpRequest,
    name: Path<String>,
    query: Query<Show>,
) -> HttpResponse {
    respond(authenticate(&api, &request, "").and_then(|_| show_named(&api, &name, &query)))
}

fn show_named(api: &Api, name: &str, query: &Show) -> Answer<Value> {
    let entry = match query.revision {
        Some(revision) => api.contracts.revision(name, Revision(revision)),
        None => api.contracts.entry(name),
    };
    let entry = entry.ok_or_else(|| Error::new(404, format!("no contract {name:?}")))?;
    let contract = match query.keys {
        true => serde_json::to_value(&entry.contract).unwrap_or_default(),
        false => diff::masked(&entry.contract),
    };
    Ok(json!({
        "revision": entry.revision,
        "operator": entry.operator,
        "at_unix_ms": entry.at_unix_ms,
        "revisions": api.contracts.revisions(name),
        "contract": contract,
    }))
}

#[derive(Deserialize)]
struct Compare {
    from: u64,
    to: u64,
}

async fn compare(
    api: State<Api>,
    request: HttpRequest,
    name: Path<String>,
    query: Query<Compare>,
) -> HttpResponse {
    respond(authenticate(&api, &request, "").and_then(|_| compare_named(&api, &name, &query)))
}

fn compare_named(api: &Api, name: &str, query: &Compare) -> Answer<Vec<diff::Change>> {
    let revision = |number| {
        let missing = || Error::new(404, format!("revision {number} of {name:?} is not kept"));
        api.contracts
            .revision(name, Revision(number))
            .ok_or_else(missing)
    };
    let (from, to) = (revision(query.from)?, revision(query.to)?);
    Ok(diff::diff(&from.contract, &to.contract))
}

async fn show_cell(api: State<Api>, request: HttpRequest) -> HttpResponse {
    match authenticate(&api, &request, "") {
        Ok(_) => respond(run_detached(&api, cell::cell((*api).clone())).await),
        Err(error) => respond::<()>(Err(error)),
    }
}

async fn show_rollout(api: State<Api>, request: HttpRequest) -> HttpResponse {
    match authenticate(&api, &request, "") {
        Ok(_) => respond(run_detached(&api, rollout::rollout((*api).clone())).await),
        Err(error) => respond::<()>(Err(error)),
    }
}

async fn targets(api: State<Api>, request: HttpRequest) -> HttpResponse {
    match authenticate(&api, &request, "") {
        Ok(_) => respond(run_detached(&api, cell::targets((*api).clone())).await),
        Err(error) => respond::<()>(Err(error)),
    }
}

async fn jobs(api: State<Api>, request: HttpRequest) -> HttpResponse {
    match authenticate(&api, &request, "") {
        Ok(_) => respond(run_detached(&api, cell::jobs((*api).clone())).await),
        Err(error) => respond::<()>(Err(error)),
    }
}

async fn tasks(
    api: State<Api>,
    request: HttpRequest,
    path: Path<(String, String)>,
) -> HttpResponse {
    if let Err(error) = authenticate(&api, &request, "") {
        return respond::<()>(Err(error));
    }
    let (contract, job) = path.into_inner();
    if !is_name(&contract) || !is_name(&job) {
        return respond::<()>(Err(Error::new(404, "no such job")));
    }
    let job = job::Id {
        contract: contract.into(),
        job: job.into(),
    };
    let tasks = run_detached(&api, cell::tasks((*api).clone(), job)).await;
    respond(tasks.and_then(|tasks| tasks))
}

#[derive(Deserialize)]
struct Trail {
    limit: Option<usize>,
}

async fn trail(api: State<Api>, request: HttpRequest, query: Query<Trail>) -> HttpResponse {
    match authenticate(&api, &request, "") {
        Ok(_) => {
            let limit = query.limit.unwrap_or(AUDIT_DEFAULT_LIMIT);
            respond(run_detached(&api, audit::trail((*api).clone(), limit)).await)
        }
        Err(error) => respond::<()>(Err(error)),
    }
}
