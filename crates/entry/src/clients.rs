//! Bounds of what clients make the process hold: connections, and memory for their requests.
//!
//! The kernels in this folder do no I/O. The adapter reports connections and bytes, and carries out
//! the decisions.

mod bodies;
mod connections;
mod guard;
mod limits;
mod terms;
mod weight;

pub use bodies::{Bodies, Grant};
pub use connections::{Connections, Entry};
pub use guard::{BodyGuard, Clients, Refusal};
pub use limits::{LINK_BUFFER_BYTES, Limits, Listener, SOCKET_BUFFER_BYTES};
pub use terms::Terms;
pub use weight::{decoded_max_bytes, steps_max};
