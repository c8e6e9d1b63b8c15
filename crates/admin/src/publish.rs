//! Changes by operators: publishing contracts and draining targets.
//!
//! A change is appended to the contracts stream and takes effect when it is read back from there.
//! The verdict is looked up by the identifier of the change, so a repeated request gets the same
//! response.

use std::sync::Arc;
use std::time::Duration;

use rosemaryworks_core::contract::{Contract, Revision, check, is_name};
use rosemaryworks_core::record::Config;
use rosemaryworks_core::register::{Audit, Verdict};
use rosemaryworks_node::clock;
use rosemaryworks_platform::Fault;
use serde::{Deserialize, Serialize};

use crate::api::Api;
use crate::body::{Answer, Error};

/// Time limit for appending a change to the log.
const APPEND_TIMEOUT: Duration = Duration::from_secs(3);

/// Time limit for reading an appended change back from the log.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(5);

/// Request body for publishing a contract.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Publish {
    /// Identifier of the change and idempotency key: a repeated request gets the same verdict.
    pub(crate) id: Arc<str>,
    /// Revision on which the change is based; 0 for a new contract.
    pub(crate) expected: Revision,
    /// The new contract.
    pub(crate) contract: Contract,
}

/// Request body for draining or undraining a target.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Drain {
    /// Identifier of the change and idempotency key: a repeated request gets the same verdict.
    pub(crate) id: Arc<str>,
}

/// Response to an accepted change.
#[derive(Debug, Serialize)]
pub(crate) struct Accepted {
    id: Arc<str>,
    change: Arc<str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    revision: Option<Revision>,
    operator: Arc<str>,
}

/// Publishes a contract and waits until it is read back from the log.
pub(crate) async fn publish(api: Api, operator: Arc<str>, body: Publish) -> Answer<Accepted> {
    let name = body.contract.name.clone();
    require_id(&body.id)?;
    let faults = check(&body.contract, &api.cell.partition);
    if !faults.is_empty() {
        return Err(Error::new(400, "the contract is not valid").faults(faults));
    }
    let change = format!("publish contract {name}");
    let record = Config::Publish {
        id: body.id.clone(),
        expected: body.expected,
        contract: Box::new(body.contract),
        operator,
        at_unix_ms: clock::unix_ms(),
    };
    submit(&api, &body.id, &change, &record).await
}

/// Drains or undrains a target and waits until the change is read back from the log.
pub(crate) async fn drain(
    api: Api,
    operator: Arc<str>,
    target: Arc<str>,
    drained: bool,
    body: Drain,
) -> Answer<Accepted> {
    require_id(&body.id)?;
    if !is_name(&target) {
        return Err(Error::new(400, format!("{target:?} is not a target name")));
    }
    let verb = if drained { "drain" } else { "undrain" };
    let change = format!("{verb} target {target}");
    let record = Config::Drain {
        id: body.id.clone(),
        target,
        drained,
        operator,
        at_unix_ms: clock::unix_ms(),
    };
    submit(&api, &body.id, &change, &record).await
}

fn require_id(id: &str) -> Answer<()> {
    match is_name(id) {
        true => Ok(()),
        false => {
            let text = "id: must be 1 to 64 characters of a-z, 0-9 and '-'";
            Err(Error::new(400, text))
        }
    }
}

/// Appends a change, waits until it is read back and returns its verdict.
async fn submit(api: &Api, id: &str, change: &str, record: &Config) -> Answer<Accepted> {
    if let Some(audit) = api.contracts.change(id) {
        return verdict_response(audit, change);
    }
    let text = serde_json::to_string(record)
        .map_err(|error| Error::new(500, format!("record can't be written: {error}")))?;
    let appended = api.contracts_appender.append(text, APPEND_TIMEOUT).await;
    let offset = appended.map_err(|report| append_error(&report.current_context().fault))?;
    if !api.contracts.wait_applied(offset, READ_BACK_TIMEOUT).await {
        let text = "the log took the change but it was not read back in time; \
            repeat it with the same id to learn the verdict";
        return Err(Error::new(504, text));
    }
    match api.contracts.change(id) {
        Some(audit) => verdict_response(audit, change),
        None => Err(Error::new(500, "the change is not in the audit trail")),
    }
}

/// Returns the error response for a failed append.
fn append_error(fault: &Fault) -> Error {
    match fault {
        Fault::Uncertain(_) => Error::new(
            504,
            "the log did not confirm the change; repeat it with the same id to learn the verdict",
        ),
        _ => Error::new(
            503,
            "the log can't be reached; the change was not made, repeat it later",
        ),
    }
}

/// Converts an audit entry into a response. A conflict is an error, and so is an identifier that an
/// earlier request used for another change.
fn verdict_response(audit: Audit, change: &str) -> Answer<Accepted> {
    if &*audit.change != change {
        let text = format!("the id was used before to {}", audit.change);
        return Err(Error::new(409, text));
    }
    let revision = match audit.verdict {
        Verdict::Accepted { revision } => Some(revision),
        Verdict::Conflict { current } => {
            let expected = audit.from.unwrap_or_default();
            let text = format!("conflict: revision {current} is in force, not {expected}");
            return Err(Error::new(409, text).current(current.0));
        }
        Verdict::Drained | Verdict::Repeated => None,
    };
    Ok(Accepted {
        id: audit.id,
        change: audit.change,
        revision,
        operator: audit.operator,
    })
}
