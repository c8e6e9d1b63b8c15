//! Bearer keys and their comparison in constant time.

use std::sync::Arc;

use subtle::{Choice, ConstantTimeEq};

const SCHEME: &str = "Bearer ";

/// Returns the bearer key in an `authorization` header.
#[must_use]
pub fn bearer(header: &str) -> Option<&str> {
    header.strip_prefix(SCHEME).filter(|key| !key.is_empty())
}

/// Returns whether `given` equals one of `keys`. Compares in constant time with every key, so that
/// the response time reveals neither the matching key nor a matching prefix.
#[must_use]
pub fn matches_any(given: &str, keys: &[Arc<str>]) -> bool {
    let equal = |key: &Arc<str>| key.as_bytes().ct_eq(given.as_bytes());
    let any = keys
        .iter()
        .fold(Choice::from(0), |matched, key| matched | equal(key));
    any.into()
}
