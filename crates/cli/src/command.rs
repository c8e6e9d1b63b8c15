//! What each command asks the server, and how it shows the answer.

use std::path::Path;

use rosemaryworks_node::clock;
use serde_json::{Value, json};

use crate::arguments::{Command, Publish};
use crate::call::{Failure, Request};
use crate::table::Table;

/// Returns the call of a command.
pub(crate) fn request(command: &Command) -> Result<Request, Failure> {
    Ok(match command {
        Command::Audit(audit) => Request::get(format!("/v1/audit?limit={}", audit.limit)),
        Command::Cell(_) => Request::get("/v1/cell"),
        Command::Contracts(_) => Request::get("/v1/contracts"),
        Command::Diff(diff) => {
            let name = name(&diff.name)?;
            let (from, to) = (diff.from, diff.to);
            Request::get(format!("/v1/contracts/{name}/diff?from={from}&to={to}"))
        }
        Command::Drain(drain) => change(&drain.target, "drain", &drain.id)?,
        Command::Jobs(_) => Request::get("/v1/jobs"),
        Command::Publish(publish) => publication(publish)?,
        Command::Rollout(_) => Request::get("/v1/rollout"),
        Command::Show(show) => {
            let mut path = format!("/v1/contracts/{}?keys={}", name(&show.name)?, show.keys);
            if let Some(revision) = show.revision {
                path.push_str(&format!("&revision={revision}"));
            }
            Request::get(path)
        }
        Command::Targets(_) => Request::get("/v1/targets"),
        Command::Tasks(tasks) => {
            let (contract, job) = (name(&tasks.contract)?, name(&tasks.job)?);
            Request::get(format!("/v1/jobs/{contract}/{job}/tasks"))
        }
        Command::Undrain(undrain) => change(&undrain.target, "undrain", &undrain.id)?,
    })
}

/// Names are checked here because they become part of a path.
fn name(name: &str) -> Result<&str, Failure> {
    match rosemaryworks_core::contract::is_name(name) {
        true => Ok(name),
        false => {
            let text = format!("{name:?} is not 1 to 64 characters of a-z, 0-9 and '-'");
            Err(Failure::usage(text))
        }
    }
}

fn change_id(given: &Option<String>) -> String {
    let new = || format!("ctl-{}", clock::incarnation());
    given.clone().unwrap_or_else(new)
}

fn change(target: &str, verb: &str, id: &Option<String>) -> Result<Request, Failure> {
    Ok(Request {
        method: "POST",
        path: format!("/v1/targets/{}/{verb}", name(target)?),
        body: Some(json!({ "id": change_id(id) })),
    })
}

fn publication(publish: &Publish) -> Result<Request, Failure> {
    let contract = read(&publish.file)?;
    let named = contract["name"].as_str().unwrap_or_default();
    Ok(Request {
        method: "PUT",
        path: format!("/v1/contracts/{}", name(named)?),
        body: Some(json!({
            "id": change_id(&publish.id),
            "expected": publish.expected,
            "contract": contract,
        })),
    })
}

fn read(file: &Path) -> Result<Value, Failure> {
    let fault = |error: String| Failure::usage(format!("{}: {error}", file.display()));
    let text = std::fs::read_to_string(file).map_err(|error| fault(error.to_string()))?;
    serde_json::from_str(&text).map_err(|error| fault(error.to_string()))
}

/// Returns the answer of a command for people.
pub(crate) fn text(command: &Command, answer: &Value) -> String {
    match command {
        Command::Audit(_) => audit(answer),
        Command::Cell(_) => cell(answer),
        Command::Contracts(_) => {
            Table::new(&["name", "revision", "weight", "operator", "at_unix_ms"]).text(answer)
        }
        Command::Diff(_) => Table::new(&["path", "from", "to"]).text(answer),
        Command::Drain(_) | Command::Undrain(_) | Command::Publish(_) => changed(answer),
        Command::Jobs(_) => partial(
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
            answer,
        ),
        Command::Rollout(_) => rollout(answer),
        Command::Show(_) => format!("{answer:#}\n"),
        Command::Targets(_) => partial(
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
            answer,
        ),
        Command::Tasks(_) => Table::new(&["index", "state", "worker", "attempts"]).text(answer),
    }
}

fn changed(answer: &Value) -> String {
    let field = |name: &str| answer[name].as_str().unwrap_or_default().to_owned();
    match answer["revision"].as_u64() {
        Some(revision) => format!("{}: revision {revision} is in force\n", field("change")),
        None => format!("{}: in force\n", field("change")),
    }
}

fn cell(answer: &Value) -> String {
    let schedulers = Table::new(&["name", "zone", "reachable"]).text(&answer["schedulers"]);
    let shards = Table::new(&["shard", "owner", "epoch"]).text(&answer["shards"]);
    let drained = names(&answer["drained"]);
    let drained = match drained.is_empty() {
        true => String::new(),
        false => format!("\ndrained: {drained}\n"),
    };
    format!("{schedulers}\n{shards}{drained}")
}

fn rollout(answer: &Value) -> String {
    let table = Table::new(&["name", "newest", "behind"]);
    let mut items = answer["contracts"].clone();
    for item in items.as_array_mut().into_iter().flatten() {
        item["behind"] = json!(names(&item["behind"]));
    }
    partial(
        &table,
        &json!({ "items": items, "unreached": answer["unreached"] }),
    )
}

/// Returns a list of names as one text.
fn names(list: &Value) -> String {
    let names = list.as_array().into_iter().flatten();
    names
        .filter_map(Value::as_str)
        .collect::<Vec<&str>>()
        .join(", ")
}

fn audit(answer: &Value) -> String {
    let fields = [
        "offset",
        "operator",
        "change",
        "from",
        "verdict",
        "at_unix_ms",
        "id",
    ];
    let changes = Table::new(&fields).text(&answer["changes"]);
    let fields = ["operator", "change", "reason", "at_unix_ms"];
    let refusals = Table::new(&fields).text(&answer["refusals"]);
    let failed = match answer["refusals_failed"].as_str() {
        Some(error) => format!("the refusals are incomplete: {error}\n"),
        None => String::new(),
    };
    format!("{changes}\nrefused before they reached the stream:\n{refusals}{failed}")
}

fn partial(table: &Table, answer: &Value) -> String {
    let text = table.text(&answer["items"]);
    let unreached = names(&answer["unreached"]);
    match unreached.is_empty() {
        true => text,
        false => format!("{text}incomplete: no answer from {unreached}\n"),
    }
}
