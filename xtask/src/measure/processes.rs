//! Scenarios with real processes: resource use of the control plane, an outage of the log, and the
//! recovery time of a shard.
//!
//! They take minutes and the whole machine, so each runs only when selected by name.

mod control;
mod log_return;
mod operator;
mod recovery;
mod sample;

use std::path::PathBuf;
use std::time::Duration;

use error_stack::{Report, ResultExt};

use super::table::Row;
use crate::cluster::Cluster;
use crate::cluster::deployment::Deployment;
use crate::cluster::ports::Ports;
use crate::cluster::process::Error;

/// Names of the scenarios.
pub(crate) const NAMES: [&str; 3] = ["control", "log-return", "recovery"];

/// Options of a scenario.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Options {
    /// First of the loopback ports used.
    pub(crate) base_port: u16,
    /// Length of the outage of `log-return`.
    pub(crate) outage: Duration,
    /// First seed.
    pub(crate) seed: u64,
    /// Repetitions of `log-return`.
    pub(crate) seeds: u64,
}

/// Runs a scenario and returns the rows of each repetition.
pub(crate) fn run(name: &str, options: &Options) -> Result<Vec<Vec<Row>>, Report<Error>> {
    let failed = || Error::new("start a runtime for", name.to_owned());
    let runtime = tokio::runtime::Runtime::new().change_context_lazy(failed)?;
    crate::cluster::build(!cfg!(debug_assertions))?;
    match name {
        "control" => Ok(vec![runtime.block_on(control::rows(options))?]),
        "log-return" => runtime.block_on(log_return::rows(options)),
        _ => Ok(vec![runtime.block_on(recovery::rows(options))?]),
    }
}

/// Starts a deployment and waits until its shards have owners.
async fn start(
    deployment: Deployment,
    options: &Options,
    name: &str,
) -> Result<(Cluster, PathBuf), Report<Error>> {
    let folder = format!("rosemaryworks-measure-{}", std::process::id());
    let folder = std::env::temp_dir().join(folder).join(name);
    std::fs::create_dir_all(&folder)
        .change_context_lazy(|| Error::new("create", folder.display().to_string()))?;
    let mut cluster = Cluster::start(deployment, Ports::new(options.base_port), &folder)?;
    cluster.wait_ready().await?;
    operator::Operator::new(&cluster).wait_owners().await?;
    Ok((cluster, folder))
}
