//! Developer tasks of the workspace: `cargo xtask <task>`.

mod measure;

use std::process::ExitCode;

use argh::FromArgs;

/// Developer tasks of the workspace.
#[derive(Debug, FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    task: Task,
}

/// A task of the developer.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Task {
    Measure(measure::Arguments),
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match arguments.task {
        Task::Measure(arguments) => measure::run(&arguments),
    }
}
