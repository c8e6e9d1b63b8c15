//! History files in JSON Lines format: one record per line.

use std::fmt;
use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use crate::record::{Event, Record};

/// Returns the Unix time in microseconds.
#[must_use]
pub fn unix_us() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}

/// Writer of a history file. The default writer has no file and discards every record.
#[derive(Debug, Default)]
pub struct Writer(Option<Mutex<BufWriter<File>>>);

impl Writer {
    /// Creates a history file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be created.
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = File::create(path)?;
        Ok(Self(Some(Mutex::new(BufWriter::new(file)))))
    }

    /// Appends an event with the current time.
    pub fn record(&self, event: Event) {
        let Some(file) = &self.0 else { return };
        let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
        // The time is read under the lock, so the times in a file never decrease.
        let record = Record {
            at_us: unix_us(),
            event,
        };
        let mut line = serde_json::to_vec(&record).expect("records serialize to JSON");
        line.push(b'\n');
        // Write errors are ignored: they shorten the history, and a check without events fails.
        let _ = file.write_all(&line);
    }

    /// Flushes buffered records to the operating system.
    pub fn flush(&self) {
        if let Some(file) = &self.0 {
            let _ = file.lock().unwrap_or_else(PoisonError::into_inner).flush();
        }
    }
}

/// Error reading a history file.
#[derive(Debug)]
pub struct Error {
    /// Path of the file.
    pub path: String,
    /// Number of the line at fault; `None` if the file can't be opened.
    pub line: Option<usize>,
    /// Cause of the error.
    pub reason: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            Some(line) => write!(f, "history {} line {line}: {}", self.path, self.reason),
            None => write!(f, "history {}: {}", self.path, self.reason),
        }
    }
}

impl std::error::Error for Error {}

/// Reads history files and merges them in time order.
///
/// # Errors
///
/// Returns an error if a file can't be read or contains a malformed line. An incomplete last line is
/// ignored: its writer was stopped during the write.
pub fn read(paths: &[&Path]) -> Result<Vec<Record>, Error> {
    let mut records = Vec::new();
    for path in paths {
        records.extend(read_file(path)?);
    }
    records.sort_by_key(|record| record.at_us);
    Ok(records)
}

fn read_file(path: &Path) -> Result<Vec<Record>, Error> {
    let error = |line, reason: String| Error {
        path: path.display().to_string(),
        line,
        reason,
    };
    let file = File::open(path).map_err(|fault| error(None, fault.to_string()))?;
    let mut reader = BufReader::new(file);
    let mut records = Vec::new();
    let mut line = String::new();
    for number in 1.. {
        line.clear();
        let count = reader.read_line(&mut line);
        count.map_err(|fault| error(Some(number), fault.to_string()))?;
        if !line.ends_with('\n') {
            break;
        }
        let record = serde_json::from_str(&line);
        records.push(record.map_err(|fault| error(Some(number), fault.to_string()))?);
    }
    Ok(records)
}
