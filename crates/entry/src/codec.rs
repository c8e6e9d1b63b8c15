//! Encoding of a shard's records in the log: CBOR, and for large submissions a CBOR byte string that
//! holds the same record as a zlib stream (RFC 1950). Configurations for other processes have the same
//! two forms.

use std::sync::Arc;

use ciborium::Value;
use miniz_oxide::deflate::compress_to_vec_zlib;
use miniz_oxide::inflate::decompress_to_vec_zlib_with_limit;
use rosemaryworks_workflow::{Address, Id, Record, State};
use serde::Deserialize;

use crate::config::Config;
use crate::events;

/// Size in bytes from which a submission is compressed. The log accepts records of 256 KiB.
const COMPRESSED_FROM_BYTES: usize = 64 * 1024;

/// Size of encoded records that are decoded or encoded without a pause, in bytes. A VM with a tenth of a
/// core takes a small part of a claim's life for them.
pub(crate) const CHUNK_BYTES: usize = 32 * 1024;

/// Upper bound of the decompressed size of a record in bytes. A legal job takes less than 1 MiB.
const DECOMPRESSED_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Level of compression, from 0 to 10.
const LEVEL: u8 = 3;

/// Encodes a record.
pub(crate) fn encode(record: &Record) -> Vec<u8> {
    let plain = encode_plain(record);
    let is_submission = matches!(record, Record::Submitted { .. });
    match is_submission && plain.len() >= COMPRESSED_FROM_BYTES {
        true => write(&Value::Bytes(compress_to_vec_zlib(&plain, LEVEL))),
        false => plain,
    }
}

/// Decodes a record; `None` if it is malformed.
pub(crate) fn decode(bytes: &[u8]) -> Option<Record> {
    let mut rest = bytes;
    decode_next(&mut rest)
        .inspect_err(|error| {
            events::RECORD_SKIPPED.log(format_args!("bytes={} {error}", bytes.len()));
        })
        .ok()
}

/// Identifier of a submission. Decoding it skips the specification.
#[derive(Deserialize)]
enum Submission {
    #[serde(rename = "j")]
    Submitted {
        #[serde(rename = "i")]
        id: Id,
    },
}

/// The part of a submission that outlives the end of its job. Decoding it skips the steps.
#[derive(Deserialize)]
enum Origin {
    #[serde(rename = "j")]
    Submitted {
        #[serde(rename = "i")]
        id: Id,
        #[serde(rename = "s")]
        spec: Retained,
    },
}

#[derive(Deserialize)]
struct Retained {
    #[serde(default, rename = "at")]
    address: Address,
    #[serde(default)]
    team: Option<Arc<str>>,
}

/// Encodes a configuration as a compressed byte string.
pub(crate) fn encode_config(config: &Config) -> Vec<u8> {
    write(&Value::Bytes(compress_to_vec_zlib(&write(config), LEVEL)))
}

/// Encodes a configuration in the plain form.
pub(crate) fn encode_plain_config(config: &Config) -> Vec<u8> {
    write(config)
}

/// Decodes a configuration of either form; `None` if it is malformed.
pub(crate) fn decode_config(mut bytes: &[u8]) -> Option<Config> {
    if !is_byte_string(bytes) {
        return ciborium::from_reader(bytes).ok();
    }
    let plain = decompress(&mut bytes).ok()?;
    ciborium::from_reader(plain.as_slice()).ok()
}

/// Returns the job of a compressed submission, whose specification may take a hundred times the memory
/// of the record; `None` for other records.
pub(crate) fn compressed_submission(mut bytes: &[u8]) -> Option<Id> {
    if !is_byte_string(bytes) {
        return None;
    }
    let plain = decompress(&mut bytes).ok()?;
    let Submission::Submitted { id } = ciborium::from_reader(&plain[..]).ok()?;
    Some(id)
}

/// Returns the job of a submission with its address and its team; `None` for other records.
pub(crate) fn origin(mut bytes: &[u8]) -> Option<(Id, Address, Option<Arc<str>>)> {
    let origin = match is_byte_string(bytes) {
        true => ciborium::from_reader(&decompress(&mut bytes).ok()?[..]),
        false => ciborium::from_reader(bytes),
    };
    let Origin::Submitted { id, spec } = origin.ok()?;
    Some((id, spec.address, spec.team))
}

/// Returns the job, its final state and the time of its end, if an encoded record is a
/// [`Record::Final`]: a CBOR map of one entry whose key is `f`.
pub(crate) fn final_state(bytes: &[u8]) -> Option<(Id, State, Option<u64>)> {
    if !bytes.starts_with(&[0xa1, 0x61, b'f']) {
        return None;
    }
    match ciborium::from_reader(bytes).ok()? {
        Record::Final { id, state, at_ms } => Some((id, state, at_ms)),
        _ => None,
    }
}

/// Returns whether an encoded record is a [`Record::Moved`]: a CBOR map of one entry whose key is `h`.
pub(crate) fn is_move(bytes: &[u8]) -> bool {
    bytes.starts_with(&[0xa1, 0x61, b'h'])
}

/// Decodes records that are stored one after the other. Those after a malformed one are left out.
pub(crate) fn decode_all(mut bytes: &[u8]) -> Vec<Record> {
    let mut records = Vec::new();
    while !bytes.is_empty() {
        match decode_next(&mut bytes) {
            Ok(record) => records.push(record),
            Err(error) => {
                events::RECORD_SKIPPED.log(format_args!("stream=state {error}"));
                break;
            }
        }
    }
    records
}

fn encode_plain(record: &Record) -> Vec<u8> {
    write(record)
}

fn write<T: serde::Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(64);
    if let Err(error) = ciborium::into_writer(value, &mut bytes) {
        // Writing to memory fails only for types that have no encoding.
        events::RECORD_FAULTY.log(format_args!("{error}"));
    }
    bytes
}

/// Decodes the first record and advances `bytes` to the next one.
fn decode_next(bytes: &mut &[u8]) -> Result<Record, String> {
    if !is_byte_string(bytes) {
        return ciborium::from_reader(bytes).map_err(|error| error.to_string());
    }
    let plain = decompress(bytes)?;
    ciborium::from_reader(&plain[..]).map_err(|error| error.to_string())
}

/// Decompresses the first record and advances `bytes` to the next one.
fn decompress(bytes: &mut &[u8]) -> Result<Vec<u8>, String> {
    let value: Value = ciborium::from_reader(bytes).map_err(|error| error.to_string())?;
    let compressed = value.into_bytes().unwrap_or_default();
    decompress_to_vec_zlib_with_limit(&compressed, DECOMPRESSED_MAX_BYTES)
        .map_err(|error| error.to_string())
}

/// Returns whether an encoded value is a CBOR byte string (RFC 8949, major type 2).
fn is_byte_string(bytes: &[u8]) -> bool {
    bytes.first().is_some_and(|first| first >> 5 == 2)
}
