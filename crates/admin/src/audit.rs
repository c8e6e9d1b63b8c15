//! Audit trail: changes in the contracts stream and refusals in the audit stream.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use error_stack::Report;
use rosemaryworks_core::record::{Offset, Refusal};
use rosemaryworks_core::register::Audit;
use rosemaryworks_core::time::Instant;
use rosemaryworks_node::clock;
use rosemaryworks_platform::appender::Appender;
use rosemaryworks_platform::log::AUDIT;
use rosemaryworks_platform::{Failure, Fault, Log};
use serde::Serialize;

use crate::api::Api;
use crate::events;

const PAGE_MAX_RECORDS: u32 = 1_000;
const REFUSAL_PATIENCE: Duration = Duration::from_secs(5);

/// Refusals recorded per second on average.
const REFUSALS_PER_SECOND: u64 = 10;

/// Refusals recorded at once after a quiet period.
const REFUSALS_BURST: u64 = 100;

/// Longest text of a refusal in characters.
const REASON_MAX_CHARS: usize = 500;

type Failed = Report<Failure>;

/// The audit trail.
#[derive(Debug, Serialize)]
pub(crate) struct Trail {
    changes: Vec<Audit>,
    refusals: Vec<Refusal>,
    /// Why the refusals are missing or incomplete.
    #[serde(skip_serializing_if = "Option::is_none")]
    refusals_failed: Option<String>,
}

/// Writes refusals to the audit stream, at a bounded rate: callers without a key can cause them.
#[derive(Clone, Debug)]
pub struct Refusals {
    appender: Appender,
    bucket: Arc<Mutex<Bucket>>,
}

#[derive(Debug)]
struct Bucket {
    left: u64,
    filled: Instant,
}

impl Refusals {
    /// Creates a writer over an appender to the audit stream.
    #[must_use]
    pub fn new(appender: Appender) -> Self {
        let bucket = Bucket {
            left: REFUSALS_BURST,
            filled: clock::now(),
        };
        Self {
            appender,
            bucket: Arc::new(Mutex::new(bucket)),
        }
    }

    /// Takes a refusal from the bucket. Returns whether there was one.
    fn admit(&self) -> bool {
        let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
        let seconds = clock::now().since(bucket.filled) / 1_000;
        if seconds > 0 {
            bucket.left = (bucket.left + seconds * REFUSALS_PER_SECOND).min(REFUSALS_BURST);
            bucket.filled = bucket.filled + seconds * 1_000;
        }
        let admitted = bucket.left > 0;
        bucket.left = bucket.left.saturating_sub(1);
        admitted
    }
}

/// Writes a refusal to the audit stream without waiting for it.
pub(crate) fn refuse(api: &Api, operator: Option<Arc<str>>, change: &str, reason: &str) {
    if !api.refusals.admit() {
        return;
    }
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
    let appender = api.refusals.appender.clone();
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
    let mut refusals = Vec::new();
    let failed = read(&*api.log, limit, &mut refusals).await.err();
    Trail {
        changes,
        refusals,
        refusals_failed: failed.map(|report| report.current_context().to_string()),
    }
}

/// Reads the last `limit` refusals.
async fn read(log: &dyn Log, limit: usize, refusals: &mut Vec<Refusal>) -> Result<(), Failed> {
    let (first, next) = bounds(log).await?;
    let mut from = next.saturating_sub(limit as Offset).max(first);
    while from < next {
        let page = log.read(AUDIT, from, PAGE_MAX_RECORDS, 0).await?;
        let Some(last) = page.entries.last() else {
            return Ok(());
        };
        from = last.offset + 1;
        let parsed = page.entries.iter();
        refusals.extend(parsed.filter_map(|entry| serde_json::from_str(&entry.record).ok()));
    }
    Ok(())
}

/// Returns the first offset that the audit stream still keeps, and the next one to be written.
async fn bounds(log: &dyn Log) -> Result<(Offset, Offset), Failed> {
    let mut first: Offset = 1;
    loop {
        match log.read(AUDIT, first, 1, 0).await {
            Ok(page) => return Ok((first, page.next)),
            Err(report) => match report.current_context().fault {
                Fault::Expired { first: kept } if kept > first => first = kept,
                _ => return Err(report),
            },
        }
    }
}
