//! The command line that the programs of long-running processes share.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use serde::de::DeserializeOwned;

use crate::logging;
use crate::settings::{self, Check};

/// Runs a process of rosemaryworks with the settings of a file.
#[derive(FromArgs)]
struct Arguments {
    /// settings file in JSON
    #[argh(option, arg_name = "FILE")]
    settings: Option<PathBuf>,
    /// only check the settings
    #[argh(switch)]
    check: bool,
    /// print the version
    #[argh(switch)]
    version: bool,
}

/// What the command line of a program needs to know of it.
#[derive(Clone, Copy, Debug)]
pub struct Program<S> {
    /// Name, as `--version` prints it.
    pub name: &'static str,
    /// Version.
    pub version: &'static str,
    /// Variable of the environment that names the settings file if no argument does.
    pub variable: Option<&'static str>,
    /// Settings of the logs.
    pub log: fn(&S) -> &logging::Settings,
}

impl<S: Check + DeserializeOwned> Program<S> {
    /// Reads the arguments, loads the settings and starts the logs.
    ///
    /// # Errors
    ///
    /// Returns the code with which the program is to end: success if only the version or a check
    /// was asked for, and [`settings::EXIT_CODE`] if settings are missing or faulty, after a line
    /// for each fault on standard error.
    pub fn prepare(&self) -> Result<S, ExitCode> {
        let arguments: Arguments = argh::from_env();
        if arguments.version {
            println!("{} {}", self.name, self.version);
            return Err(ExitCode::SUCCESS);
        }
        let named = self.variable.and_then(std::env::var_os);
        let path = arguments.settings.or(named.map(PathBuf::from));
        let path = path.ok_or_else(|| faulty("--settings FILE is missing"))?;
        let settings: S =
            settings::load(&path).map_err(|report| faulty(report.current_context()))?;
        if arguments.check {
            println!("the settings are valid");
            return Err(ExitCode::SUCCESS);
        }
        logging::start((self.log)(&settings)).map_err(|report| faulty(report.current_context()))?;
        Ok(settings)
    }
}

fn faulty(reason: impl std::fmt::Display) -> ExitCode {
    eprintln!("{reason}");
    ExitCode::from(settings::EXIT_CODE as u8)
}
