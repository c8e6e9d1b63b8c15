//! Control port: fault injection, health and summary.

use ntex::http::{Request, Response};

use super::response;
use crate::events;
use crate::fault::Fault;
use crate::platform::Platform;

pub(super) fn respond(platform: &Platform, request: &Request, body: &[u8]) -> Response {
    match (request.method().as_str(), request.path()) {
        ("GET", "/healthz") => Response::Ok().body("ok\n"),
        ("GET", "/v1/summary") => response::json(&platform.summary()),
        ("POST", "/v1/fault") => match response::parse::<Fault>(body) {
            Ok(fault) => inject(platform, &fault),
            Err(response) => response,
        },
        _ => Response::NotFound().finish(),
    }
}

fn inject(platform: &Platform, fault: &Fault) -> Response {
    match platform.inject(fault) {
        Ok(()) => {
            events::FAULT.log(format_args!("{fault:?}"));
            response::json(&())
        }
        Err(reason) => {
            events::FAULT_REFUSED.log(format_args!("reason={reason:?}"));
            response::malformed(&reason)
        }
    }
}
