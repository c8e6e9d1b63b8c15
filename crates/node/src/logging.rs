//! Log settings and the start of log4rs.

use std::path::PathBuf;

use error_stack::{Report, ResultExt};
use log::LevelFilter;
use log4rs::append::Append;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::append::file::FileAppender;
use log4rs::config::{Appender, Logger, Root};
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;
use serde::{Deserialize, Serialize};

use crate::log_queue::Queue;
use crate::settings::Error;

const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {m}{n}";

/// Log target of numbered events. Libraries log under other targets.
const TARGET: &str = "rosemaryworks";

/// Format of the log.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Format {
    /// One JSON object per line.
    Json,
    /// Time, level and message.
    #[default]
    Text,
}

/// Log settings.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Least severe level that is logged: `off`, `error`, `warn`, `info`, `debug` or `trace`.
    pub level: LevelFilter,
    /// File to append to; `None` logs to standard error or standard output.
    pub file: Option<PathBuf>,
    /// Format of log lines.
    pub format: Format,
    /// Whether to write to standard output instead of standard error. A background thread writes,
    /// so that a stalled reader of the output causes dropped lines but never blocks the process.
    pub stdout: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            level: LevelFilter::Info,
            file: None,
            format: Format::Text,
            stdout: false,
        }
    }
}

/// Writes the buffered lines and waits for `limit` at most, so that a stalled reader of the output
/// can't prevent the process from exiting.
pub fn flush(limit: std::time::Duration) {
    let (done, flushed) = std::sync::mpsc::channel();
    let thread = std::thread::Builder::new().name("log-flush".to_owned());
    let started = thread.spawn(move || {
        log::logger().flush();
        // The receiver may have timed out.
        let _ = done.send(());
    });
    if started.is_ok() {
        let _ = flushed.recv_timeout(limit);
    }
}

fn encoder(format: Format) -> Box<dyn Encode> {
    match format {
        Format::Json => Box::new(JsonEncoder::new()),
        Format::Text => Box::new(PatternEncoder::new(PATTERN)),
    }
}

/// Starts logging for the process. Libraries log only warnings and errors, because the HTTP server
/// logs several lines per thread and connection type at `info`.
///
/// # Errors
///
/// Returns an error if the log file can't be opened, the writer thread can't be started or logging
/// was started before.
pub fn start(settings: &Settings) -> Result<(), Report<Error>> {
    let encoder = encoder(settings.format);
    let appender: Box<dyn Append> = match &settings.file {
        None if settings.stdout => Box::new(Queue::start(encoder).change_context_lazy(|| {
            Error::fault("log.stdout", "the writer thread can't be started")
        })?),
        None => Box::new(
            ConsoleAppender::builder()
                .target(Target::Stderr)
                .encoder(encoder)
                .build(),
        ),
        Some(path) => {
            let file = FileAppender::builder().encoder(encoder).build(path);
            Box::new(file.change_context_lazy(|| Error::fault("log.file", "can't be opened"))?)
        }
    };
    let failed = || Error::fault("log", "logging can't be started");
    let libraries = settings.level.min(LevelFilter::Warn);
    let config = log4rs::Config::builder()
        .appender(Appender::builder().build("main", appender))
        .logger(Logger::builder().build(TARGET, settings.level))
        .build(Root::builder().appender("main").build(libraries))
        .change_context_lazy(failed)?;
    log4rs::init_config(config).change_context_lazy(failed)?;
    Ok(())
}
