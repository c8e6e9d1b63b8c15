//! Bearer keys, compared in constant time.

use std::sync::Arc;

use subtle::{Choice, ConstantTimeEq};

const SCHEME: &str = "Bearer ";

/// Returns the key of an `authorization` header.
#[must_use]
pub fn bearer(header: &str) -> Option<&str> {
    header.strip_prefix(SCHEME).filter(|key| !key.is_empty())
}

/// Tells whether `given` is one of `keys`. Compares with every key, so the time taken doesn't tell
/// which key matched or how much of one.
#[must_use]
pub fn matches_any(given: &str, keys: &[Arc<str>]) -> bool {
    let equal = |key: &Arc<str>| key.as_bytes().ct_eq(given.as_bytes());
    let any = keys
        .iter()
        .fold(Choice::from(0), |found, key| found | equal(key));
    any.into()
}
