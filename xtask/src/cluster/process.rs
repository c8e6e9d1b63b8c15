//! Child processes: start, signals, exit codes and logs.

use std::fmt;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt};

const EXIT_POLL_PERIOD: Duration = Duration::from_millis(20);
const LOG_TAIL_LINES: usize = 5;

/// A failed operation and the process or file that it concerned.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Error {
    operation: &'static str,
    subject: String,
}

impl Error {
    pub(crate) fn new(operation: &'static str, subject: impl Into<String>) -> Self {
        Self {
            operation,
            subject: subject.into(),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: could not {}", self.subject, self.operation)
    }
}

impl std::error::Error for Error {}

/// A child process. It is killed when dropped.
#[derive(Debug)]
pub(crate) struct Process {
    name: String,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Process {
    /// Starts `program` with a settings file. Its standard output and error are appended to `log`.
    pub(crate) fn start(
        program: &str,
        name: &str,
        settings: &Path,
        log: &Path,
    ) -> Result<Self, Report<Error>> {
        let failed = || Error::new("start", name);
        let current = std::env::current_exe().change_context_lazy(failed)?;
        let program = current.with_file_name(program);
        let child = spawn(&program, settings, log).change_context_lazy(failed)?;
        let (settings, log) = (settings.to_owned(), log.to_owned());
        Ok(Self {
            name: name.to_owned(),
            program,
            settings,
            log,
            child,
        })
    }

    /// Starts the program again; a process that still runs is killed first.
    pub(crate) fn restart(&mut self) -> Result<(), Report<Error>> {
        self.kill();
        let failed = || Error::new("restart", self.name.clone());
        self.child = spawn(&self.program, &self.settings, &self.log).change_context_lazy(failed)?;
        Ok(())
    }

    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Requests a graceful stop with SIGTERM.
    pub(crate) fn terminate(&mut self) {
        self.signal(libc::SIGTERM);
    }

    /// Suspends the process with SIGSTOP.
    pub(crate) fn pause(&mut self) {
        self.signal(libc::SIGSTOP);
    }

    /// Resumes a suspended process with SIGCONT.
    pub(crate) fn resume(&mut self) {
        self.signal(libc::SIGCONT);
    }

    /// Kills the process and waits for its end.
    pub(crate) fn kill(&mut self) {
        // Fails only if the process has exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the exit code if the process has exited, -1 if a signal ended it.
    pub(crate) fn exit_code(&mut self) -> Option<i32> {
        let status = self.child.try_wait().ok()??;
        Some(status.code().unwrap_or(-1))
    }

    /// Waits for the process to exit and returns its exit code, or `None` after `timeout`.
    pub(crate) async fn wait(&mut self, timeout: Duration) -> Option<i32> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(code) = self.exit_code() {
                return Some(code);
            }
            if Instant::now() >= deadline {
                return None;
            }
            tokio::time::sleep(EXIT_POLL_PERIOD).await;
        }
    }

    /// Returns the last lines of the process's log.
    pub(crate) fn log_tail(&self) -> String {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(LOG_TAIL_LINES)..].join("\n")
    }

    #[allow(unsafe_code)]
    fn signal(&mut self, signal: i32) {
        // The id of a process that has exited may have been reused.
        if self.exit_code().is_some() {
            return;
        }
        let Ok(id) = i32::try_from(self.child.id()) else {
            return;
        };
        // SAFETY: `kill` takes plain integers. The child was not reaped by the check above, so the id
        // is not reused.
        unsafe { libc::kill(id, signal) };
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(program: &Path, settings: &Path, log: &Path) -> std::io::Result<Child> {
    let log = File::options().append(true).create(true).open(log)?;
    Command::new(program)
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}
