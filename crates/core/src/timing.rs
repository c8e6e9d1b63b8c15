//! Periods and time limits that several processes must agree on.

/// Period of the schedulers' heartbeats in milliseconds.
pub const HEARTBEAT_PERIOD_MS: u64 = 500;

/// Time without a message after which a scheduler is suspected to be down, in milliseconds.
pub const SUSPECT_AFTER_MS: u64 = 2_000;

/// Validity of a peer's support for a claim, in milliseconds.
pub const SUPPORT_MS: u64 = 2_500;

/// Milliseconds after sending a slot request during which a gateway may use the grant.
pub const GRANT_VALID_MS: u64 = 1_000;

/// Validity of a worker's lease in milliseconds.
pub const LEASE_MS: u64 = 8_000;

/// Milliseconds after the last renewal that the worker may have received, after which its lease has
/// certainly expired.
///
/// Allows for a worker's clock that runs 10% slow.
pub const LEASE_LAPSED_MS: u64 = LEASE_MS + LEASE_MS / 10;

/// Period of lease renewals in milliseconds.
pub const RENEWAL_PERIOD_MS: u64 = 2_000;

/// Period at which the platform's VM list is polled, in milliseconds.
pub const VM_LIST_PERIOD_MS: u64 = 1_000;

/// Milliseconds within which a leaving target stops receiving new work.
pub const LEAVING_MS: u64 = 3_000;

/// Age of the log's last response at which the log counts as unreachable, in milliseconds.
pub const LOG_UNREACHABLE_MS: u64 = 1_000;

/// Milliseconds after the first use of a request id during which a caller may retry with it.
pub const RETRY_WINDOW_MS: u64 = 120_000;

/// Milliseconds for which request ids are kept for deduplication.
pub const REQUEST_ID_RETENTION_MS: u64 = 600_000;

/// Longest deadline of a request in milliseconds.
pub const DEADLINE_MAX_MS: u64 = 60_000;

/// Deadline of a request that has none of its own, in milliseconds.
pub const DEADLINE_DEFAULT_MS: u64 = 10_000;

/// Minimum time between the starts of two appends of one process, in milliseconds.
pub const APPEND_INTERVAL_MS: u64 = 60;
