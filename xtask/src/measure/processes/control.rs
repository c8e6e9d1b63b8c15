//! CPU, memory and link traffic of each process, at the base size and with one dimension increased
//! at a time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use error_stack::Report;
use rosemaryworks_core::job::{Kind, Priority, Spec};
use rosemaryworks_core::size::Size;

use super::Options;
use super::operator::{Operator, contract};
use super::sample::{Costs, sample};
use crate::cluster::deployment::{Deployment, dala};
use crate::cluster::process::Error;
use crate::measure::table::Row;

const WARM_UP: Duration = Duration::from_secs(6);
const MEASURED_PERIOD: Duration = Duration::from_secs(20);
const PUBLISHERS: usize = 50;

/// Time within which an accepted contract must be in force at all processes.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(12);
const RETRY_DELAY: Duration = Duration::from_millis(100);
const CALLERS: usize = 20;

/// Size and load of one run.
#[derive(Clone, Copy, Debug)]
struct Setting {
    name: &'static str,
    cpu_workers: usize,
    contracts: usize,
    tasks: u32,
    /// Requests a second, half of them non-idempotent.
    requests: u32,
}

/// Present size of the deployment with one contract and no load, the baseline of all rows.
const TODAY: Setting = Setting {
    name: "today",
    cpu_workers: 35,
    contracts: 1,
    tasks: 0,
    requests: 0,
};

const SETTINGS: [Setting; 5] = [
    TODAY,
    Setting {
        name: "335 workers",
        cpu_workers: 322,
        ..TODAY
    },
    Setting {
        name: "501 contracts",
        contracts: 501,
        ..TODAY
    },
    Setting {
        name: "2000 tasks",
        tasks: 2_000,
        ..TODAY
    },
    Setting {
        name: "200 requests/s",
        requests: 200,
        ..TODAY
    },
];

/// Measures every setting. The baseline of each row is the setting `today`, without load.
pub(super) async fn rows(options: &Options) -> Result<Vec<Row>, Report<Error>> {
    let mut rows = Vec::new();
    let mut today = None;
    for setting in SETTINGS {
        let costs = measure(options, setting).await?;
        let base = *today.get_or_insert(costs);
        let figures = figures(&costs).into_iter().zip(figures(&base));
        rows.extend(figures.map(|((figure, ours), (_, base))| {
            Row::new(
                format!("{}: {figure}", setting.name),
                ours,
                &[("today", base)],
            )
        }));
    }
    Ok(rows)
}

fn figures(costs: &Costs) -> [(&'static str, f64); 7] {
    [
        ("gateway, % of a core", costs.gateway.cpu_percent),
        ("gateway, MiB", costs.gateway.resident_mb),
        ("gateway, link bytes/s", costs.gateway.link_bytes),
        ("scheduler, % of a core", costs.scheduler.cpu_percent),
        ("scheduler, MiB", costs.scheduler.resident_mb),
        ("scheduler, link bytes/s", costs.scheduler.link_bytes),
        ("appends/s of the deployment", costs.appends),
    ]
}

async fn measure(options: &Options, setting: Setting) -> Result<Costs, Report<Error>> {
    let deployment = Deployment {
        pools: dala()
            .pools
            .into_iter()
            .map(|mut pool| {
                pool.workers = if pool.name == "cpu" {
                    setting.cpu_workers
                } else {
                    pool.workers
                };
                pool
            })
            .collect(),
        ..dala()
    };
    let name = setting.name.replace([' ', '/'], "-");
    let (mut cluster, folder) = super::start(deployment, options, &name).await?;
    let operator = Operator::new(&cluster);
    publish(&operator, &cluster.deployment, setting.contracts).await?;
    if setting.tasks > 0 {
        submit(&operator, &long_running_job(setting.tasks)).await?;
    }
    let load = tokio::spawn(load(
        operator,
        setting.requests,
        WARM_UP + MEASURED_PERIOD * 2,
    ));
    tokio::time::sleep(WARM_UP).await;
    let costs = sample(&cluster, &folder, MEASURED_PERIOD).await;
    load.abort();
    let failed = cluster.stop().await;
    if let Some(name) = failed.first() {
        return Err(Report::new(Error::new("stop", name.clone())));
    }
    costs
}

async fn publish(
    operator: &Operator,
    deployment: &Deployment,
    contracts: usize,
) -> Result<(), Report<Error>> {
    let numbers: Vec<usize> = (0..contracts).collect();
    for group in numbers.chunks(PUBLISHERS) {
        let publishes = group.iter().map(|number| {
            let contract = contract(&format!("measure-{number}"), deployment);
            let operator = operator.clone();
            tokio::spawn(async move { operator.publish(&contract).await })
        });
        for publish in publishes.collect::<Vec<_>>() {
            publish
                .await
                .map_err(|_| Report::new(Error::new("publish", "contract")))??;
        }
    }
    Ok(())
}

/// Submits a job, with retries until its contract is in force at the owner of its shard: an
/// accepted contract may reach that scheduler later than the gateway that published it.
async fn submit(operator: &Operator, job: &Spec) -> Result<(), Report<Error>> {
    let started = Instant::now();
    loop {
        match operator.submit("measure-0", job).await {
            Err(_) if started.elapsed() < ROLLOUT_TIMEOUT => tokio::time::sleep(RETRY_DELAY).await,
            result => return result,
        }
    }
}

/// Returns a service job, whose tasks run for an hour.
fn long_running_job(tasks: u32) -> Spec {
    Spec {
        id: "watchers".into(),
        kind: Kind::Service,
        pool: "cpu".into(),
        tasks,
        size: Size::new(100, 64),
        run_ms: 3_600_000,
        priority: Priority::Normal,
        deadline_ms: None,
        restart: true,
        work: None,
        payload: None,
    }
}

/// Sends requests at a constant rate from [`CALLERS`] concurrent callers.
async fn load(operator: Operator, requests: u32, duration: Duration) {
    if requests == 0 {
        return;
    }
    let period = Duration::from_secs(1) * CALLERS as u32 / requests;
    let callers = (0..CALLERS).map(|caller| {
        let operator = operator.clone();
        tokio::spawn(async move { call(&operator, caller, period, duration).await })
    });
    for caller in callers.collect::<Vec<_>>() {
        // Ignores callers that panicked or were aborted.
        let _ = caller.await;
    }
}

async fn call(operator: &Operator, caller: usize, period: Duration, duration: Duration) {
    let started = Instant::now();
    let mut ticks = tokio::time::interval(period);
    let mut number = 0_u64;
    while started.elapsed() < duration {
        ticks.tick().await;
        number += 1;
        let id: Arc<str> = format!("measure-{caller}-{number}").into();
        let idempotent = if number.is_multiple_of(2) {
            "true"
        } else {
            "false"
        };
        let headers = [
            ("rosemary-contract", "measure-0"),
            ("rosemary-request-id", &*id),
            ("rosemary-idempotent", idempotent),
        ];
        let body = format!("{{\"token\":\"{id}\",\"run_ms\":20,\"length\":500}}");
        // Only the cost of the processes is measured; failed requests are counted in their metrics.
        let path = "/v1/services/booking";
        let _ = operator
            .call(caller % 6, "POST", path, &headers, body)
            .await;
    }
}
