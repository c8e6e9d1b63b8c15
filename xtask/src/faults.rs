//! `cargo xtask faults`: runs the real processes under load, injects faults and checks the recorded
//! histories.

mod context;
mod inject;
mod jobs;
mod kind;
mod operators;
mod processes;
mod proxy;
mod report;
mod requests;
mod schedule;
mod setup;

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use argh::FromArgs;
use error_stack::{Report, ResultExt};
use rosemaryworks_history::file::{self, Writer};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::cluster::ports::Ports;
use crate::cluster::process::{Error, Process};
use crate::cluster::{self, Cluster};
use context::Context;
use inject::Injector;
use kind::Kind;
use operators::Races;
use processes::Processes;
use schedule::{Durations, Entry};

/// Number of concurrent load generators of each kind.
const REQUEST_CALLERS: u64 = 40;
const JOB_CALLERS: u64 = 3;
const OPERATORS: u64 = 4;

/// Time after the end of the load within which every acknowledged job must end.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(90);

const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// run the real processes under load, inject faults and check the recorded histories
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "faults")]
pub(crate) struct Options {
    /// seed of the schedule and the load (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// seconds of faults; about 40 s of planned stops and leaving targets follow (default: 120)
    #[argh(option, default = "120")]
    seconds: u64,
    /// names of faults, separated by commas; names joined by + are injected together (default: all,
    /// singly and in pairs)
    #[argh(option)]
    fault: Option<String>,
    /// seconds of one outage of the log, the fault log-down (default: 60)
    #[argh(option)]
    outage_seconds: Option<u64>,
    /// first of 500 loopback ports (default: 23000)
    #[argh(option, default = "23000")]
    base_port: u16,
    /// folder for settings, logs and histories (default: a new folder under the temporary folder)
    #[argh(option)]
    folder: Option<PathBuf>,
    /// print the schedule and stop
    #[argh(switch)]
    plan: bool,
}

/// Runs the schedule of faults and returns whether every condition was checked and holds.
///
/// # Errors
///
/// Returns an error if a fault is unknown or the deployment can't be started.
pub(crate) async fn run(options: Options) -> Result<bool, Report<Error>> {
    let groups = parse_groups(options.fault.as_deref().unwrap_or_default())?;
    let outage_ms = options.outage_seconds.map(|seconds| seconds * 1_000);
    let durations = Durations {
        total_ms: options.seconds * 1_000,
        outage_ms: outage_ms.unwrap_or(Kind::LogDown.duration_ms()),
    };
    let schedule = schedule::generate(options.seed, durations, groups);
    print_schedule(&schedule);
    if options.plan {
        return Ok(true);
    }
    cluster::build(!cfg!(debug_assertions))?;
    let new_folder =
        || std::env::temp_dir().join(format!("rosemaryworks-faults-{}", std::process::id()));
    let folder = options.folder.clone().unwrap_or_else(new_folder);
    let failed = || Error::new("create the folder", folder.display().to_string());
    std::fs::create_dir_all(&folder).change_context_lazy(failed)?;
    let failed_stops = run_load(&options, &schedule, &folder).await?;
    for name in &failed_stops {
        println!("{name} did not exit with code 0 at the end");
    }
    let paths = [
        folder.join("platform.history.json"),
        driver_history(&folder),
    ];
    let records = file::read(&[&paths[0], &paths[1]]);
    let records = records.change_context_lazy(|| Error::new("read", "the histories"))?;
    let holds = report::print(&records) && failed_stops.is_empty();
    match holds {
        true => drop(std::fs::remove_dir_all(&folder)),
        false => println!("histories and logs are kept in {}", folder.display()),
    }
    Ok(holds)
}

fn driver_history(folder: &Path) -> PathBuf {
    folder.join("driver.history.json")
}

