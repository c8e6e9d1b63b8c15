//! `cargo xtask demo`: starts a deployment on loopback and checks one request or job of each kind.

mod caller;
mod contract;

use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use error_stack::{Report, ResultExt};

use crate::cluster::deployment::Deployment;
use crate::cluster::ports::Ports;
use crate::cluster::process::Error;
use crate::cluster::{self, Cluster};
use caller::Caller;

/// Timeout of one step.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);

/// start the stand-in and one deployment on loopback, and run one of each kind of work
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub(crate) struct Options {
    /// deployment: avvolgi or dala (default: both, one after the other)
    #[argh(option)]
    deployment: Option<String>,
    /// first of 400 loopback ports (default: 21000)
    #[argh(option, default = "21000")]
    base_port: u16,
    /// folder for settings and logs (default: a new folder under the temporary folder)
    #[argh(option)]
    folder: Option<PathBuf>,
}

/// One step of the demo, printed as a line of the table.
struct Row {
    step: String,
    expected: &'static str,
    outcome: String,
    elapsed: Duration,
}

impl Row {
    fn is_expected(&self) -> bool {
        self.outcome == self.expected
    }
}

/// Runs the demo and returns whether every step had the expected outcome.
///
/// # Errors
///
/// Returns an error if the deployment can't be started.
pub(crate) async fn run(options: Options) -> Result<bool, Report<Error>> {
    let names = match &options.deployment {
        Some(name) => vec![name.as_str()],
        None => vec!["avvolgi", "dala"],
    };
    cluster::build(!cfg!(debug_assertions))?;
    let mut all_expected = true;
    for name in names {
        let deployment = Deployment::find(name).ok_or_else(|| {
            Report::new(Error::new("find the deployment", name))
                .attach_printable("known: avvolgi, dala")
        })?;
        let folder = match &options.folder {
            Some(folder) => folder.join(name),
            None => std::env::temp_dir()
                .join(format!("rosemaryworks-demo-{}", std::process::id()))
                .join(name),
        };
        all_expected &= run_deployment(deployment, Ports::new(options.base_port), &folder).await?;
    }
    Ok(all_expected)
}

async fn run_deployment(
    deployment: Deployment,
    ports: Ports,
    folder: &std::path::Path,
) -> Result<bool, Report<Error>> {
    println!(
        "deployment {}, logs in {}",
        deployment.name,
        folder.display()
    );
    std::fs::create_dir_all(folder)
        .change_context_lazy(|| Error::new("create the folder", folder.display().to_string()))?;
    let mut cluster = Cluster::start(deployment, ports, folder)?;
    let ready = cluster.wait_ready().await?;
    let mut rows = vec![Row {
        step: format!(
            "{} processes ready",
            1 + cluster.schedulers.len() + cluster.gateways.len()
        ),
        expected: "ready",
        outcome: "ready".to_owned(),
        elapsed: ready,
    }];
    rows.extend(run_steps(&cluster).await);
    let started = std::time::Instant::now();
    let failed = cluster.stop().await;
    rows.push(Row {
        step: "graceful stop of all processes".to_owned(),
        expected: "exit 0",
        outcome: match failed.is_empty() {
            true => "exit 0".to_owned(),
            false => format!("failed: {}", failed.join(", ")),
        },
        elapsed: started.elapsed(),
    });
    print_table(&rows);
    Ok(rows.iter().all(Row::is_expected))
}

async fn run_steps(cluster: &Cluster) -> Vec<Row> {
    let caller = Caller::new(cluster);
    let contract = contract::demo(&cluster.deployment);
    let mut steps = Steps::default();
    let publish = caller.publish(&contract);
    steps
        .run("publish contract demo", "accepted", publish)
        .await;
    let step = "contract in force at every gateway";
    steps.run(step, "in force", caller.wait_at_gateways()).await;
    let step = "contract in force at every scheduler";
    steps
        .run(step, "in force", caller.wait_at_schedulers())
        .await;
    for service in &cluster.deployment.services {
        let name = service.name;
        let step = format!("request to {name}");
        steps.run(&step, "completed", caller.request(name)).await;
        let step = format!("same id again at another gateway ({name})");
        let expected = "unknown: already-dispatched";
        steps.run(&step, expected, caller.repeat(name)).await;
    }
    let batch = caller.job("batch", "cpu", 8);
    steps
        .run("batch job, 8 tasks on cpu", "succeeded", batch)
        .await;
    let gang = caller.job("gang", "gpu", 4);
    steps
        .run("gang job, 4 tasks on gpu", "succeeded", gang)
        .await;
    steps.0
}

/// Steps run so far, with their outcomes.
#[derive(Default)]
struct Steps(Vec<Row>);

impl Steps {
    async fn run(
        &mut self,
        step: &str,
        expected: &'static str,
        outcome: impl Future<Output = String>,
    ) {
        let started = std::time::Instant::now();
        let outcome = tokio::time::timeout(STEP_TIMEOUT, outcome).await;
        let outcome = outcome.unwrap_or_else(|_| "no outcome in time".to_owned());
        self.0.push(Row {
            step: step.to_owned(),
            expected,
            outcome,
            elapsed: started.elapsed(),
        });
    }
}

fn print_table(rows: &[Row]) {
    println!("{:<52} {:<28} {:>9}  result", "step", "outcome", "ms");
    for row in rows {
        let result = if row.is_expected() { "ok" } else { "WRONG" };
        let millis = row.elapsed.as_millis();
        println!("{:<52} {:<28} {millis:>9}  {result}", row.step, row.outcome);
        if !row.is_expected() {
            println!("{:<52} expected: {}", "", row.expected);
        }
    }
}
