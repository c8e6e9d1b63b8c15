//! Log lines on their way to standard output.
//!
//! Lines are gathered in a bounded buffer, which a thread writes. A line that finds the buffer full
//! is dropped and counted, so that logging never blocks the process.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use log::Record;
use log4rs::append::Append;
use log4rs::encode::Encode;
use log4rs::encode::writer::simple::SimpleWriter;

/// Bytes that wait for the reader, at most.
const BUFFER_MAX_BYTES: usize = 512 * 1024;

/// Time for which lines are gathered before they are written. Fewer, larger writes cost less.
const GATHER: Duration = Duration::from_millis(50);

#[derive(Debug, Default)]
struct Buffer {
    lines: Vec<u8>,
    dropped: u64,
}

#[derive(Debug, Default)]
struct Shared {
    buffer: Mutex<Buffer>,
    arrived: Condvar,
}

impl Shared {
    fn buffer(&self) -> MutexGuard<'_, Buffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for lines.
    fn wait(&self) {
        let mut buffer = self.buffer();
        while buffer.lines.is_empty() {
            let waited = self.arrived.wait(buffer);
            buffer = waited.unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Writes what waits. Lines are taken under the lock of standard output, so that none is on its
    /// way to be written when this returns.
    fn write(&self) {
        let mut out = io::stdout().lock();
        let buffer = std::mem::take(&mut *self.buffer());
        // Without a reader there is nobody to tell.
        let _ = out.write_all(&buffer.lines);
        if buffer.dropped > 0 {
            let _ = writeln!(out, "E105 log lines dropped: count={}", buffer.dropped);
        }
        let _ = out.flush();
    }
}

/// Appender that never blocks.
#[derive(Debug)]
pub(crate) struct Queue {
    encoder: Box<dyn Encode>,
    shared: Arc<Shared>,
}

impl Queue {
    /// Starts the writing thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be started.
    pub(crate) fn start(encoder: Box<dyn Encode>) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let writer = shared.clone();
        let thread = std::thread::Builder::new().name("log".to_owned());
        thread.spawn(move || {
            loop {
                writer.wait();
                std::thread::sleep(GATHER);
                writer.write();
            }
        })?;
        Ok(Self { encoder, shared })
    }
}

impl Append for Queue {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::with_capacity(200));
        self.encoder.encode(&mut line, record)?;
        let mut buffer = self.shared.buffer();
        if buffer.lines.len() + line.0.len() > BUFFER_MAX_BYTES {
            buffer.dropped += 1;
            return Ok(());
        }
        let idle = buffer.lines.is_empty();
        buffer.lines.extend_from_slice(&line.0);
        drop(buffer);
        if idle {
            self.shared.arrived.notify_one();
        }
        Ok(())
    }

    fn flush(&self) {
        self.shared.write();
    }
}