/// Parses a list of fault names separated by commas; names joined by `+` are injected together.
fn parse_groups(names: &str) -> Result<Vec<Vec<Kind>>, Report<Error>> {
    let groups = names.split(',').filter(|group| !group.is_empty());
    groups
        .map(|group| group.split('+').map(parse_kind).collect())
        .collect()
}

fn parse_kind(name: &str) -> Result<Kind, Report<Error>> {
    Kind::find(name).ok_or_else(|| {
        let known: Vec<_> = Kind::ALL.iter().map(|(_, name)| *name).collect();
        let known = format!("known: {}", known.join(", "));
        Report::new(Error::new("find the fault", name)).attach_printable(known)
    })
}

fn print_schedule(schedule: &[Entry]) {
    for entry in schedule {
        println!(
            "{:>7} ms to {:>7} ms  {:<18} choice {:016x}",
            entry.at_ms,
            entry.ends_ms,
            entry.kind.name(),
            entry.choice
        );
    }
}

/// Starts all processes, runs the load and the fault schedule, and stops everything. Returns the
/// names of the processes that did not exit with code 0.
async fn run_load(
    options: &Options,
    schedule: &[Entry],
    folder: &Path,
) -> Result<Vec<String>, Report<Error>> {
    let ports = Ports::new(options.base_port);
    let deployment = setup::deployment();
    let (mut cluster, proxies) =
        setup::start(deployment.clone(), ports, options.base_port, folder).await?;
    let ready = cluster.wait_ready().await?;
    println!("all processes are ready after {} ms", ready.as_millis());
    let failed = || Error::new("create", "the history");
    let history = Writer::create(&driver_history(folder)).change_context_lazy(failed)?;
    let Cluster {
        client,
        mut standin,
        schedulers,
        gateways,
        ..
    } = cluster;
    let context = Arc::new(Context::new(deployment, ports, client, history));
    let processes = Processes::new(context.clone(), gateways, schedulers);
    let injector = Arc::new(Injector {
        processes,
        proxies,
        context: context.clone(),
    });
    let published = operators::publish_initial(&context, &[context::LARGE, context::SMALL]).await;
    published.map_err(|reason| {
        Report::new(Error::new("publish", "contracts")).attach_printable(reason)
    })?;
    let mut load = start_load(&context, options.seed);
    injector.run(Instant::now(), schedule).await;
    injector.proxies.restore_all();
    context.stop();
    finish_load(&mut load).await;
    context.history.flush();
    let mut failed_stops = injector.processes.stop_all().await;
    if !stop_standin(&mut standin).await {
        failed_stops.push("standin".to_owned());
    }
    Ok(failed_stops)
}

fn start_load(context: &Arc<Context>, seed: u64) -> JoinSet<()> {
    let mut load = JoinSet::new();
    // Each load generator has its own seed.
    let mut seeds = (seed << 16)..;
    let mut next_seed = move || seeds.next().unwrap_or_default();
    for _ in 0..REQUEST_CALLERS {
        load.spawn(requests::run(context.clone(), next_seed()));
    }
    for _ in 0..JOB_CALLERS {
        load.spawn(jobs::run(context.clone(), next_seed()));
    }
    let races = Arc::new(Races::default());
    for _ in 0..OPERATORS {
        load.spawn(operators::run(context.clone(), races.clone(), next_seed()));
    }
    for gateway in 0..context.gateways {
        load.spawn(operators::poll_gateway(context.clone(), gateway));
    }
    load.spawn(operators::poll_schedulers(context.clone()));
    load
}

/// Waits for all load generators to end; aborts the remaining ones after [`DRAIN_TIMEOUT`].
async fn finish_load(load: &mut JoinSet<()>) {
    let ended = async { while load.join_next().await.is_some() {} };
    if tokio::time::timeout(DRAIN_TIMEOUT, ended).await.is_err() {
        println!("{} callers still wait for jobs to end", load.len());
        load.abort_all();
    }
}

async fn stop_standin(standin: &mut Process) -> bool {
    standin.terminate();
    standin.wait(STOP_TIMEOUT).await == Some(0)
}
