//! Counters and histograms of the entry process.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use rosemaryworks_node::metrics::Metrics as Registry;

/// Metrics of the entry process.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Jobs accepted.
    pub accepted: Counter,
    /// Jobs rejected because the log refused them or counts as unreachable.
    pub refused: Counter,
    /// Jobs with an unknown outcome of the submission.
    pub unknown: Counter,
    /// Starts sent to workers.
    pub starts: Counter,
    /// Starts that were refused or not answered.
    pub start_faults: Counter,
    /// Attempts that count as ended without a report of their end.
    pub attempts_lost: Counter,
    /// Workers that started again under their ids.
    pub worker_restarts: Counter,
    /// Times that an owner was suspended because it had no proof of its ownership.
    pub suspensions: Counter,
    /// Commands to workers sent on behalf of owners on other VMs.
    pub relayed: Counter,
    /// Requests to the advice service.
    pub advice_requests: Counter,
    /// Bytes reserved for bodies of callers.
    pub body_bytes: Gauge,
    /// Connections of callers.
    pub caller_connections: Gauge,
    /// Connections closed or refused because all of the listener were in use.
    pub refused_connections: Counter,
    /// Bodies given up because the memory for bodies ran out.
    pub refused_memory: Counter,
    /// Bodies that did not arrive in time.
    pub refused_slow: Counter,
    /// Owned shards.
    pub shards: Gauge,
    /// Open jobs of the owned shards.
    pub open_jobs: Gauge,
    /// Time to accept a job in seconds.
    pub accept_seconds: Histogram,
    /// Time of an append to a shard's journal in seconds.
    pub append_seconds: Histogram,
}

impl Metrics {
    /// Creates the metrics and registers them.
    #[must_use]
    pub fn register(registry: &Registry) -> Self {
        let counter = |name, help| registry.register(name, help, Counter::default());
        // From 1 ms to 8 s, which covers the deadlines of callers.
        let histogram = |name, help| {
            let buckets = exponential_buckets(0.001, 2.0, 14);
            registry.register(name, help, Histogram::new(buckets))
        };
        Self {
            accepted: counter("entry_jobs_accepted", "Jobs accepted"),
            refused: counter("entry_jobs_refused", "Jobs refused"),
            unknown: counter("entry_jobs_unknown", "Jobs with unknown outcome"),
            starts: counter("entry_starts", "Runs ordered"),
            start_faults: counter("entry_start_faults", "Starts refused or unanswered"),
            attempts_lost: counter("entry_attempts_lost", "Attempts ended without a report"),
            worker_restarts: counter("entry_worker_restarts", "Workers that started again"),
            suspensions: counter("entry_suspensions", "Owners suspended without a proof"),
            relayed: counter("entry_relayed", "Commands sent for other owners"),
            advice_requests: counter("entry_questions", "Questions to the advice service"),
            body_bytes: registry.register(
                "entry_body_bytes",
                "Memory reserved for bodies",
                Gauge::default(),
            ),
            caller_connections: registry.register(
                "entry_caller_connections",
                "Connections of callers",
                Gauge::default(),
            ),
            refused_connections: counter(
                "entry_refused_connections",
                "Connections closed because all were in use",
            ),
            refused_memory: counter("entry_refused_memory", "Bodies without memory"),
            refused_slow: counter("entry_refused_slow", "Bodies that were not sent in time"),
            shards: registry.register("entry_shards", "Shards owned", Gauge::default()),
            open_jobs: registry.register("entry_open_jobs", "Jobs not ended", Gauge::default()),
            accept_seconds: histogram("entry_accept_seconds", "Time to accept a job"),
            append_seconds: histogram("entry_append_seconds", "Time of an append"),
        }
    }
}
