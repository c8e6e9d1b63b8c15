//! Samples CPU time, memory and link traffic of the processes of a deployment over a period.

use std::path::Path;
use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt};
use rosemaryworks_node::http::{Client, Request};

use crate::cluster::Cluster;
use crate::cluster::process::{Error, Process};

/// Clock ticks per second of CPU time in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;
const METRICS_TIMEOUT: Duration = Duration::from_secs(5);

/// Counters of one process at one time.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    cpu_seconds: f64,
    resident_mb: f64,
    link_bytes: f64,
}

/// Mean cost of one process of a role.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Cost {
    /// Percentage of one core.
    pub(super) cpu_percent: f64,
    /// Resident memory in MiB at the end.
    pub(super) resident_mb: f64,
    /// Bytes a second sent and received on links.
    pub(super) link_bytes: f64,
}

/// Costs of a deployment.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Costs {
    pub(super) gateway: Cost,
    pub(super) scheduler: Cost,
    /// Appends a second of the whole deployment.
    pub(super) appends: f64,
}

/// Returns the costs of a deployment over `period`.
pub(super) async fn sample(
    cluster: &Cluster,
    folder: &Path,
    period: Duration,
) -> Result<Costs, Report<Error>> {
    let history = folder.join("platform.history.json");
    let appends = count_appends(&history)?;
    let (gateways, schedulers) = totals(cluster).await?;
    let started = Instant::now();
    tokio::time::sleep(period).await;
    let (later_gateways, later_schedulers) = totals(cluster).await?;
    let seconds = started.elapsed().as_secs_f64();
    Ok(Costs {
        gateway: cost(&gateways, &later_gateways, seconds),
        scheduler: cost(&schedulers, &later_schedulers, seconds),
        appends: (self::count_appends(&history)? - appends) / seconds,
    })
}

async fn totals(cluster: &Cluster) -> Result<(Vec<Totals>, Vec<Totals>), Report<Error>> {
    let mut gateways = Vec::new();
    for (index, process) in cluster.gateways.iter().enumerate() {
        let port = cluster.ports.gateway_admin(index);
        gateways.push(process_totals(&cluster.client, process, port).await?);
    }
    let mut schedulers = Vec::new();
    for (index, process) in cluster.schedulers.iter().enumerate() {
        let port = cluster.ports.scheduler_status(index);
        schedulers.push(process_totals(&cluster.client, process, port).await?);
    }
    Ok((gateways, schedulers))
}

async fn process_totals(
    client: &Client,
    process: &Process,
    port: u16,
) -> Result<Totals, Report<Error>> {
    let failed = || Error::new("sample", process.name());
    let read = |file: &str| std::fs::read_to_string(format!("/proc/{}/{file}", process.id()));
    let stat = read("stat").change_context_lazy(failed)?;
    let status = read("status").change_context_lazy(failed)?;
    let url = format!("http://127.0.0.1:{port}/metrics");
    let request = Request::new("GET", url, METRICS_TIMEOUT);
    let metrics = client.send(request).await.change_context_lazy(failed)?;
    let metrics = String::from_utf8_lossy(&metrics.body).into_owned();
    Ok(Totals {
        cpu_seconds: cpu_seconds(&stat).ok_or_else(|| Report::new(failed()))?,
        resident_mb: resident_mb(&status).ok_or_else(|| Report::new(failed()))?,
        link_bytes: link_bytes(&metrics),
    })
}

/// Returns user and system time from `/proc/PID/stat`, whose second field is the name in
/// parentheses.
fn cpu_seconds(stat: &str) -> Option<f64> {
    let fields: Vec<&str> = stat.rsplit_once(") ")?.1.split(' ').collect();
    let user: f64 = fields.get(11)?.parse().ok()?;
    let system: f64 = fields.get(12)?.parse().ok()?;
    Some((user + system) / TICKS_PER_SECOND)
}

fn resident_mb(status: &str) -> Option<f64> {
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: f64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kib / 1_024.0)
}

fn link_bytes(metrics: &str) -> f64 {
    let lines = metrics
        .lines()
        .filter(|line| line.starts_with("rosemaryworks_link_bytes"));
    lines
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

fn count_appends(history: &Path) -> Result<f64, Report<Error>> {
    let failed = || Error::new("read", history.display().to_string());
    let text = std::fs::read_to_string(history).change_context_lazy(failed)?;
    Ok(text.matches("\"event\":\"appended\"").count() as f64)
}

fn cost(earlier: &[Totals], later: &[Totals], seconds: f64) -> Cost {
    let count = later.len() as f64;
    let later_mean =
        |figure: &dyn Fn(&Totals) -> f64| later.iter().map(figure).sum::<f64>() / count;
    let earlier_mean =
        |figure: &dyn Fn(&Totals) -> f64| earlier.iter().map(figure).sum::<f64>() / count;
    let rate =
        |figure: &dyn Fn(&Totals) -> f64| (later_mean(figure) - earlier_mean(figure)) / seconds;
    Cost {
        cpu_percent: rate(&|totals| totals.cpu_seconds) * 100.0,
        resident_mb: later_mean(&|totals| totals.resident_mb),
        link_bytes: rate(&|totals| totals.link_bytes),
    }
}
