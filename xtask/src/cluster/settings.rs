//! Generates the settings files of all processes of a deployment.

use std::path::{Path, PathBuf};

use argh::FromArgs;
use error_stack::{Report, ResultExt};
use serde_json::{Map, Value, json};

use super::deployment::Deployment;
use super::ports::Ports;
use super::process::Error;

/// API key of the operator in generated settings.
pub(crate) const OPERATOR_KEY: &str = "operator-key-0123456789";

const BASE_PORT: u16 = 21_000;

/// write the settings of a deployment into a folder
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "settings")]
pub(crate) struct Options {
    /// deployment: avvolgi or dala
    #[argh(option)]
    deployment: String,
    /// folder to write to
    #[argh(option)]
    folder: PathBuf,
    /// first of 400 loopback ports (default: 21000)
    #[argh(option, default = "BASE_PORT")]
    base_port: u16,
}

/// Paths of the settings files, with the process names.
pub(crate) struct Files {
    pub(crate) standin: PathBuf,
    pub(crate) schedulers: Vec<(String, PathBuf)>,
    pub(crate) gateways: Vec<(String, PathBuf)>,
}

/// Writes the settings of a deployment.
///
/// # Errors
///
/// Returns an error if the deployment is unknown or a file can't be written.
pub(crate) fn run(options: &Options) -> Result<(), Report<Error>> {
    let deployment = Deployment::find(&options.deployment).ok_or_else(|| {
        Report::new(Error::new(
            "find the deployment",
            options.deployment.clone(),
        ))
        .attach_printable("known: avvolgi, dala")
    })?;
    let ports = Ports::new(options.base_port);
    let standin = standin(&deployment, &ports, None);
    write_all(&deployment, &ports, &options.folder, &standin)?;
    Ok(())
}

/// Writes all settings files of a deployment into `folder`. The stand-in writes its history there,
/// too.
pub(crate) fn write(
    deployment: &Deployment,
    ports: &Ports,
    folder: &Path,
) -> Result<Files, Report<Error>> {
    let history = folder.join("platform.history.json");
    let standin = standin(deployment, ports, Some(&history));
    write_all(deployment, ports, folder, &standin)
}

fn write_all(
    deployment: &Deployment,
    ports: &Ports,
    folder: &Path,
    standin: &Value,
) -> Result<Files, Report<Error>> {
    let save = |name: &str, value: &Value| {
        let path = folder.join(format!("{name}.json"));
        let text = format!("{value:#}\n");
        std::fs::create_dir_all(folder)
            .and_then(|()| std::fs::write(&path, text))
            .change_context_lazy(|| Error::new("write", path.display().to_string()))?;
        Ok::<_, Report<Error>>(path)
    };
    let standin = save("standin", standin)?;
    let mut files = Files {
        standin,
        schedulers: Vec::new(),
        gateways: Vec::new(),
    };
    for index in 0..deployment.entry_vms {
        let name = format!("scheduler-{}", index + 1);
        let path = save(&name, &scheduler(deployment, ports, index))?;
        files.schedulers.push((name, path));
        let name = format!("gateway-{}", index + 1);
        let path = save(&name, &gateway(deployment, ports, index))?;
        files.gateways.push((name, path));
    }
    Ok(files)
}

fn address(port: u16) -> String {
    format!("127.0.0.1:{port}")
}

fn cell(deployment: &Deployment, ports: &Ports) -> Value {
    let schedulers = (0..deployment.entry_vms).map(|index| {
        json!({
            "name": format!("scheduler-{}", index + 1),
            "zone": deployment.zone(index),
            "peer": address(ports.scheduler_peer(index)),
        })
    });
    let gateways = (0..deployment.entry_vms).map(|index| format!("gateway-{}", index + 1));
    let pools = deployment
        .pools
        .iter()
        .map(|pool| (pool.name.to_owned(), json!(pool.shards)));
    let services = deployment.services.iter();
    let services = services.map(|service| (service.name.to_owned(), json!(service.shards)));
    json!({
        "name": deployment.name,
        "schedulers": schedulers.collect::<Vec<_>>(),
        "gateways": gateways.collect::<Vec<_>>(),
        "partition": {
            "pools": pools.collect::<Map<_, _>>(),
            "services": services.collect::<Map<_, _>>(),
        },
        "log": address(ports.log()),
        "directory": address(ports.directory()),
    })
}

fn gateway(deployment: &Deployment, ports: &Ports, index: usize) -> Value {
    json!({
        "node": format!("gateway-{}", index + 1),
        "zone": deployment.zone(index),
        "listen": address(ports.gateway(index)),
        "admin_listen": address(ports.gateway_admin(index)),
        "cell": cell(deployment, ports),
        "operators": [{ "name": "operator", "key": OPERATOR_KEY }],
    })
}

fn scheduler(deployment: &Deployment, ports: &Ports, index: usize) -> Value {
    json!({
        "node": format!("scheduler-{}", index + 1),
        "zone": deployment.zone(index),
        "peer_listen": address(ports.scheduler_peer(index)),
        "status_listen": address(ports.scheduler_status(index)),
        "cell": cell(deployment, ports),
    })
}

fn standin(deployment: &Deployment, ports: &Ports, history: Option<&Path>) -> Value {
    let mut port = ports.workers();
    let mut reserve = |count: usize| {
        let first = port;
        port += count as u16;
        first
    };
    let workers = deployment.pools.iter().map(|pool| {
        json!({
            "pool": pool.name,
            "count": pool.workers,
            "per_rack": pool.per_rack,
            "zones": deployment.zones,
            "size": {
                "millicores": pool.cores * 1_000,
                "memory_mb": pool.memory_gb * 1_024,
                "accelerators": pool.accelerators,
            },
            "base_port": reserve(pool.workers),
        })
    });
    let workers: Vec<_> = workers.collect();
    let instances = deployment.services.iter().map(|service| {
        json!({
            "service": service.name,
            "count": service.instances,
            "zones": deployment.zones,
            "base_port": reserve(service.instances),
        })
    });
    let instances: Vec<_> = instances.collect();
    json!({
        "control": address(ports.control()),
        "log": { "address": address(ports.log()) },
        "directory": { "address": address(ports.directory()) },
        "workers": workers,
        "instances": instances,
        "history": history,
    })
}
