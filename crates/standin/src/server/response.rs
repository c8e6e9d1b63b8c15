//! Bodies of requests and responses, and connections that are closed without a response.

use std::time::Duration;

use ntex::http::{Request, Response, StatusCode};
use ntex::util::stream_recv;
use rosemaryworks_platform::http::Refusal;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Time for which a request stays without a response; every client times out earlier.
const HANG: Duration = Duration::from_secs(90);

/// Reads the whole request body. Returns `None` if reading fails.
pub(super) async fn read(request: &mut Request) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    let mut payload = request.take_payload();
    while let Some(part) = stream_recv(&mut payload).await {
        body.extend_from_slice(&part.ok()?);
    }
    Some(body)
}

pub(super) fn json<T: Serialize>(value: &T) -> Response {
    Response::Ok().json(value)
}

pub(super) fn result<T: Serialize>(result: Result<T, Refusal>) -> Response {
    match result {
        Ok(value) => json(&value),
        Err(refusal) => {
            let status = StatusCode::from_u16(refusal.status()).unwrap_or(StatusCode::CONFLICT);
            Response::build(status).json(&refusal)
        }
    }
}

pub(super) fn malformed(reason: &str) -> Response {
    Response::BadRequest().json(&Refusal::Other {
        reason: reason.to_owned(),
    })
}

pub(super) fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Response> {
    serde_json::from_slice(body).map_err(|error| malformed(&error.to_string()))
}

/// Closes the connection without a response.
pub(super) fn disconnect(request: &Request) -> Response {
    if let Some(io) = request.io() {
        io.terminate();
    }
    Response::InternalServerError().force_close().finish()
}

/// Leaves the request without a response until the caller has timed out, then closes the
/// connection.
pub(super) async fn hang(request: &Request) -> Response {
    tokio::time::sleep(HANG).await;
    disconnect(request)
}
