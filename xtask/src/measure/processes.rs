//! Measures real processes: what control costs, and how fast a shard is served again.
//!
//! These scenarios take minutes and the whole machine, so they run only when named.

mod control;
mod operator;
mod recovery;
mod sample;

use std::path::PathBuf;

use error_stack::{Report, ResultExt};

use super::table::Row;
use crate::cluster::Cluster;
use crate::cluster::deployment::Deployment;
use crate::cluster::ports::Ports;
use crate::cluster::process::Error;

/// Names of the scenarios.
pub(crate) const NAMES: [&str; 2] = ["control", "recovery"];

/// First of the loopback ports taken.
const BASE_PORT: u16 = 25_000;

/// Runs a scenario with one seed.
pub(crate) fn run(name: &str, seed: u64) -> Result<Vec<Row>, Report<Error>> {
    let failed = || Error::new("start a runtime for", name.to_owned());
    let runtime = tokio::runtime::Runtime::new().change_context_lazy(failed)?;
    crate::cluster::build(!cfg!(debug_assertions))?;
    match name {
        "control" => runtime.block_on(control::rows()),
        _ => runtime.block_on(recovery::rows(seed)),
    }
}

/// Starts a deployment and waits until its shards have owners.
async fn start(deployment: Deployment, name: &str) -> Result<(Cluster, PathBuf), Report<Error>> {
    let folder = format!("rosemaryworks-measure-{}", std::process::id());
    let folder = std::env::temp_dir().join(folder).join(name);
    std::fs::create_dir_all(&folder)
        .change_context_lazy(|| Error::new("create", folder.display().to_string()))?;
    let mut cluster = Cluster::start(deployment, Ports::new(BASE_PORT), &folder)?;
    cluster.ready().await?;
    operator::Operator::new(&cluster).owned().await?;
    Ok((cluster, folder))
}
