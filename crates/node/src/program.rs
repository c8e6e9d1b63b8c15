//! Command line shared by the programs of long-running processes.

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

/// Description of a program for its command line.
#[derive(Clone, Copy, Debug)]
pub struct Program<S> {
    /// Name as printed by `--version`.
    pub name: &'static str,
    /// Version.
    pub version: &'static str,
    /// Environment variable with the path of the settings file, used if the argument is missing.
    pub variable: Option<&'static str>,
    /// Returns the log settings.
    pub log: fn(&S) -> &logging::Settings,
}

impl<S: Check + DeserializeOwned> Program<S> {
    /// Parses the arguments, loads the settings and starts logging.
    ///
    /// # Errors
    ///
    /// Returns the exit code if the program should exit: success if only the version or a check was
    /// requested, and [`settings::EXIT_CODE`] if settings are missing or invalid, after printing
    /// one line for each fault to standard error.
    pub fn prepare(&self) -> Result<S, ExitCode> {
        let arguments: Arguments = argh::from_env();
        if arguments.version {
            println!("{} {}", self.name, self.version);
            return Err(ExitCode::SUCCESS);
        }
        let default_path = self.variable.and_then(std::env::var_os);
        let path = arguments.settings.or(default_path.map(PathBuf::from));
        let path = path.ok_or_else(|| invalid_settings("--settings FILE is missing"))?;
        let settings: S =
            settings::load(&path).map_err(|report| invalid_settings(report.current_context()))?;
        if arguments.check {
            println!("the settings are valid");
            return Err(ExitCode::SUCCESS);
        }
        logging::start((self.log)(&settings))
            .map_err(|report| invalid_settings(report.current_context()))?;
        Ok(settings)
    }
}

fn invalid_settings(reason: impl std::fmt::Display) -> ExitCode {
    eprintln!("{reason}");
    ExitCode::from(settings::EXIT_CODE as u8)
}
