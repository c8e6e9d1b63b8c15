//! Ports of the instances.

use std::sync::Arc;
use std::time::Duration;

use ntex::http::{Request, Response};
use rosemaryworks_history::record::Refusal;
use rosemaryworks_platform::http::{NOT_RUN_HEADER, Occupancy};
use tokio::sync::oneshot;

use super::answer;
use crate::instance::{Ask, Instance, Run};

pub(super) async fn respond(instance: &Arc<Instance>, request: &Request, body: &[u8]) -> Response {
    if instance.behaviour().crashed {
        return answer::cut(request);
    }
    match (request.method().as_str(), request.path()) {
        ("GET", "/occupancy") => answer::json(&Occupancy {
            busy: instance.busy(),
        }),
        ("POST", _) => post(instance, request, Ask::parse(body)).await,
        _ => Response::NotFound().finish(),
    }
}

async fn post(instance: &Arc<Instance>, request: &Request, ask: Ask) -> Response {
    let run = match instance.begin(ask.request()) {
        Ok(run) => run,
        Err(reason) => return not_run(reason),
    };
    // A request runs to its end even if its connection closes.
    let (sender, receiver) = oneshot::channel();
    ntex::rt::spawn(run_to_end(instance.clone(), run, ask.run_ms, sender));
    match receiver.await {
        Ok(true) if instance.behaviour().cuts => cut_answer(request, &ask),
        Ok(true) => Response::Ok()
            .content_type("application/octet-stream")
            .body(ask.answer()),
        Ok(false) | Err(_) => answer::cut(request),
    }
}

async fn run_to_end(instance: Arc<Instance>, run: Run, run_ms: u64, done: oneshot::Sender<bool>) {
    let run_ms = run_ms.saturating_mul(instance.behaviour().percent) / 100;
    tokio::time::sleep(Duration::from_millis(run_ms)).await;
    // The caller may have gone.
    let _ = done.send(instance.end(run));
}

fn not_run(reason: Refusal) -> Response {
    Response::ServiceUnavailable()
        .header(NOT_RUN_HEADER, "true")
        .json(&reason)
}

/// Sends the head and the first half of the answer, then closes the connection.
fn cut_answer(request: &Request, ask: &Ask) -> Response {
    let body = ask.answer();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    if let Some(io) = request.io() {
        // The connection ends either way.
        let _ = io.encode_slice(head.as_bytes());
        let _ = io.encode_slice(&body[..body.len() / 2]);
        io.close();
    }
    Response::Ok().force_close().finish()
}
