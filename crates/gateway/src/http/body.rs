//! Request bodies.

use std::time::Duration;

use ntex::web::HttpRequest;
use ntex::web::types::Payload;
use rosemaryworks_core::time::Instant;
use rosemaryworks_node::clock;

use super::reply::{self, Refusal};
use crate::gateway::Gateway;
use crate::service_request::Body;
use crate::settings::BODY_MAX_BYTES;

/// Reads a complete body, which must arrive before `deadline`.
pub(super) async fn read(
    gateway: &Gateway,
    request: &HttpRequest,
    payload: &mut Payload,
    deadline: Instant,
) -> Result<Body, Refusal> {
    let remaining = Duration::from_millis(deadline.since(clock::now()));
    let body = tokio::time::timeout(remaining, read_all(gateway, request, payload)).await;
    body.unwrap_or_else(|_| {
        let message = "the body did not arrive before the deadline";
        Err(Refusal::new(reply::STATUS_REQUEST_TIMEOUT, message))
    })
}

async fn read_all(
    gateway: &Gateway,
    request: &HttpRequest,
    payload: &mut Payload,
) -> Result<Body, Refusal> {
    let declared = request.headers().get("content-length");
    let declared = declared.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    let max_bytes = declared.unwrap_or(BODY_MAX_BYTES);
    if max_bytes > BODY_MAX_BYTES {
        return Err(too_large());
    }
    let over_limit = || Refusal::new(503, "too many bytes of requests are held already");
    let mut reservation = gateway
        .body_memory
        .reserve(max_bytes)
        .ok_or_else(over_limit)?;
    let mut bytes = Vec::with_capacity(declared.unwrap_or(0));
    while let Some(chunk) = payload.recv().await {
        let chunk =
            chunk.map_err(|error| Refusal::new(400, format!("unreadable body: {error}")))?;
        if bytes.len() + chunk.len() > BODY_MAX_BYTES {
            return Err(too_large());
        }
        bytes.extend_from_slice(&chunk);
    }
    reservation.shrink(bytes.len());
    Ok(Body {
        bytes,
        _reservation: reservation,
    })
}

fn too_large() -> Refusal {
    Refusal::new(
        413,
        format!("the body exceeds the limit of {BODY_MAX_BYTES} bytes"),
    )
}
