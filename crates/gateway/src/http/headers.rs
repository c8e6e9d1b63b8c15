//! Validation of request headers.

use std::sync::Arc;

use ntex::web::HttpRequest;
use rosemaryworks_admin::keys;
use rosemaryworks_core::contract::{Contract, is_name};
use rosemaryworks_core::timing::{DEADLINE_DEFAULT_MS, DEADLINE_MAX_MS};

use super::reply::Refusal;
use crate::gateway::Gateway;

/// Longest accepted header value in characters.
const VALUE_MAX_CHARS: usize = 256;

/// Returns the value of the header `name`.
pub(super) fn value<'a>(request: &'a HttpRequest, name: &str) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = request.headers().get(name) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .ok()
        .filter(|text| text.len() <= VALUE_MAX_CHARS);
    let message = format!("{name}: must be at most {VALUE_MAX_CHARS} printable characters");
    text.map(Some).ok_or_else(|| Refusal::new(400, message))
}

/// Returns the contract that the caller names and whose key it presents. The error is the same for
/// a wrong key and an unknown contract.
pub(super) fn authenticate(
    gateway: &Gateway,
    request: &HttpRequest,
) -> Result<Arc<Contract>, Refusal> {
    if !gateway.are_contracts_loaded() {
        return Err(Refusal::new(503, "the contracts are not known yet"));
    }
    let name = value(request, "rosemary-contract")?;
    let name = name.ok_or_else(|| Refusal::new(400, "rosemary-contract: is missing"))?;
    let given = value(request, "authorization")?.and_then(keys::bearer);
    let contract = gateway.contracts.get(name);
    let key_matches = match (&contract, given) {
        (Some(contract), Some(given)) => keys::matches_any(given, &contract.keys),
        _ => false,
    };
    let unauthorized = || {
        Refusal::new(
            401,
            "authorization: the contract is unknown or the key wrong",
        )
    };
    contract.filter(|_| key_matches).ok_or_else(unauthorized)
}

/// Returns the request id.
pub(super) fn id(request: &HttpRequest) -> Result<Arc<str>, Refusal> {
    let id = value(request, "rosemary-request-id")?;
    let id = id.ok_or_else(|| Refusal::new(400, "rosemary-request-id: is missing"))?;
    match is_name(id) {
        true => Ok(id.into()),
        false => Err(Refusal::new(
            400,
            "rosemary-request-id: must be 1 to 64 characters of a-z, 0-9 and '-'",
        )),
    }
}

/// Returns the milliseconds until the deadline.
pub(super) fn deadline_ms(request: &HttpRequest) -> Result<u64, Refusal> {
    let Some(text) = value(request, "rosemary-deadline-ms")? else {
        return Ok(DEADLINE_DEFAULT_MS);
    };
    let given = text.parse().ok();
    let given = given.filter(|millis| (1..=DEADLINE_MAX_MS).contains(millis));
    let message = format!("rosemary-deadline-ms: must be 1 to {DEADLINE_MAX_MS}");
    given.ok_or_else(|| Refusal::new(400, message))
}

/// Returns whether the request may run more than once.
pub(super) fn idempotent(request: &HttpRequest) -> Result<bool, Refusal> {
    match value(request, "rosemary-idempotent")? {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(_) => Err(Refusal::new(
            400,
            "rosemary-idempotent: must be true or false",
        )),
    }
}

/// Returns the number of the attempt.
pub(super) fn attempt(request: &HttpRequest) -> Result<Option<u32>, Refusal> {
    let Some(text) = value(request, "rosemary-attempt")? else {
        return Ok(None);
    };
    let given = text.parse().ok().filter(|number| *number >= 1);
    let message = "rosemary-attempt: must be a number from 1 on";
    given.map(Some).ok_or_else(|| Refusal::new(400, message))
}
