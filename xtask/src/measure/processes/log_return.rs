//! Outage of the log under load: compares latency and outcomes seen by callers before, during and
//! after the outage.

mod figures;
mod jobs;
mod load;

use std::time::Duration;

use error_stack::{Report, ResultExt};
use rosemaryworks_history::file;
use serde_json::json;

use super::Options;
use super::operator::{Operator, contract};
use crate::cluster::deployment::dala;
use crate::cluster::process::Error;
use crate::measure::table::Row;
use figures::{Run, Window};
use load::Load;

const CONTRACT: &str = "measure-0";

/// Duration of load before the first window, in which queues and learned run times settle.
const WARM_UP: Duration = Duration::from_secs(6);

/// Length of the windows before and after the outage.
const WINDOW: Duration = Duration::from_secs(10);

/// Time after the last window in which its jobs may still start. Longer than the bound for urgent
/// work, so that a job that has not started has missed the bound.
const START_GRACE: Duration = Duration::from_secs(9);

/// Runs one outage per seed, each with a new deployment, and returns the rows of each.
pub(super) async fn rows(options: &Options) -> Result<Vec<Vec<Row>>, Report<Error>> {
    let mut rows = Vec::new();
    for seed in options.seed..options.seed + options.seeds {
        rows.push(repetition(options, seed).await?);
    }
    Ok(rows)
}

async fn repetition(options: &Options, seed: u64) -> Result<Vec<Row>, Report<Error>> {
    let name = format!("log-return-{seed}");
    let (mut cluster, folder) = super::start(dala(), options, &name).await?;
    let operator = Operator::new(&cluster);
    operator
        .publish(&contract(CONTRACT, &cluster.deployment))
        .await?;
    let duration = WARM_UP + WINDOW * 2 + options.outage;
    for job in jobs::backlog(duration) {
        operator.submit(CONTRACT, &job).await?;
    }
    let load = Load::start(&operator, seed);
    tokio::time::sleep(WARM_UP).await;
    let before = Window::measure(WINDOW).await;
    operator.inject(&json!({ "fault": "log-down" })).await?;
    let during = Window::measure(options.outage).await;
    operator.inject(&json!({ "fault": "log-up" })).await?;
    let after = Window::measure(WINDOW).await;
    let calls = load.stop(START_GRACE).await;
    let failed_stops = cluster.stop().await;
    if let Some(name) = failed_stops.first() {
        return Err(Report::new(Error::new("stop", name.clone())));
    }
    let history = folder.join("platform.history.json");
    let records = file::read(&[&history])
        .change_context_lazy(|| Error::new("read", history.display().to_string()))?;
    // All results are in the rows.
    let _ = std::fs::remove_dir_all(&folder);
    Ok(Run::new(CONTRACT, &calls, &records).rows([before, during, after]))
}
