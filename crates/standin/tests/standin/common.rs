//! A running stand-in on unused loopback ports, and sample tasks and grants.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use rosemaryworks_core::job::{Id, Task};
use rosemaryworks_core::shard::Epoch;
use rosemaryworks_core::size::Size;
use rosemaryworks_core::target::{Instance, Worker};
use rosemaryworks_history::file::{self, Writer};
use rosemaryworks_history::{Event, Record};
use rosemaryworks_node::http::{Client, Request};
use rosemaryworks_platform::workers::Grant;
use rosemaryworks_standin::{Platform, Settings, port, server};
use serde_json::json;

pub(crate) struct Standin {
    pub(crate) client: Client,
    pub(crate) platform: Arc<Platform>,
    pub(crate) settings: Settings,
    path: PathBuf,
}

impl Standin {
    /// Starts a stand-in with a worker of two cores and an instance of two slots.
    pub(crate) fn start(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("{name}-{}.jsonl", std::process::id()));
        let settings = json!({
            "control": port::unused(),
            "log": {"address": port::unused()},
            "directory": {"address": port::unused(), "lag_ms": 200},
            "workers": [{
                "pool": "cpu", "count": 1, "per_rack": 1, "zones": ["a"],
                "size": {"millicores": 2000, "memory_mb": 1000}, "base_port": port::unused().port(),
            }],
            "instances": [{
                "service": "booking", "count": 1, "zones": ["a"], "slots": 2, "connections": 3,
                "base_port": port::unused().port(),
            }],
            "tasks": {"clock_slow_percent": 0, "usage_lag_ms": 0},
            "history": path,
        });
        let settings: Settings = serde_json::from_value(settings).unwrap();
        let writer = Writer::create(settings.history.as_ref().unwrap()).unwrap();
        let platform = Arc::new(Platform::new(&settings, Arc::new(writer)));
        let (server_settings, server_platform) = (settings.clone(), platform.clone());
        let (ready, started) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            let system = ntex::rt::System::new("standin", ntex::rt::DefaultRuntime);
            system.block_on(async move {
                let server = server::start(&server_settings, &server_platform).unwrap();
                ready.send(()).unwrap();
                loop {
                    tokio::time::sleep(Duration::from_millis(10)).await;
                    server_platform.tick();
                    let _ = &server;
                }
            });
        });
        started.recv().unwrap();
        Self {
            client: Client::start(1),
            platform,
            settings,
            path,
        }
    }

    pub(crate) fn worker(&self) -> Worker {
        self.platform.workers[0].target.clone()
    }

    pub(crate) fn instance(&self) -> Instance {
        self.platform.instances[0].target.clone()
    }

    /// Injects or clears a failure over the control port.
    pub(crate) async fn inject(&self, fault: serde_json::Value) {
        let url = format!("http://{}/v1/fault", self.settings.control);
        let request = Request::new("POST", url, Duration::from_secs(5));
        let response = self.client.send(request.body(fault.to_string())).await;
        assert_eq!(response.unwrap().status, 200);
    }

    pub(crate) fn history(&self) -> Vec<Event> {
        self.platform.history.flush();
        let records = file::read(&[&self.path]).unwrap();
        records
            .into_iter()
            .map(|Record { event, .. }| event)
            .collect()
    }
}

impl Drop for Standin {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

pub(crate) fn task(index: u32) -> Task {
    let id = Id {
        contract: "dala".into(),
        job: "route-1".into(),
    };
    Task { job: id, index }
}

pub(crate) fn grant(epoch: u64, index: u32, run_ms: u64) -> Grant {
    Grant {
        epoch: Epoch(epoch),
        task: task(index),
        attempt: 1,
        size: Size::new(1000, 100),
        run_ms,
        lease_ms: 300,
        payload: None,
    }
}
