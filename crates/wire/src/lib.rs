//! Protocol between the processes of rosemaryworks: messages, their encoding and the transport.
//!
//! A [`Frame`] is one CBOR item in one WebSocket binary message. A call is answered by a reply with
//! the same id; a notice has no reply.

pub mod command;
mod compact;
mod frame;
pub mod link;
mod message;
pub mod workflow;

pub use frame::{Error, FRAME_MAX_BYTES, Frame, Kind};
pub use message::{
    Heartbeat, Hello, Inspected, Message, Role, Snapshot, Submission, Verdict, View,
};
