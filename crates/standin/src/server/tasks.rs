//! HTTP ports of the workers.

use ntex::http::{Request, Response};
use rosemaryworks_node::clock;

use super::response;
use crate::worker::{Availability, Worker};

pub(super) async fn respond(worker: &Worker, request: &Request, body: &[u8]) -> Response {
    match worker.availability() {
        Availability::Partitioned => return response::hang(request).await,
        Availability::Down => return response::disconnect(request),
        Availability::Up => {}
    }
    let now = clock::now();
    let response = match request.path() {
        "/v1/control" => {
            response::parse(body).map(|control| response::result(worker.control(now, &control)))
        }
        "/v1/place" => {
            response::parse(body).map(|grant| response::result(worker.place(now, grant)))
        }
        "/v1/sync" => response::parse(body).map(|sync| response::result(worker.sync(now, &sync))),
        _ => Err(Response::NotFound().finish()),
    };
    let response = response.unwrap_or_else(|response| response);
    // The worker may have become unreachable while it handled the request.
    match worker.availability() {
        Availability::Up => response,
        Availability::Partitioned | Availability::Down => response::disconnect(request),
    }
}
