//! Audit trail: accepted changes from the contracts stream, rejected changes from the audit stream.

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

/// Largest number of records read from the log in one call.
const PAGE_MAX_RECORDS: u32 = 1_000;

/// Time limit for appending a refusal to the audit stream.
const REFUSAL_APPEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Refill rate of the token bucket for refusals.
const REFUSALS_PER_SECOND: u64 = 10;

/// Capacity of the token bucket for refusals.
const REFUSALS_BURST: u64 = 100;

/// Longest change or reason recorded in a refusal, in characters.
const REFUSAL_TEXT_MAX_CHARS: usize = 500;

type ReadError = Report<Failure>;

/// Recent entries of the audit trail.
#[derive(Debug, Serialize)]
pub(crate) struct Trail {
    changes: Vec<Audit>,
    refusals: Vec<Refusal>,
    /// Error that kept the list of refusals empty or incomplete.
    #[serde(skip_serializing_if = "Option::is_none")]
    refusals_failed: Option<String>,
}

/// Writes refusals to the audit stream. A token bucket limits the rate, because requests without a
/// valid key also cause refusals.
#[derive(Clone, Debug)]
pub struct Refusals {
    appender: Appender,
    bucket: Arc<Mutex<Bucket>>,
}

/// A token bucket.
#[derive(Debug)]
struct Bucket {
    tokens: u64,
    refilled_at: Instant,
}

impl Refusals {
    /// Creates a writer over an appender to the audit stream.
    #[must_use]
    pub fn new(appender: Appender) -> Self {
        let bucket = Bucket {
            tokens: REFUSALS_BURST,
            refilled_at: clock::now(),
        };
        Self {
            appender,
            bucket: Arc::new(Mutex::new(bucket)),
        }
    }

    /// Takes a token from the bucket. Returns whether one was left.
    fn try_acquire(&self) -> bool {
        let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
        let seconds = clock::now().since(bucket.refilled_at) / 1_000;
        if seconds > 0 {
            bucket.tokens = (bucket.tokens + seconds * REFUSALS_PER_SECOND).min(REFUSALS_BURST);
            bucket.refilled_at = bucket.refilled_at + seconds * 1_000;
        }
        let acquired = bucket.tokens > 0;
        bucket.tokens = bucket.tokens.saturating_sub(1);
        acquired
    }
}

/// Appends a refusal to the audit stream in the background. Drops it if the rate limit is exceeded.
pub(crate) fn record_refusal(api: &Api, operator: Option<Arc<str>>, change: &str, reason: &str) {
    if !api.refusals.try_acquire() {
        return;
    }
    let name = operator.as_deref().unwrap_or("unknown");
    events::REFUSED.log(format_args!(
        "operator={name} change={change:?} reason={reason:?}"
    ));
    let refusal = Refusal {
        operator,
        change: truncate(change),
        reason: truncate(reason),
        at_unix_ms: clock::unix_ms(),
    };
    let appender = api.refusals.appender.clone();
    api.runtime.spawn(async move {
        let Ok(text) = serde_json::to_string(&refusal) else {
            return;
        };
        if let Err(report) = appender.append(text, REFUSAL_APPEND_TIMEOUT).await {
            events::AUDIT_LOST.log(format_args!("error={}", report.current_context()));
        }
    });
}

fn truncate(text: &str) -> Arc<str> {
    text.chars()
        .take(REFUSAL_TEXT_MAX_CHARS)
        .collect::<String>()
        .into()
}

/// Returns the last `limit` changes and the last `limit` refusals.
pub(crate) async fn trail(api: Api, limit: usize) -> Trail {
    let changes = api.contracts.audit(limit);
    let mut refusals = Vec::new();
    let failed = read_refusals(&*api.log, limit, &mut refusals).await.err();
    Trail {
        changes,
        refusals,
        refusals_failed: failed.map(|report| report.current_context().to_string()),
    }
}

/// Reads the last `limit` refusals. Those read before a failure stay in `refusals`.
async fn read_refusals(
    log: &dyn Log,
    limit: usize,
    refusals: &mut Vec<Refusal>,
) -> Result<(), ReadError> {
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

/// Returns the first retained offset of the audit stream and the offset of the next append.
async fn bounds(log: &dyn Log) -> Result<(Offset, Offset), ReadError> {
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
