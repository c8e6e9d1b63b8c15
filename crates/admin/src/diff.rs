//! Field-by-field comparison of two revisions of a contract, with masked keys.

use std::collections::BTreeMap;

use rosemaryworks_core::contract::Contract;
use serde::Serialize;
use serde_json::Value;

/// A field whose values differ.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub(crate) struct Change {
    /// Path of the field, for example `services.booking.rate`.
    pub(crate) path: String,
    /// Value in the older revision.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) from: Option<Value>,
    /// Value in the newer revision.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) to: Option<Value>,
}

/// Returns the fields that differ, sorted by path. Keys are masked.
pub(crate) fn diff(from: &Contract, to: &Contract) -> Vec<Change> {
    let (from, to) = (fields(from), fields(to));
    let paths: std::collections::BTreeSet<&String> = from.keys().chain(to.keys()).collect();
    let changed = paths
        .into_iter()
        .filter(|path| from.get(*path) != to.get(*path));
    changed
        .map(|path| Change {
            path: path.clone(),
            from: from
                .get(path)
                .cloned()
                .map(|value| mask_if_key(path, value)),
            to: to.get(path).cloned().map(|value| mask_if_key(path, value)),
        })
        .collect()
}

/// Returns the contract as JSON with each key masked.
pub(crate) fn masked(contract: &Contract) -> Value {
    let mut value = serde_json::to_value(contract).unwrap_or_default();
    if let Some(Value::Array(keys)) = value.get_mut("keys") {
        keys.iter_mut().for_each(|key| *key = mask(key));
    }
    value
}

/// Keeps the first four characters of a key.
fn mask(key: &Value) -> Value {
    let prefix: String = key.as_str().unwrap_or_default().chars().take(4).collect();
    Value::String(format!("{prefix}..."))
}

/// Masks the value if its path is that of a key.
fn mask_if_key(path: &str, value: Value) -> Value {
    match path.starts_with("keys[") {
        true => mask(&value),
        false => value,
    }
}

/// Returns the leaf values of a contract by path.
fn fields(contract: &Contract) -> BTreeMap<String, Value> {
    let mut fields = BTreeMap::new();
    let value = serde_json::to_value(contract).unwrap_or_default();
    flatten("", value, &mut fields);
    fields
}

fn flatten(path: &str, value: Value, fields: &mut BTreeMap<String, Value>) {
    match value {
        Value::Object(members) => {
            for (name, member) in members {
                let dot = if path.is_empty() { "" } else { "." };
                flatten(&format!("{path}{dot}{name}"), member, fields);
            }
        }
        Value::Array(items) => {
            for (index, item) in items.into_iter().enumerate() {
                flatten(&format!("{path}[{index}]"), item, fields);
            }
        }
        value => {
            fields.insert(path.to_owned(), value);
        }
    }
}
