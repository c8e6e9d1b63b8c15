//! Free loopback ports for tests that pass addresses to a process before it binds them.
//!
//! A port that the system picks for a listener may go to another listener or to an outgoing
//! connection as soon as that listener is closed. These ports lie below the range that the system
//! picks from, and a process takes each of them once.
//!
//! ```
//! use rosemaryworks_standin::port;
//!
//! assert_ne!(port::unused(), port::unused());
//! ```

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};

/// Lowest port that is handed out.
const FIRST: u32 = 10_000;

/// Ports that are handed out, all of them below 32768, where the system's own range begins.
const COUNT: u32 = 10_000;

/// Ports between the first ones of two processes with consecutive ids.
const PER_PROCESS: u32 = 100;

static TAKEN: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address at which nothing listens.
///
/// # Panics
///
/// Panics if all ports of the range are in use.
#[must_use]
pub fn unused() -> SocketAddr {
    let start = std::process::id().wrapping_mul(PER_PROCESS);
    (0..COUNT)
        .map(|_| start.wrapping_add(TAKEN.fetch_add(1, Relaxed)) % COUNT)
        .map(|offset| SocketAddr::from(([127, 0, 0, 1], (FIRST + offset) as u16)))
        .find(|address| TcpListener::bind(address).is_ok())
        .expect("every port of the range is in use")
}
