//! Metrics of the gateway.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use rosemaryworks_node::metrics::Metrics;
use rosemaryworks_wire::link::traffic;

/// Upper bounds of the latency buckets in seconds.
const BUCKETS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 60.0,
];

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Ended {
    service: String,
    outcome: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Service {
    service: String,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Direction {
    direction: &'static str,
}

/// The metrics.
#[derive(Debug)]
pub(crate) struct Meters {
    ended: Family<Ended, Counter>,
    latency: Family<Service, Histogram>,
    retries: Family<Service, Counter>,
    refused: Counter,
    unused: Counter,
    link_bytes: Family<Direction, Counter>,
}

fn histogram() -> Histogram {
    Histogram::new(BUCKETS)
}

impl Meters {
    pub(crate) fn new(metrics: &Metrics) -> Self {
        let latency = Family::new_with_constructor(histogram as fn() -> Histogram);
        Self {
            ended: metrics.register("requests", "Requests by outcome", Family::default()),
            latency: metrics.register("request_seconds", "Time to the answer", latency),
            retries: metrics.register("retries", "Retries of requests", Family::default()),
            refused: metrics.register("requests_refused", "Requests not valid", Counter::default()),
            unused: metrics.register("grants_unused", "Grants not used", Counter::default()),
            link_bytes: metrics.register("link_bytes", "Bytes on links", Family::default()),
        }
    }

    pub(crate) fn ended(&self, service: &str, outcome: &'static str, elapsed_ms: u64) {
        let labels = Ended {
            service: service.to_owned(),
            outcome,
        };
        self.ended.get_or_create(&labels).inc();
        let service = service.to_owned();
        let latency = self.latency.get_or_create(&Service { service });
        latency.observe(std::time::Duration::from_millis(elapsed_ms).as_secs_f64());
    }

    pub(crate) fn retried(&self, service: &str) {
        let service = service.to_owned();
        self.retries.get_or_create(&Service { service }).inc();
    }

    pub(crate) fn refused(&self) {
        self.refused.inc();
    }

    pub(crate) fn unused(&self) {
        self.unused.inc();
    }

    /// Copies the totals of the links.
    pub(crate) fn links(&self) {
        let totals = [
            ("received", traffic().received_bytes()),
            ("sent", traffic().sent_bytes()),
        ];
        for (direction, total) in totals {
            let counter = self.link_bytes.get_or_create(&Direction { direction });
            counter.inc_by(total.saturating_sub(counter.get()));
        }
    }
}
