//! Metrics of the scheduler.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use rosemaryworks_core::outcome::{NotRun, Unknown};
use rosemaryworks_node::metrics::Metrics;

/// Label with the reason, outcome or direction of what is counted.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Reason {
    reason: &'static str,
}

/// Label with the name of a shard.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Shard {
    shard: String,
}

/// Counters and gauges of the process.
pub(crate) struct Counters {
    appends: Family<Reason, Counter>,
    grants: Counter,
    link_bytes: Family<Reason, Gauge<i64, std::sync::atomic::AtomicI64>>,
    placements: Family<Reason, Counter>,
    queue_lengths: Family<Shard, Gauge>,
    refusals: Family<Reason, Counter>,
    support_margins: Family<Shard, Gauge>,
    activations: Counter<u64, AtomicU64>,
    unknowns: Family<Reason, Counter>,
    unwritten: Family<Shard, Gauge>,
}

impl Counters {
    /// Registers the metrics.
    pub(crate) fn new(metrics: &Metrics) -> Self {
        Self {
            appends: metrics.register(
                "appends",
                "Records handed to the cell stream, by outcome",
                Family::default(),
            ),
            grants: metrics.register("grants", "Slots granted", Counter::default()),
            link_bytes: metrics.register(
                "link_bytes",
                "Bytes of frames on links since the start, by direction",
                Family::default(),
            ),
            placements: metrics.register(
                "placements",
                "Leases asked of workers, by outcome",
                Family::default(),
            ),
            queue_lengths: metrics.register(
                "queue_length",
                "Asks without an answer or jobs without an end, by shard",
                Family::default(),
            ),
            refusals: metrics.register(
                "refusals",
                "Requests not run, by reason",
                Family::default(),
            ),
            support_margins: metrics.register(
                "support_margin_ms",
                "Milliseconds for which the support of an owned shard lasts",
                Family::default(),
            ),
            activations: metrics.register(
                "activations",
                "Shards activated by this process",
                Counter::default(),
            ),
            unknowns: metrics.register(
                "unknowns",
                "Requests answered as unknown, by reason",
                Family::default(),
            ),
            unwritten: metrics.register(
                "unwritten",
                "Ends, grants, request ids and other records that wait for the log, by shard",
                Family::default(),
            ),
        }
    }

    pub(crate) fn append(&self, succeeded: bool) {
        let reason = outcome(succeeded);
        self.appends.get_or_create(&Reason { reason }).inc();
    }

    pub(crate) fn grant(&self) {
        self.grants.inc();
    }

    pub(crate) fn placement(&self, succeeded: bool) {
        let reason = outcome(succeeded);
        self.placements.get_or_create(&Reason { reason }).inc();
    }

    pub(crate) fn refusal(&self, reason: &NotRun) {
        let reason = match reason {
            NotRun::Concurrency => "concurrency",
            NotRun::Deadline => "deadline",
            NotRun::LogUnavailable => "log-unavailable",
            NotRun::NoInstance => "no-instance",
            NotRun::NoOwner => "no-owner",
            NotRun::NotInContract => "not-in-contract",
            NotRun::Overloaded => "overloaded",
            NotRun::Rate => "rate",
            NotRun::Stopping => "stopping",
        };
        self.refusals.get_or_create(&Reason { reason }).inc();
    }

    pub(crate) fn unknown(&self, reason: &Unknown) {
        let reason = match reason {
            Unknown::AlreadyDispatched => "already-dispatched",
            Unknown::Deadline => "deadline",
            Unknown::EarlierAttempt => "earlier-attempt",
            Unknown::InstanceRefused => "instance-refused",
            Unknown::InstanceLost => "instance-lost",
            Unknown::NoOwner => "no-owner",
            Unknown::Takeover => "takeover",
        };
        self.unknowns.get_or_create(&Reason { reason }).inc();
    }

    pub(crate) fn activation(&self) {
        self.activations.inc();
    }

    pub(crate) fn queue_length(&self, shard: &str, length: usize) {
        let shard = shard.to_owned();
        let length = i64::try_from(length).unwrap_or(i64::MAX);
        self.queue_lengths
            .get_or_create(&Shard { shard })
            .set(length);
    }

    pub(crate) fn support_margin(&self, shard: &str, margin_ms: u64) {
        let shard = shard.to_owned();
        let margin = i64::try_from(margin_ms).unwrap_or(i64::MAX);
        self.support_margins
            .get_or_create(&Shard { shard })
            .set(margin);
    }

    pub(crate) fn unwritten(&self, shard: &str, count: usize) {
        let shard = shard.to_owned();
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.unwritten.get_or_create(&Shard { shard }).set(count);
    }

    /// Removes the gauges of a shard that is no longer owned.
    pub(crate) fn remove_shard(&self, shard: &str) {
        let label = Shard {
            shard: shard.to_owned(),
        };
        self.queue_lengths.remove(&label);
        self.support_margins.remove(&label);
        self.unwritten.remove(&label);
    }

    pub(crate) fn link_bytes(&self, sent: u64, received: u64) {
        let set = |reason, bytes| {
            let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
            self.link_bytes.get_or_create(&Reason { reason }).set(bytes);
        };
        set("sent", sent);
        set("received", received);
    }
}

fn outcome(succeeded: bool) -> &'static str {
    match succeeded {
        true => "succeeded",
        false => "failed",
    }
}
