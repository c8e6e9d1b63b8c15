//! `cargo xtask measure`: runs the production scheduling code on generated load and compares it
//! with baselines in the same run.

mod decisions;
mod fairness;
mod gangs;
mod load;
mod night;
mod packing;
mod pool;
mod processes;
mod routing;
mod stragglers;
mod table;
mod waiting;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;

use table::{Row, Table};

/// Baseline placement policies.
pub(crate) const BASELINES: [&str; 3] = ["fcfs-first-fit", "random", "least-loaded"];
/// Placement policy under measurement.
pub(crate) const OURS: &str = "default";

/// Runs the real decision code on generated load and prints ratios against baselines.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "measure")]
pub(crate) struct Arguments {
    /// name of the only scenario to run
    #[argh(option)]
    scenario: Option<String>,
    /// first seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds (default 5)
    #[argh(option, default = "5")]
    seeds: u64,
    /// seconds for which the log is down in log-return (default 60)
    #[argh(option, default = "60")]
    outage_seconds: u64,
    /// first of 400 loopback ports of scenarios with real processes (default 25000)
    #[argh(option, default = "25000")]
    base_port: u16,
    /// largest number of workers in decisions (default 25000)
    #[argh(option, default = "25000")]
    workers: usize,
    /// file for all figures
    #[argh(option)]
    json: Option<PathBuf>,
}

/// A benchmark scenario.
pub(crate) trait Scenario: Sync {
    /// Returns the name on the command line.
    fn name(&self) -> &'static str;

    /// Returns whether the scenario measures wall-clock time, so that no other may run in parallel.
    fn is_timed(&self) -> bool {
        false
    }

    /// Runs the scenario with one seed.
    fn run(&self, seed: u64) -> Vec<Row>;
}

/// Returns all simulated scenarios.
fn scenarios(workers_max: usize) -> Vec<Box<dyn Scenario>> {
    vec![
        Box::new(decisions::Decisions { workers_max }),
        Box::new(waiting::Waiting),
        Box::new(night::Night),
        Box::new(stragglers::Stragglers),
        Box::new(packing::Packing),
        Box::new(gangs::Gangs),
        Box::new(fairness::Fairness),
        Box::new(routing::OVERLOAD),
        Box::new(routing::BLOCKING),
        Box::new(routing::FAIRNESS),
        Box::new(routing::SPEED),
    ]
}

/// Runs the scenarios and prints the table.
pub(crate) fn run(arguments: &Arguments) -> ExitCode {
    if let Some(name) = &arguments.scenario
        && processes::NAMES.contains(&name.as_str())
    {
        return run_processes(name, arguments);
    }
    let mut selected = scenarios(arguments.workers);
    if let Some(name) = &arguments.scenario {
        selected.retain(|scenario| scenario.name() == name);
    }
    if selected.is_empty() {
        let known = scenarios(arguments.workers);
        let mut names: Vec<_> = known.iter().map(|known| known.name()).collect();
        names.extend(processes::NAMES);
        eprintln!("no such scenario; known are: {}", names.join(", "));
        return ExitCode::from(2);
    }
    if cfg!(debug_assertions) {
        eprintln!("warning: this is a debug build; use --release for figures");
    }
    let seeds: Vec<u64> = (arguments.seed..arguments.seed + arguments.seeds.max(1)).collect();
    let mut table = Table::default();
    for scenario in &selected {
        for rows in measure(scenario.as_ref(), &seeds) {
            table.add(scenario.name(), rows);
        }
    }
    finish(arguments, &table)
}

/// Runs a scenario with real processes.
fn run_processes(name: &str, arguments: &Arguments) -> ExitCode {
    let options = processes::Options {
        base_port: arguments.base_port,
        outage: Duration::from_secs(arguments.outage_seconds),
        seed: arguments.seed,
        seeds: arguments.seeds.max(1),
    };
    match processes::run(name, &options) {
        Ok(runs) => {
            let mut table = Table::default();
            for rows in runs {
                table.add(name, rows);
            }
            finish(arguments, &table)
        }
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

fn finish(arguments: &Arguments, table: &Table) -> ExitCode {
    print!("{table}");
    match arguments.json.as_ref().map(|path| table.write(path)) {
        Some(Err(error)) => {
            eprintln!("figures can't be written: {error}");
            ExitCode::FAILURE
        }
        _ => ExitCode::SUCCESS,
    }
}

fn measure(scenario: &dyn Scenario, seeds: &[u64]) -> Vec<Vec<Row>> {
    if scenario.is_timed() {
        return seeds.iter().map(|seed| scenario.run(*seed)).collect();
    }
    std::thread::scope(|scope| {
        let runs: Vec<_> = seeds
            .iter()
            .map(|seed| scope.spawn(|| scenario.run(*seed)))
            .collect();
        runs.into_iter()
            .map(|run| run.join().expect("scenario panicked"))
            .collect()
    })
}
