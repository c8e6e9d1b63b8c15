//! HTTP ports of the service instances.

use std::sync::Arc;
use std::time::Duration;

use ntex::http::{Request, Response};
use rosemaryworks_history::record::Refusal;
use rosemaryworks_platform::http::{NOT_RUN_HEADER, Occupancy};
use tokio::sync::oneshot;

use super::response;
use crate::instance::{Instance, Run, Spec};

pub(super) async fn respond(instance: &Arc<Instance>, request: &Request, body: &[u8]) -> Response {
    if instance.behaviour().crashed {
        return response::disconnect(request);
    }
    match (request.method().as_str(), request.path()) {
        ("GET", "/occupancy") => response::json(&Occupancy {
            busy: instance.busy(),
        }),
        ("POST", _) => post(instance, request, Spec::parse(body)).await,
        _ => Response::NotFound().finish(),
    }
}

async fn post(instance: &Arc<Instance>, request: &Request, spec: Spec) -> Response {
    let run = match instance.begin(spec.request()) {
        Ok(run) => run,
        Err(reason) => return not_run(reason),
    };
    // A request runs to completion even if its connection closes.
    let (sender, receiver) = oneshot::channel();
    ntex::rt::spawn(finish_after(instance.clone(), run, spec.run_ms, sender));
    match receiver.await {
        Ok(true) if instance.behaviour().truncates => truncate(request, &spec),
        Ok(true) => Response::Ok()
            .content_type("application/octet-stream")
            .body(spec.response()),
        Ok(false) | Err(_) => response::disconnect(request),
    }
}

async fn finish_after(instance: Arc<Instance>, run: Run, run_ms: u64, done: oneshot::Sender<bool>) {
    let run_ms = run_ms.saturating_mul(instance.behaviour().percent) / 100;
    tokio::time::sleep(Duration::from_millis(run_ms)).await;
    // The caller may have disconnected.
    let _ = done.send(instance.end(run));
}

fn not_run(reason: Refusal) -> Response {
    Response::ServiceUnavailable()
        .header(NOT_RUN_HEADER, "true")
        .json(&reason)
}

/// Sends the head and the first half of the response body, then closes the connection.
fn truncate(request: &Request, spec: &Spec) -> Response {
    let body = spec.response();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    if let Some(io) = request.io() {
        // Write errors have no effect: the connection is closed either way.
        let _ = io.encode_slice(head.as_bytes());
        let _ = io.encode_slice(&body[..body.len() / 2]);
        io.close();
    }
    Response::Ok().force_close().finish()
}
