//! Recovery time of a worker shard: kills its owner and measures the time until an urgent job
//! starts.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use error_stack::{Report, ResultExt};
use rosemaryworks_core::job::{Kind as JobKind, Priority, Spec};
use rosemaryworks_core::partition::Map;
use rosemaryworks_core::shard::{Id, Kind};
use rosemaryworks_core::size::Size;
use serde_json::Value;

use super::Options;
use super::operator::{Operator, contract};
use crate::cluster::Cluster;
use crate::cluster::deployment::dala;
use crate::cluster::process::Error;
use crate::measure::table::Row;

const CONTRACT: &str = "measure-0";
const ROUNDS: usize = 8;
const GATEWAYS: usize = 6;

/// Bound of docs/design.md for the start of urgent work, in milliseconds.
const BOUND_MS: f64 = 8_300.0;

const START_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_PERIOD: Duration = Duration::from_millis(50);
const ROUND_PAUSE: Duration = Duration::from_secs(4);

/// Kills one owner in each round and returns the median and longest time until the urgent job
/// starts.
pub(super) async fn rows(options: &Options) -> Result<Vec<Row>, Report<Error>> {
    let (mut cluster, folder) = super::start(dala(), options, "recovery").await?;
    let operator = Operator::new(&cluster);
    operator
        .publish(&contract(CONTRACT, &cluster.deployment))
        .await?;
    let mut times = Vec::new();
    for round in 0..ROUNDS {
        let shard = Id::pool("cpu", (round % 2) as u32);
        times.push(
            measure_takeover(
                &mut cluster,
                &operator,
                &folder,
                &shard,
                options.seed,
                round,
            )
            .await?,
        );
        tokio::time::sleep(ROUND_PAUSE).await;
        operator.wait_owners().await?;
    }
    cluster.stop().await;
    times.sort_unstable_by(f64::total_cmp);
    let median = times[times.len() / 2];
    let longest = times[times.len() - 1];
    let bound = [("bound", BOUND_MS)];
    Ok(vec![
        Row::new(
            "owner killed: urgent work starts, median ms",
            median,
            &bound,
        ),
        Row::new(
            "owner killed: urgent work starts, longest ms",
            longest,
            &bound,
        ),
    ])
}

/// Kills the owner of `shard`, submits an urgent job there and returns the milliseconds from the
/// kill to the start of the job's task.
async fn measure_takeover(
    cluster: &mut Cluster,
    operator: &Operator,
    folder: &Path,
    shard: &Id,
    seed: u64,
    round: usize,
) -> Result<f64, Report<Error>> {
    let owners = operator.owners(0).await?;
    let owner = owners.get(&shard.to_string()).cloned();
    let owner =
        owner.ok_or_else(|| Report::new(Error::new("find the owner", shard.to_string())))?;
    let index = cluster
        .schedulers
        .iter()
        .position(|process| process.name() == owner);
    let index = index.ok_or_else(|| Report::new(Error::new("find the process", owner.clone())))?;
    let job = urgent_job(cluster, shard, seed, round);
    cluster.schedulers[index].kill();
    let killed_us = unix_us();
    submit(operator, index, &job).await?;
    let started_us = wait_start(folder, &job.id).await?;
    cluster.schedulers[index].restart()?;
    Ok((started_us.saturating_sub(killed_us)) as f64 / 1_000.0)
}

/// Returns an urgent job whose id is assigned to `shard`.
fn urgent_job(cluster: &Cluster, shard: &Id, seed: u64, round: usize) -> Spec {
    let pools = cluster.deployment.pools.iter();
    let pools = pools.map(|pool| (pool.name.into(), pool.shards)).collect();
    let map = Map {
        pools,
        services: BTreeMap::new(),
    };
    let ids = (0..).map(|number| format!("urgent-{seed}-{round}-{number}"));
    let shard_of = |id: &String| map.shard_of_key(Kind::Pool, &shard.group, CONTRACT, id, u64::MAX);
    let id = ids
        .into_iter()
        .find(|id| shard_of(id).as_ref() == Some(shard));
    Spec {
        id: id.unwrap_or_default().into(),
        kind: JobKind::Batch,
        pool: shard.group.clone(),
        tasks: 1,
        size: Size::new(1_000, 512),
        run_ms: 100,
        priority: Priority::Urgent,
        deadline_ms: None,
        restart: true,
        work: None,
        payload: None,
    }
}

/// Retries the submission of the job, through a gateway on another VM, until it is accepted.
async fn submit(operator: &Operator, killed: usize, job: &Spec) -> Result<(), Report<Error>> {
    let started = Instant::now();
    let body = serde_json::to_string(job).unwrap_or_default();
    let headers = [("rosemary-contract", CONTRACT)];
    loop {
        let gateway = (killed + 1) % GATEWAYS;
        let answer = operator
            .call(gateway, "POST", "/v1/jobs", &headers, body.clone())
            .await;
        match answer {
            Ok(_) => return Ok(()),
            Err(report) if started.elapsed() > START_TIMEOUT => return Err(report),
            Err(_) => tokio::time::sleep(POLL_PERIOD).await,
        }
    }
}

/// Returns the Unix time in microseconds at which a worker granted the lease of the job's task.
async fn wait_start(folder: &Path, job: &str) -> Result<u64, Report<Error>> {
    let history = folder.join("platform.history.json");
    let failed = || {
        Error::new(
            "find the start of the job in",
            history.display().to_string(),
        )
    };
    let polling_since = Instant::now();
    let task = format!("{CONTRACT}/{job}/0");
    while polling_since.elapsed() < START_TIMEOUT {
        let text = std::fs::read_to_string(&history).change_context_lazy(failed)?;
        let granted = text
            .lines()
            .rev()
            .find(|line| line.contains("\"lease-granted\"") && line.contains(&task));
        if let Some(line) = granted {
            let event: Value = serde_json::from_str(line).change_context_lazy(failed)?;
            return event["at_us"].as_u64().ok_or_else(|| Report::new(failed()));
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
    Err(Report::new(failed()))
}

fn unix_us() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}
