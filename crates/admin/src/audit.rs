//! Audit trail: changes in the contracts stream and refusals in the audit stream.

use std::sync::Arc;
use std::time::Duration;

use rosemaryworks_core::record::{Offset, Refusal};
use rosemaryworks_core::register::Audit;
use rosemaryworks_node::clock;
use rosemaryworks_platform::log::AUDIT;
use rosemaryworks_platform::{Fault, Log};
use serde::Serialize;

use crate::api::Api;
use crate::events;

const PAGE_MAX_RECORDS: u32 = 1_000;
const REFUSAL_PATIENCE: Duration = Duration::from_secs(5);

/// Longest text of a refusal in characters.
const REASON_MAX_CHARS: usize = 500;

/// The audit trail.
#[derive(Debug, Serialize)]
pub(crate) struct Trail {
    changes: Vec<Audit>,
    refusals: Vec<Refusal>,
    /// Why the refusals are missing or incomplete.
    #[serde(skip_serializing_if = "Option::is_none")]
    refusals_failed: Option<String>,
}

/// Writes a refusal to the audit stream without waiting for it.
pub(crate) fn refuse(api: &Api, operator: Option<Arc<str>>, change: &str, reason: &str) {
    let name = operator.as_deref().unwrap_or("unknown");
    events::REFUSED.log(format_args!(
        "operator={name} change={change:?} reason={reason:?}"
    ));
    let refusal = Refusal {
        operator,
        change: clip(change),
        reason: clip(reason),
        at_unix_ms: clock::unix_ms(),
    };
    let appender = api.refusals.clone();
    api.runtime.spawn(async move {
        let Ok(text) = serde_json::to_string(&refusal) else {
            return;
        };
        if let Err(report) = appender.append(text, REFUSAL_PATIENCE).await {
            events::AUDIT_LOST.log(format_args!("error={}", report.current_context()));
        }
    });
}

fn clip(text: &str) -> Arc<str> {
    text.chars()
        .take(REASON_MAX_CHARS)
        .collect::<String>()
        .into()
}

/// Returns the last `limit` changes and refusals.
pub(crate) async fn trail(api: Api, limit: usize) -> Trail {
    let changes = api.contracts.audit(limit);
    let (mut refusals, refusals_failed) = refusals(&*api.log).await;
    let excess = refusals.len().saturating_sub(limit);
    refusals.drain(..excess);
    Trail {
        changes,
        refusals,
        refusals_failed,
    }
}

async fn refusals(log: &dyn Log) -> (Vec<Refusal>, Option<String>) {
    let mut refusals = Vec::new();
    let mut from: Offset = 1;
    loop {
        match log.read(AUDIT, from, PAGE_MAX_RECORDS, 0).await {
            Ok(page) => {
                let parsed = page
                    .entries
                    .iter()
                    .filter_map(|entry| serde_json::from_str(&entry.record).ok());
                refusals.extend(parsed);
                let Some(last) = page.entries.last() else {
                    return (refusals, None);
                };
                from = last.offset + 1;
                if from >= page.next {
                    return (refusals, None);
                }
            }
            Err(report) => match report.current_context().fault {
                Fault::Expired { first } if first > from => from = first,
                _ => return (refusals, Some(report.current_context().to_string())),
            },
        }
    }
}
