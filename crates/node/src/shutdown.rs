//! Shutdown on SIGTERM or SIGINT.

use std::process::exit;
use std::sync::mpsc;
use std::time::Duration;

use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::event;

/// Time for the log line of a stop that didn't end.
const LINE_MAX: Duration = Duration::from_secs(1);

/// The signals that ask for a shutdown. A signal that arrives before [`Signals::install`] ends the
/// process at once.
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

/// Ends the process with code 1 if it is still there `limit` after it was asked to shut down.
///
/// Runs on a thread with a runtime of its own, so that it also ends a process whose other threads
/// are blocked and which doesn't even learn of the signal.
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
        report(limit);
        exit(1);
    })?;
    Ok(())
}

/// Logs that the stop did not end, unless the log itself is blocked.
fn report(limit: Duration) {
    let (sender, logged) = mpsc::channel();
    let thread = std::thread::Builder::new().name("stop-report".to_owned());
    let report = thread.spawn(move || {
        event::STOP_EXCEEDED.log(format_args!("limit_ms={}", limit.as_millis()));
        // The receiver may have stopped waiting.
        let _ = sender.send(());
    });
    if report.is_ok() {
        // The process ends either way.
        let _ = logged.recv_timeout(LINE_MAX);
    }
}
