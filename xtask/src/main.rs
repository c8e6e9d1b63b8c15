//! Project task runner: demo, measurements, fault-injection runs and settings of the examples.

mod cluster;
mod demo;
mod faults;
mod measure;

use std::process::ExitCode;

use argh::FromArgs;
use error_stack::Report;

/// tasks of the project
#[derive(Debug, FromArgs)]
struct Options {
    #[argh(subcommand)]
    task: Task,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Task {
    Demo(demo::Options),
    Faults(faults::Options),
    Measure(measure::Arguments),
    Settings(cluster::settings::Options),
}

fn main() -> ExitCode {
    let options: Options = argh::from_env();
    // Errors are printed for the user of the command line, without backtraces and source locations.
    Report::install_debug_hook::<std::backtrace::Backtrace>(|_, _| {});
    Report::install_debug_hook::<std::panic::Location<'_>>(|_, _| {});
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("tokio runtime can't be started: {error}");
            return ExitCode::FAILURE;
        }
    };
    let result = match options.task {
        Task::Demo(options) => runtime.block_on(demo::run(options)),
        Task::Faults(options) => runtime.block_on(faults::run(options)),
        Task::Measure(options) => return measure::run(&options),
        Task::Settings(options) => cluster::settings::run(&options).map(|()| true),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}
