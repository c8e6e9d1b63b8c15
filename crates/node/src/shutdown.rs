//! Graceful shutdown on SIGTERM or SIGINT, with a time limit.

use std::process::exit;
use std::sync::mpsc;
use std::time::Duration;

use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::event;

/// Timeout for logging that the shutdown exceeded its limit.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Handlers of the signals that request a shutdown. A signal that arrives before
/// [`Signals::install`] terminates the process immediately.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Installs the signal handlers. Must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal handlers can't be installed.
    pub fn install() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for SIGTERM or SIGINT.
    pub async fn requested(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if the signal handlers can't be installed.
pub async fn requested() -> std::io::Result<()> {
    Signals::install()?.requested().await;
    Ok(())
}

/// Exits with code 1 if the process is still running `limit` after a shutdown was requested.
///
/// Runs on a separate thread with its own runtime, so that it also ends a process whose other
/// threads are blocked and can't handle the signal.
///
/// # Errors
///
/// Returns an error if the thread can't be started or the signal handlers can't be installed.
pub fn enforce_limit(limit: Duration) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let mut signals = {
        let _guard = runtime.enter();
        Signals::install()?
    };
    let thread = std::thread::Builder::new().name("stop-limit".to_owned());
    thread.spawn(move || {
        runtime.block_on(signals.requested());
        std::thread::sleep(limit);
        report_exceeded(limit);
        exit(1);
    })?;
    Ok(())
}

/// Logs that the shutdown exceeded its limit; stops waiting if logging itself is blocked.
fn report_exceeded(limit: Duration) {
    let (sender, logged) = mpsc::channel();
    let thread = std::thread::Builder::new().name("stop-report".to_owned());
    let started = thread.spawn(move || {
        event::STOP_EXCEEDED.log(format_args!("limit_ms={}", limit.as_millis()));
        // The receiver may have timed out.
        let _ = sender.send(());
    });
    if started.is_ok() {
        // The process exits in either case.
        let _ = logged.recv_timeout(REPORT_TIMEOUT);
    }
}
