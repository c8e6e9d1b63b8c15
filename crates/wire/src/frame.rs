//! Frames of a link and their CBOR encoding.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::message::Message;

/// Largest encoded frame in bytes.
pub const FRAME_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Role of a frame in an exchange.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Kind {
    /// Expects a reply with the same id.
    #[serde(rename = "c")]
    Call,
    /// Expects no reply.
    #[serde(rename = "n")]
    Notice,
    /// Answers the call with the same id.
    #[serde(rename = "r")]
    Reply,
}

/// One message between two processes. Frames and frequent messages have short field names on the
/// wire to save bytes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Frame {
    /// Correlates a reply with its call. Chosen by the sender and unique among the frames that it
    /// sends on the link.
    #[serde(rename = "i")]
    pub id: u64,
    /// Role in the exchange.
    #[serde(rename = "k")]
    pub kind: Kind,
    /// Message that the frame carries.
    #[serde(rename = "m")]
    pub message: Message,
}

/// Reason why a frame can't be encoded or decoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// The bytes are not a valid frame, or the frame can't be encoded as CBOR.
    Malformed(String),
    /// The frame has this many bytes, more than [`FRAME_MAX_BYTES`].
    TooLarge(usize),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(reason) => write!(f, "malformed frame: {reason}"),
            Self::TooLarge(bytes) => {
                write!(
                    f,
                    "frame of {bytes} bytes exceeds the limit of {FRAME_MAX_BYTES} bytes"
                )
            }
        }
    }
}

impl std::error::Error for Error {}

impl Frame {
    /// Encodes the frame.
    ///
    /// # Errors
    ///
    /// Returns [`Error::TooLarge`] if the encoded frame exceeds [`FRAME_MAX_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let mut bytes = Vec::with_capacity(128);
        ciborium::into_writer(self, &mut bytes).map_err(|e| Error::Malformed(e.to_string()))?;
        match bytes.len() {
            len if len > FRAME_MAX_BYTES => Err(Error::TooLarge(len)),
            _ => Ok(bytes),
        }
    }

    /// Decodes a frame.
    ///
    /// # Errors
    ///
    /// Returns [`Error::TooLarge`] if there are more than [`FRAME_MAX_BYTES`] bytes, and
    /// [`Error::Malformed`] if they are not a frame.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        if bytes.len() > FRAME_MAX_BYTES {
            return Err(Error::TooLarge(bytes.len()));
        }
        ciborium::from_reader(bytes).map_err(|e| Error::Malformed(e.to_string()))
    }
}
