//! Periods and limits that several processes must agree on.

/// Period of the schedulers' heartbeats in milliseconds.
pub const HEARTBEAT_PERIOD_MS: u64 = 500;

/// Silence after which a scheduler is suspected, in milliseconds.
pub const SUSPECT_AFTER_MS: u64 = 2_000;

/// Validity of a peer's support in milliseconds.
pub const SUPPORT_MS: u64 = 2_500;

/// Milliseconds after sending an ask during which a gateway may use the grant.
pub const GRANT_VALID_MS: u64 = 1_000;

/// Validity of a worker's lease in milliseconds.
pub const LEASE_MS: u64 = 8_000;

/// Milliseconds after the last renewal that may have arrived at which a lease has surely lapsed.
///
/// Allows the worker's clock to run 10% slow.
pub const LEASE_LAPSED_MS: u64 = LEASE_MS + LEASE_MS / 10;

/// Period of lease renewals in milliseconds.
pub const RENEWAL_PERIOD_MS: u64 = 2_000;

/// Period at which the list of VMs is read, in milliseconds.
pub const VM_LIST_PERIOD_MS: u64 = 1_000;

/// Milliseconds within which a leaving target receives no new work any more.
pub const LEAVING_MS: u64 = 3_000;

/// Age of the last answer at which the log is regarded as unreachable, in milliseconds.
pub const LOG_UNREACHABLE_MS: u64 = 1_000;

/// Milliseconds after its first use during which a caller may repeat a request id.
pub const RETRY_WINDOW_MS: u64 = 120_000;

/// Milliseconds for which request ids are remembered.
pub const REQUEST_ID_RETENTION_MS: u64 = 600_000;

/// Longest deadline of a request in milliseconds.
pub const DEADLINE_MAX_MS: u64 = 60_000;

/// Deadline of a request that states none, in milliseconds.
pub const DEADLINE_DEFAULT_MS: u64 = 10_000;

/// Least time between the starts of two appends of one process, in milliseconds.
pub const APPEND_INTERVAL_MS: u64 = 60;
