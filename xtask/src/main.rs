//! Tasks for developers of the workspace.

mod measure;

use argh::FromArgs;

/// Tasks for developers.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    task: Task,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Task {
    Measure(measure::Args),
}

fn main() {
    let args: Args = argh::from_env();
    match args.task {
        Task::Measure(args) => measure::run(&args),
    }
}
