//! Starts the processes with proxies between them and on their connections to the platform.

use std::net::SocketAddr;
use std::path::Path;

use error_stack::{Report, ResultExt};
use serde_json::{Value, json};

use super::proxy::Proxies;
use crate::cluster::deployment::{self, Deployment};
use crate::cluster::ports::Ports;
use crate::cluster::process::Error;
use crate::cluster::{Cluster, settings};

/// Proxy names of the platform's log and list of VMs.
pub(crate) const LOG: &str = "log";
const DIRECTORY: &str = "directory";

/// Offset of the first proxy port from the base port; the deployment uses the ports before it.
const PROXY_PORT_OFFSET: u16 = 400;

/// Returns a deployment that is small enough for the load to saturate its instances and workers.
pub(crate) fn deployment() -> Deployment {
    let mut deployment = deployment::avvolgi();
    for pool in &mut deployment.pools {
        pool.workers = if pool.accelerators > 0 { 6 } else { 15 };
    }
    for (service, instances) in deployment.services.iter_mut().zip([9, 6]) {
        service.instances = instances;
    }
    deployment
}

/// Starts all processes. Each gateway and scheduler has its own proxies to the schedulers, the log
/// and the directory.
pub(crate) async fn start(
    deployment: Deployment,
    ports: Ports,
    base_port: u16,
    folder: &Path,
) -> Result<(Cluster, Proxies), Report<Error>> {
    let files = settings::write(&deployment, &ports, folder)?;
    let mut proxies = Proxies::default();
    let mut port = base_port + PROXY_PORT_OFFSET;
    for (name, path) in files.schedulers.iter().chain(&files.gateways) {
        let mut content = read_json(path)?;
        redirect(&mut content["cell"], name, &mut port, &mut proxies).await?;
        write_json(path, &content)?;
    }
    configure_standin(&files.standin)?;
    let cluster = Cluster::start_from(&files, deployment, ports, folder)?;
    Ok((cluster, proxies))
}

/// Replaces the addresses that process `from` dials by addresses of proxies.
async fn redirect(
    cell: &mut Value,
    from: &str,
    port: &mut u16,
    proxies: &mut Proxies,
) -> Result<(), Report<Error>> {
    for scheduler in cell["schedulers"].as_array_mut().into_iter().flatten() {
        let to = scheduler["name"].as_str().unwrap_or_default().to_owned();
        redirect_one(&mut scheduler["peer"], from, &to, port, proxies).await?;
    }
    redirect_one(&mut cell["log"], from, LOG, port, proxies).await?;
    redirect_one(&mut cell["directory"], from, DIRECTORY, port, proxies).await
}

async fn redirect_one(
    address: &mut Value,
    from: &str,
    to: &str,
    port: &mut u16,
    proxies: &mut Proxies,
) -> Result<(), Report<Error>> {
    let failed = || Error::new("start a proxy", format!("{from} to {to}"));
    let target = address.as_str().unwrap_or_default();
    let target = target.parse::<SocketAddr>().change_context_lazy(failed)?;
    let listen = SocketAddr::from(([127, 0, 0, 1], *port));
    *port += 1;
    let added = proxies.add(from, to, listen, target).await;
    added.change_context_lazy(failed)?;
    *address = json!(listen);
    Ok(())
}

/// Makes tasks use 60 % of the resources that they declare, and limits the log of the stand-in to
/// warnings.
fn configure_standin(path: &Path) -> Result<(), Report<Error>> {
    let mut content = read_json(path)?;
    content["tasks"] = json!({ "use_percent": 60 });
    content["logging"] = json!({ "level": "warn" });
    write_json(path, &content)
}

fn read_json(path: &Path) -> Result<Value, Report<Error>> {
    let failed = || Error::new("read", path.display().to_string());
    let text = std::fs::read_to_string(path).change_context_lazy(failed)?;
    serde_json::from_str(&text).change_context_lazy(failed)
}

fn write_json(path: &Path, content: &Value) -> Result<(), Report<Error>> {
    let failed = || Error::new("write", path.display().to_string());
    std::fs::write(path, format!("{content:#}\n")).change_context_lazy(failed)
}
