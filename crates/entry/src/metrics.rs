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
    /// Jobs refused because they can't start in time to be of use.
    pub busy: Counter,
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
    /// Advice requests of owners that this VM refused because too many were queued.
    pub advice_busy: Counter,
    /// Advice requests dropped from the queue of this VM because their time had passed.
    pub advice_expired: Counter,
    /// Answers of the advice service that were used after their request counted as failed.
    pub advice_late: Counter,
    /// Expected time of the advice requests that this VM has yet to send, in milliseconds.
    pub advice_backlog_ms: Gauge,
    /// Configurations that came from other processes.
    pub revisions_taken: Counter,
    /// Bytes of configurations sent to other processes.
    pub revision_bytes: Counter,
    /// Bytes of the answers to reads of the log.
    pub read_bytes: Counter,
    /// Reads of the log that failed.
    pub reads_failed: Counter,
    /// Queries for jobs in the shards of addresses that have moved.
    pub former_queries: Counter,
    /// Records passed on to the shard to which their address has moved.
    pub forwarded: Counter,
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
    /// Memory for the jobs of all owned shards in bytes.
    pub job_bytes: Gauge,
    /// Most memory that jobs held at a time, in bytes.
    pub job_bytes_peak: Gauge,
    /// Requests for parts of teams' caps sent to owners of other shards.
    pub room_requests: Counter,
    /// Steps that a team's cap holds back.
    pub steps_capped: Gauge,
    /// Teams that their caps hold back.
    pub teams_capped: Gauge,
    /// Teams that use more than their share of a full pool.
    pub teams_over_share: Gauge,
    /// Steps that no worker of their pool could run.
    pub steps_parked: Gauge,
    /// Time that an owner spends on decisions at a time, in seconds.
    pub tick_seconds: Histogram,
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
        let gauge = |name, help| registry.register(name, help, Gauge::default());
        // From 1 ms to 8 s, which covers the deadlines of callers.
        let histogram = |name, help| {
            let buckets = exponential_buckets(0.001, 2.0, 14);
            registry.register(name, help, Histogram::new(buckets))
        };
        Self {
            accepted: counter("entry_jobs_accepted", "Jobs accepted"),
            refused: counter("entry_jobs_refused", "Jobs refused"),
            busy: counter("entry_jobs_busy", "Jobs refused for lack of capacity"),
            unknown: counter("entry_jobs_unknown", "Jobs with unknown outcome"),
            starts: counter("entry_starts", "Runs ordered"),
            start_faults: counter("entry_start_faults", "Starts refused or unanswered"),
            attempts_lost: counter("entry_attempts_lost", "Attempts ended without a report"),
            worker_restarts: counter("entry_worker_restarts", "Workers that started again"),
            suspensions: counter("entry_suspensions", "Owners suspended without a proof"),
            relayed: counter("entry_relayed", "Commands sent for other owners"),
            advice_requests: counter("entry_questions", "Questions to the advice service"),
            advice_busy: counter("entry_advice_busy", "Advice requests refused as busy"),
            advice_expired: counter(
                "entry_advice_expired",
                "Advice requests dropped from the queue",
            ),
            advice_late: counter(
                "entry_advice_late",
                "Advice used after its request had failed",
            ),
            advice_backlog_ms: registry.register(
                "entry_advice_backlog_ms",
                "Expected time of queued advice requests",
                Gauge::default(),
            ),
            revisions_taken: counter(
                "entry_configurations_from_peers",
                "Configurations that came from other processes",
            ),
            revision_bytes: counter(
                "entry_configuration_bytes_to_peers",
                "Bytes of configurations sent to other processes",
            ),
            read_bytes: counter("entry_log_read_bytes", "Bytes read from the log"),
            reads_failed: counter("entry_log_reads_failed", "Reads of the log that failed"),
            former_queries: counter(
                "entry_former_queries",
                "Queries for jobs in the shards of moved addresses",
            ),
            forwarded: counter(
                "entry_forwarded",
                "Records passed on to the shard of their address",
            ),
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
            job_bytes: registry.register(
                "entry_job_bytes",
                "Memory for jobs in bytes",
                Gauge::default(),
            ),
            job_bytes_peak: gauge("entry_job_bytes_peak", "Most memory for jobs in bytes"),
            open_jobs: registry.register("entry_open_jobs", "Jobs not ended", Gauge::default()),
            room_requests: counter("entry_room_requests", "Requests for parts of caps"),
            steps_capped: gauge("entry_steps_capped", "Steps held back by a cap"),
            teams_capped: gauge("entry_teams_capped", "Teams held back by their caps"),
            teams_over_share: gauge("entry_teams_over_share", "Teams over their share"),
            steps_parked: gauge("entry_steps_parked", "Steps that no worker could run"),
            tick_seconds: histogram("entry_tick_seconds", "Time of a tick of an owner"),
            accept_seconds: histogram("entry_accept_seconds", "Time to accept a job"),
            append_seconds: histogram("entry_append_seconds", "Time of an append"),
        }
    }
}
