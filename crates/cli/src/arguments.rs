//! Command-line arguments of `rosemaryctl`.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

/// Exit code for an invalid command line.
pub(crate) const USAGE: u8 = 2;

/// Operates a rosemaryworks cell over its administration API.
#[derive(FromArgs)]
pub(crate) struct Arguments {
    /// address of the administration API, such as 127.0.0.1:8081 (or ROSEMARY_SERVER)
    #[argh(option, arg_name = "ADDRESS")]
    pub(crate) server: Option<String>,
    /// operator key (or ROSEMARY_KEY, which other users of the machine can't see)
    #[argh(option, arg_name = "KEY")]
    pub(crate) key: Option<String>,
    /// print JSON instead of a table
    #[argh(switch)]
    pub(crate) json: bool,
    #[argh(subcommand)]
    pub(crate) command: Command,
}

/// Subcommands.
#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Audit(Audit),
    Cell(Cell),
    Contracts(Contracts),
    Diff(Diff),
    Drain(Drain),
    Jobs(Jobs),
    Publish(Publish),
    Rollout(Rollout),
    Show(Show),
    Targets(Targets),
    Tasks(Tasks),
    Undrain(Undrain),
}

/// Show the audit trail: changes and refusals.
#[derive(FromArgs)]
#[argh(subcommand, name = "audit")]
pub(crate) struct Audit {
    /// maximum number of entries of each kind (default 100)
    #[argh(option, default = "100", arg_name = "COUNT")]
    pub(crate) limit: usize,
}

/// Show the shards with their owners.
#[derive(FromArgs)]
#[argh(subcommand, name = "cell")]
pub(crate) struct Cell {}

/// List the contracts in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "contracts")]
pub(crate) struct Contracts {}

/// Compare two revisions of a contract.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct Diff {
    #[argh(positional)]
    pub(crate) name: String,
    /// older revision
    #[argh(option, arg_name = "REVISION")]
    pub(crate) from: u64,
    /// newer revision
    #[argh(option, arg_name = "REVISION")]
    pub(crate) to: u64,
}

/// Put a target out of service.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct Drain {
    #[argh(positional)]
    pub(crate) target: String,
    /// identifier of the change; repeat it to learn the verdict of a change that was not confirmed
    #[argh(option, arg_name = "ID")]
    pub(crate) id: Option<String>,
}

/// Put a drained target back into service.
#[derive(FromArgs)]
#[argh(subcommand, name = "undrain")]
pub(crate) struct Undrain {
    #[argh(positional)]
    pub(crate) target: String,
    /// identifier of the change; repeat it to learn the verdict of a change that was not confirmed
    #[argh(option, arg_name = "ID")]
    pub(crate) id: Option<String>,
}

/// List the jobs.
#[derive(FromArgs)]
#[argh(subcommand, name = "jobs")]
pub(crate) struct Jobs {}

/// Publish a contract, or a new revision of it.
#[derive(FromArgs)]
#[argh(subcommand, name = "publish")]
pub(crate) struct Publish {
    /// file with the contract in JSON
    #[argh(positional)]
    pub(crate) file: PathBuf,
    /// revision in force that the change is based on; 0 for a new contract
    #[argh(option, arg_name = "REVISION")]
    pub(crate) expected: u64,
    /// identifier of the change; repeat it to learn the verdict of a change that was not confirmed
    #[argh(option, arg_name = "ID")]
    pub(crate) id: Option<String>,
}

/// Show the revisions in force at the schedulers and at the gateway that responds.
#[derive(FromArgs)]
#[argh(subcommand, name = "rollout")]
pub(crate) struct Rollout {}

/// Show a contract.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct Show {
    #[argh(positional)]
    pub(crate) name: String,
    /// show the keys in full
    #[argh(switch)]
    pub(crate) keys: bool,
    /// show an earlier revision
    #[argh(option, arg_name = "REVISION")]
    pub(crate) revision: Option<u64>,
}

/// List the targets.
#[derive(FromArgs)]
#[argh(subcommand, name = "targets")]
pub(crate) struct Targets {}

/// List the tasks of a job.
#[derive(FromArgs)]
#[argh(subcommand, name = "tasks")]
pub(crate) struct Tasks {
    #[argh(positional)]
    pub(crate) contract: String,
    #[argh(positional)]
    pub(crate) job: String,
}

/// Parses the command line. Returns the exit code if it printed help, the version or an error.
pub(crate) fn parse() -> Result<Arguments, ExitCode> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments
        .first()
        .is_some_and(|argument| argument == "--version")
    {
        println!("rosemaryctl {}", env!("CARGO_PKG_VERSION"));
        return Err(ExitCode::SUCCESS);
    }
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    Arguments::from_args(&["rosemaryctl"], &arguments).map_err(|exit| match exit.status {
        Ok(()) => {
            println!("{}", exit.output);
            ExitCode::SUCCESS
        }
        Err(()) => {
            eprintln!("{}", exit.output.trim_end());
            ExitCode::from(USAGE)
        }
    })
}
