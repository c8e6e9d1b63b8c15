//! Metrics of the gateway.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use rosemaryworks_node::metrics::Metrics;
use rosemaryworks_wire::link::traffic;

/// Upper bounds of the latency buckets in seconds.
const LATENCY_BUCKETS_SECONDS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 60.0,
];

/// Labels of the requests by outcome.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Outcome {
    service: String,
    outcome: &'static str,
}

/// Label of the metrics per service.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Service {
    service: String,
}

/// Label of the link traffic: received or sent.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Direction {
    direction: &'static str,
}

/// Handles of the registered metrics.
#[derive(Debug)]
pub(crate) struct Meters {
    requests: Family<Outcome, Counter>,
    latency: Family<Service, Histogram>,
    retries: Family<Service, Counter>,
    requests_refused: Counter,
    grants_unused: Counter,
    link_bytes: Family<Direction, Counter>,
}

fn latency_histogram() -> Histogram {
    Histogram::new(LATENCY_BUCKETS_SECONDS)
}

impl Meters {
    pub(crate) fn new(metrics: &Metrics) -> Self {
        let latency = Family::new_with_constructor(latency_histogram as fn() -> Histogram);
        Self {
            requests: metrics.register("requests", "Requests by outcome", Family::default()),
            latency: metrics.register("request_seconds", "Time to the answer", latency),
            retries: metrics.register("retries", "Retries of requests", Family::default()),
            requests_refused: metrics.register(
                "requests_refused",
                "Requests not valid",
                Counter::default(),
            ),
            grants_unused: metrics.register("grants_unused", "Grants not used", Counter::default()),
            link_bytes: metrics.register("link_bytes", "Bytes on links", Family::default()),
        }
    }

    pub(crate) fn request_ended(&self, service: &str, outcome: &'static str, elapsed_ms: u64) {
        let labels = Outcome {
            service: service.to_owned(),
            outcome,
        };
        self.requests.get_or_create(&labels).inc();
        let service = service.to_owned();
        let latency = self.latency.get_or_create(&Service { service });
        latency.observe(std::time::Duration::from_millis(elapsed_ms).as_secs_f64());
    }

    pub(crate) fn request_retried(&self, service: &str) {
        let service = service.to_owned();
        self.retries.get_or_create(&Service { service }).inc();
    }

    pub(crate) fn request_refused(&self) {
        self.requests_refused.inc();
    }

    pub(crate) fn grant_unused(&self) {
        self.grants_unused.inc();
    }

    /// Copies the byte totals of the links.
    pub(crate) fn update_link_bytes(&self) {
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
