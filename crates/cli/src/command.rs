//! Request of each command and formatting of its response.

use std::path::Path;

use rosemaryworks_node::clock;
use serde_json::{Value, json};

use crate::arguments::{Command, Publish};
use crate::call::{Failure, Request};
use crate::table::Table;

/// Returns the request of a command.
pub(crate) fn request(command: &Command) -> Result<Request, Failure> {
    Ok(match command {
        Command::Audit(audit) => Request::get(format!("/v1/audit?limit={}", audit.limit)),
        Command::Cell(_) => Request::get("/v1/cell"),
        Command::Contracts(_) => Request::get("/v1/contracts"),
        Command::Diff(diff) => {
            let name = checked_name(&diff.name)?;
            let (from, to) = (diff.from, diff.to);
            Request::get(format!("/v1/contracts/{name}/diff?from={from}&to={to}"))
        }
        Command::Drain(drain) => drain_request(&drain.target, "drain", &drain.id)?,
        Command::Jobs(_) => Request::get("/v1/jobs"),
        Command::Publish(publish) => publish_request(publish)?,
        Command::Rollout(_) => Request::get("/v1/rollout"),
        Command::Show(show) => {
            let mut path = format!(
                "/v1/contracts/{}?keys={}",
                checked_name(&show.name)?,
                show.keys
            );
            if let Some(revision) = show.revision {
                path.push_str(&format!("&revision={revision}"));
            }
            Request::get(path)
        }
        Command::Targets(_) => Request::get("/v1/targets"),
        Command::Tasks(tasks) => {
            let (contract, job) = (checked_name(&tasks.contract)?, checked_name(&tasks.job)?);
            Request::get(format!("/v1/jobs/{contract}/{job}/tasks"))
        }
        Command::Undrain(undrain) => drain_request(&undrain.target, "undrain", &undrain.id)?,
    })
}

/// Checks a name before it becomes part of a path.
fn checked_name(name: &str) -> Result<&str, Failure> {
    match rosemaryworks_core::contract::is_name(name) {
        true => Ok(name),
        false => {
            let text = format!("{name:?} is not 1 to 64 characters of a-z, 0-9 and '-'");
            Err(Failure::usage(text))
        }
    }
}

/// Returns the given identifier of a change, or a new one made from the time in microseconds.
fn change_id(given: &Option<String>) -> String {
    let new = || format!("ctl-{}", clock::incarnation());
    given.clone().unwrap_or_else(new)
}

fn drain_request(target: &str, verb: &str, id: &Option<String>) -> Result<Request, Failure> {
    Ok(Request {
        method: "POST",
        path: format!("/v1/targets/{}/{verb}", checked_name(target)?),
        body: Some(json!({ "id": change_id(id) })),
    })
}

fn publish_request(publish: &Publish) -> Result<Request, Failure> {
    let contract = read_json(&publish.file)?;
    let name = contract["name"].as_str().unwrap_or_default();
    Ok(Request {
        method: "PUT",
        path: format!("/v1/contracts/{}", checked_name(name)?),
        body: Some(json!({
            "id": change_id(&publish.id),
            "expected": publish.expected,
            "contract": contract,
        })),
    })
}

fn read_json(file: &Path) -> Result<Value, Failure> {
    let fault = |error: String| Failure::usage(format!("{}: {error}", file.display()));
    let text = std::fs::read_to_string(file).map_err(|error| fault(error.to_string()))?;
    serde_json::from_str(&text).map_err(|error| fault(error.to_string()))
}

/// Formats the response to a command as text.
pub(crate) fn format(command: &Command, response: &Value) -> String {
    match command {
        Command::Audit(_) => format_audit(response),
        Command::Cell(_) => format_cell(response),
        Command::Contracts(_) => {
            Table::new(&["name", "revision", "weight", "operator", "at_unix_ms"]).format(response)
        }
        Command::Diff(_) => Table::new(&["path", "from", "to"]).format(response),
        Command::Drain(_) | Command::Undrain(_) | Command::Publish(_) => format_change(response),
        Command::Jobs(_) => format_partial(
            &Table::new(&[
                "id.contract",
                "id.job",
                "kind",
                "state",
                "tasks",
                "running",
                "succeeded",
                "unsuccessful",
                "reason",
            ]),
            response,
        ),
        Command::Rollout(_) => format_rollout(response),
        Command::Show(_) => format!("{response:#}\n"),
        Command::Targets(_) => format_partial(
            &Table::new(&[
                "name",
                "shard",
                "state",
                "drained",
                "slots",
                "taken",
                "size",
                "held",
                "condition",
            ]),
            response,
        ),
        Command::Tasks(_) => Table::new(&["index", "state", "worker", "attempts"]).format(response),
    }
}

fn format_change(response: &Value) -> String {
    let field = |name: &str| response[name].as_str().unwrap_or_default().to_owned();
    match response["revision"].as_u64() {
        Some(revision) => format!("{}: revision {revision} is in force\n", field("change")),
        None => format!("{}: in force\n", field("change")),
    }
}

fn format_cell(response: &Value) -> String {
    let schedulers = Table::new(&["name", "zone", "reachable"]).format(&response["schedulers"]);
    let shards = Table::new(&["shard", "owner", "epoch"]).format(&response["shards"]);
    let drained = join_names(&response["drained"]);
    let drained = match drained.is_empty() {
        true => String::new(),
        false => format!("\ndrained: {drained}\n"),
    };
    format!("{schedulers}\n{shards}{drained}")
}

fn format_rollout(response: &Value) -> String {
    let table = Table::new(&["name", "newest", "behind"]);
    let mut items = response["contracts"].clone();
    for item in items.as_array_mut().into_iter().flatten() {
        item["behind"] = json!(join_names(&item["behind"]));
    }
    format_partial(
        &table,
        &json!({ "items": items, "unreached": response["unreached"] }),
    )
}

/// Joins a list of names.
fn join_names(list: &Value) -> String {
    let names = list.as_array().into_iter().flatten();
    names
        .filter_map(Value::as_str)
        .collect::<Vec<&str>>()
        .join(", ")
}

fn format_audit(response: &Value) -> String {
    let fields = [
        "offset",
        "operator",
        "change",
        "from",
        "verdict",
        "at_unix_ms",
        "id",
    ];
    let changes = Table::new(&fields).format(&response["changes"]);
    let fields = ["operator", "change", "reason", "at_unix_ms"];
    let refusals = Table::new(&fields).format(&response["refusals"]);
    let failed = match response["refusals_failed"].as_str() {
        Some(error) => format!("the refusals are incomplete: {error}\n"),
        None => String::new(),
    };
    format!("{changes}\nrefused before they reached the stream:\n{refusals}{failed}")
}

/// Formats a list, followed by the names of the schedulers that did not respond.
fn format_partial(table: &Table, response: &Value) -> String {
    let text = table.format(&response["items"]);
    let unreached = join_names(&response["unreached"]);
    match unreached.is_empty() {
        true => text,
        false => format!("{text}incomplete: no answer from {unreached}\n"),
    }
}
