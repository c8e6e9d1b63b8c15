//! Non-blocking log appender for standard output.
//!
//! Lines are collected in a bounded buffer, which a background thread writes. If the buffer is
//! full, lines are dropped and counted, so that logging never blocks the process.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use log::Record;
use log4rs::append::Append;
use log4rs::encode::Encode;
use log4rs::encode::writer::simple::SimpleWriter;

/// Capacity of the buffer in bytes.
const BUFFER_MAX_BYTES: usize = 512 * 1024;

/// Delay between the first buffered line and the write. Fewer, larger writes cost less.
const WRITE_DELAY: Duration = Duration::from_millis(50);

#[derive(Debug, Default)]
struct Buffer {
    lines: Vec<u8>,
    dropped: u64,
}

#[derive(Debug, Default)]
struct SharedBuffer {
    buffer: Mutex<Buffer>,
    not_empty: Condvar,
}

impl SharedBuffer {
    fn buffer(&self) -> MutexGuard<'_, Buffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the buffer has lines.
    fn wait_for_lines(&self) {
        let mut buffer = self.buffer();
        while buffer.lines.is_empty() {
            let guard = self.not_empty.wait(buffer);
            buffer = guard.unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Writes the buffered lines. Takes them under the lock of standard output, so that no line
    /// taken by another thread is still unwritten when this returns.
    fn write(&self) {
        let mut out = io::stdout().lock();
        let buffer = std::mem::take(&mut *self.buffer());
        // If standard output is closed, the error can't be reported anywhere.
        let _ = out.write_all(&buffer.lines);
        if buffer.dropped > 0 {
            let _ = writeln!(out, "E105 log lines dropped: count={}", buffer.dropped);
        }
        let _ = out.flush();
    }
}

/// Log appender that never blocks its caller.
#[derive(Debug)]
pub(crate) struct Queue {
    encoder: Box<dyn Encode>,
    shared: Arc<SharedBuffer>,
}

impl Queue {
    /// Starts the writer thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be started.
    pub(crate) fn start(encoder: Box<dyn Encode>) -> io::Result<Self> {
        let shared = Arc::new(SharedBuffer::default());
        let writer = shared.clone();
        let thread = std::thread::Builder::new().name("log".to_owned());
        thread.spawn(move || {
            loop {
                writer.wait_for_lines();
                std::thread::sleep(WRITE_DELAY);
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
        let was_empty = buffer.lines.is_empty();
        buffer.lines.extend_from_slice(&line.0);
        drop(buffer);
        if was_empty {
            self.shared.not_empty.notify_one();
        }
        Ok(())
    }

    fn flush(&self) {
        self.shared.write();
    }
}
