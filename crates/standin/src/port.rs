//! Unused loopback ports for tests that pass addresses to a process before it binds them.
//!
//! An ephemeral port found by binding and closing a listener may be reassigned to another listener
//! or to an outgoing connection before the process binds it. These ports lie below the ephemeral
//! range, and a test process takes each of them once.
//!
//! ```
//! use rosemaryworks_standin::port;
//!
//! assert_ne!(port::unused(), port::unused());
//! ```

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};

/// Lowest port of the range.
const FIRST: u32 = 10_000;

/// Number of ports in the range. All of them are below 32768, where the ephemeral range begins.
const COUNT: u32 = 10_000;

/// Distance between the first ports of two processes with consecutive ids.
const PER_PROCESS: u32 = 100;

/// Number of ports that this process has tried.
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
