//! A running scheduler.

use std::sync::Arc;
use std::time::Duration;

use rosemaryworks_core::ownership::Event;
use rosemaryworks_node::status::Status;
use rosemaryworks_wire::link::{Client, Handler, serve};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::events;
use crate::follow;
use crate::hosted::Hosted;
use crate::links::Inbox;
use crate::listing;
use crate::owner;
use crate::settings::Settings;
use crate::shared::{Platform, Shared};
use crate::upkeep;

/// Longest time that a planned stop waits for intents that are being written.
const DRAIN_MAX: Duration = Duration::from_millis(1_500);

/// Longest time that a planned stop waits for its releases.
const RELEASE_MAX: Duration = Duration::from_secs(8);
const RELEASE_PERIOD: Duration = Duration::from_millis(20);

/// Time after the releases in which answers and notices are still sent.
const LINGER: Duration = Duration::from_millis(300);

/// The tasks of one scheduler. Dropping it stops them without a release.
pub struct Scheduler {
    shared: Arc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

impl Scheduler {
    /// Starts a scheduler that takes links on `listener`. Must be called within a tokio runtime.
    #[must_use]
    pub fn start(
        settings: Settings,
        platform: Platform,
        listener: TcpListener,
        status: Status,
    ) -> Self {
        status.ready.clear("streams of the log not read yet");
        let (steps, receiver) = mpsc::unbounded_channel();
        let shared = Shared::new(settings, platform, status, steps);
        let inbox: Arc<dyn Handler> = Arc::new(Inbox(shared.clone()));
        dial(&shared, &inbox);
        events::STARTED.log(format_args!(
            "node={} incarnation={} peer_listen={}",
            shared.settings.node, shared.hello.incarnation, shared.settings.peer_listen
        ));
        let tasks = vec![
            tokio::spawn(serve(listener, shared.hello.clone(), inbox)),
            tokio::spawn(owner::run(shared.clone(), receiver)),
            tokio::spawn(owner::tick(shared.clone())),
            tokio::spawn(follow::contracts(shared.clone())),
            tokio::spawn(follow::cell(shared.clone())),
            tokio::spawn(listing::poll(shared.clone())),
            tokio::spawn(upkeep::run(shared.clone())),
        ];
        Self { shared, tasks }
    }

    /// Releases all shards, tells peers and gateways, and answers what waits.
    pub async fn stop(self) {
        let shared = &self.shared;
        shared.progress.stop(&shared.status.ready);
        events::STOPPING.log(format_args!("shards={}", shared.all_hosted().len()));
        let hosted = shared.all_hosted();
        hosted.iter().for_each(Hosted::drain);
        let deadline = tokio::time::Instant::now() + DRAIN_MAX;
        while !hosted.iter().all(Hosted::is_drained) && tokio::time::Instant::now() < deadline {
            tokio::time::sleep(RELEASE_PERIOD).await;
        }
        shared.ownership_event(Event::Stop);
        let deadline = tokio::time::Instant::now() + RELEASE_MAX;
        while !shared.all_hosted().is_empty() {
            if tokio::time::Instant::now() >= deadline {
                let open = shared.all_hosted().len();
                events::STOP_INCOMPLETE.log(format_args!("shards={open}"));
                break;
            }
            tokio::time::sleep(RELEASE_PERIOD).await;
        }
        tokio::time::sleep(LINGER).await;
        events::STOPPED.log(format_args!("node={}", shared.settings.node));
    }
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        for hosted in self.shared.all_hosted() {
            hosted.end();
        }
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

fn dial(shared: &Arc<Shared>, inbox: &Arc<dyn Handler>) {
    let schedulers = shared.settings.cell.schedulers.iter();
    let others = schedulers.filter(|scheduler| scheduler.name != shared.settings.node);
    let clients = others.map(|scheduler| {
        let name = scheduler.name.clone();
        let own = shared.hello.clone();
        Client::start(name, scheduler.peer, own, inbox.clone())
    });
    let clients = clients.collect();
    assert!(shared.peers.set(clients).is_ok(), "links are dialled once");
}
