//! Ports of the workers.

use ntex::http::{Request, Response};
use rosemaryworks_node::clock;

use super::answer;
use crate::worker::{Reach, Worker};

pub(super) async fn respond(worker: &Worker, request: &Request, body: &[u8]) -> Response {
    match worker.reach() {
        Reach::Cut => return answer::silence(request).await,
        Reach::Died => return answer::cut(request),
        Reach::Up => {}
    }
    let now = clock::now();
    let response = match request.path() {
        "/v1/control" => {
            answer::parse(body).map(|control| answer::result(worker.control(now, &control)))
        }
        "/v1/place" => answer::parse(body).map(|grant| answer::result(worker.place(now, grant))),
        "/v1/sync" => answer::parse(body).map(|sync| answer::result(worker.sync(now, &sync))),
        _ => Err(Response::NotFound().finish()),
    };
    let response = response.unwrap_or_else(|response| response);
    // The worker may have been cut off while it answered.
    match worker.reach() {
        Reach::Up => response,
        Reach::Cut | Reach::Died => answer::cut(request),
    }
}
