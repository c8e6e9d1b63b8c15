//! `rosemary-standin`: simulator of the platform for tests and measurements.

use std::path::PathBuf;
use std::process::exit;
use std::sync::Arc;
use std::time::Duration;

use argh::FromArgs;
use rosemaryworks_history::file::Writer;
use rosemaryworks_node::{event, logging, settings, shutdown};
use rosemaryworks_standin::{Platform, Settings, events, server};

/// Interval at which time-driven changes are applied and the history is flushed.
const TICK: Duration = Duration::from_millis(20);

/// Stand-in for the platform: log, list of VMs, workers and service instances.
#[derive(FromArgs)]
struct Arguments {
    /// settings file (JSON)
    #[argh(option)]
    settings: PathBuf,
}

fn main() {
    let arguments: Arguments = argh::from_env();
    let settings = settings::load::<Settings>(&arguments.settings).unwrap_or_else(|report| {
        eprintln!("settings: {}", report.current_context());
        exit(settings::EXIT_CODE);
    });
    if let Err(report) = logging::start(&settings.logging) {
        eprintln!("settings: {}", report.current_context());
        exit(settings::EXIT_CODE);
    }
    let history = history(&settings);
    let platform = Arc::new(Platform::new(&settings, Arc::new(history)));
    let system = ntex::rt::System::new("standin", ntex::rt::DefaultRuntime);
    system.block_on(run(settings, platform));
}

fn history(settings: &Settings) -> Writer {
    let Some(path) = &settings.history else {
        return Writer::default();
    };
    Writer::create(path).unwrap_or_else(|error| {
        eprintln!("settings: history: {}: {error}", path.display());
        exit(settings::EXIT_CODE);
    })
}

async fn run(settings: Settings, platform: Arc<Platform>) {
    let server = server::start(&settings, &platform).unwrap_or_else(|(address, error)| {
        eprintln!("address {address} can't be bound: {error}");
        exit(1);
    });
    events::SERVING.log(format_args!(
        "control={} log={} directory={} workers={} instances={}",
        settings.control,
        settings.log.address,
        settings.directory.address,
        platform.workers.len(),
        platform.instances.len(),
    ));
    let ticked = platform.clone();
    ntex::rt::spawn(async move {
        loop {
            tokio::time::sleep(TICK).await;
            ticked.tick();
            ticked.history.flush();
        }
    });
    if let Err(error) = shutdown::requested().await {
        eprintln!("signal handlers can't be installed: {error}");
    }
    event::STOPPING.log(format_args!("party=standin"));
    server.stop(true).await;
    platform.history.flush();
    event::STOPPED.log(format_args!("party=standin"));
}
