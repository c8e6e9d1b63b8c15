//! Metrics of the process in the OpenMetrics text format.

use std::sync::{Arc, Mutex, PoisonError};

use prometheus_client::encoding::text::encode;
use prometheus_client::registry::{Metric, Registry};

/// Metrics of the process. Clones share the same registry.
#[derive(Clone, Debug)]
pub struct Metrics(Arc<Mutex<Registry>>);

impl Default for Metrics {
    fn default() -> Self {
        Self(Arc::new(Mutex::new(Registry::with_prefix("rosemaryworks"))))
    }
}

impl Metrics {
    /// Registers a metric and returns it.
    pub fn register<M: Clone + Metric>(&self, name: &str, help: &str, metric: M) -> M {
        let mut registry = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        registry.register(name, help, metric.clone());
        metric
    }

    /// Returns all metrics in the OpenMetrics text format.
    #[must_use]
    pub fn text(&self) -> String {
        let registry = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        match encode(&mut text, &registry) {
            Ok(()) => text,
            Err(error) => format!("# {error}\n"),
        }
    }
}
