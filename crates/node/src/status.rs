//! Routes for monitoring: `/metrics`, `/healthz` and `/readyz`.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use ntex::web::{self, HttpResponse, ServiceConfig, types::State};

use crate::metrics::Metrics;

/// Readiness of the process, with the reason if it is not ready. Clones share the same state.
#[derive(Clone, Debug, Default)]
pub struct Ready(Arc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    ready: AtomicBool,
    reason: Mutex<Arc<str>>,
}

impl Ready {
    /// Marks the process as ready.
    pub fn set(&self) {
        self.0.ready.store(true, Ordering::SeqCst);
    }

    /// Marks the process as not ready for `reason`.
    pub fn clear(&self, reason: &str) {
        *self.0.reason.lock().unwrap_or_else(PoisonError::into_inner) = reason.into();
        self.0.ready.store(false, Ordering::SeqCst);
    }

    /// Returns whether the process is ready.
    #[must_use]
    pub fn get(&self) -> bool {
        self.0.ready.load(Ordering::SeqCst)
    }

    /// Returns the reason of the latest call of `clear`; empty if there was none.
    #[must_use]
    pub fn reason(&self) -> Arc<str> {
        self.0
            .reason
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

/// State of the monitoring routes.
#[derive(Clone, Debug, Default)]
pub struct Status {
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Readiness of the process.
    pub ready: Ready,
}

/// Adds the routes to an application, whose state must contain a [`Status`].
pub fn routes(config: &mut ServiceConfig) {
    config.service((
        web::resource("/metrics").route(web::get().to(metrics)),
        web::resource("/healthz").route(web::get().to(healthz)),
        web::resource("/readyz").route(web::get().to(readyz)),
    ));
}

async fn metrics(status: State<Status>) -> HttpResponse {
    let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    HttpResponse::Ok()
        .content_type(content_type)
        .body(status.metrics.text())
}

async fn healthz() -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain").body("ok\n")
}

async fn readyz(status: State<Status>) -> HttpResponse {
    match status.ready.get() {
        true => HttpResponse::Ok()
            .content_type("text/plain")
            .body("ready\n"),
        false => HttpResponse::ServiceUnavailable()
            .content_type("text/plain")
            .body(format!("not ready: {}\n", status.ready.reason())),
    }
}
