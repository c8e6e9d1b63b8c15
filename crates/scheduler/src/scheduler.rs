//! Start and planned stop of a scheduler.

use std::sync::Arc;
use std::time::Duration;

use rosemaryworks_core::ownership::Event;
use rosemaryworks_node::status::Status;
use rosemaryworks_wire::link::{Client, Handler, serve};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::context::{Context, Platform};
use crate::events;
use crate::follow;
use crate::host::Host;
use crate::links::Dispatcher;
use crate::listing;
use crate::maintenance;
use crate::owner;
use crate::settings::Settings;

/// Longest time that a planned stop waits for intents in flight.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest time that a planned stop waits for its releases.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(8);
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// Time after the releases in which pending replies and notices are still sent.
const SEND_GRACE: Duration = Duration::from_millis(300);

/// The tasks of one scheduler. Dropping it stops them without a release.
pub struct Scheduler {
    context: Arc<Context>,
    tasks: Vec<JoinHandle<()>>,
}

impl Scheduler {
    /// Starts a scheduler that accepts links on `listener`. Must be called within a tokio runtime.
    #[must_use]
    pub fn start(
        settings: Settings,
        platform: Platform,
        listener: TcpListener,
        status: Status,
    ) -> Self {
        status.ready.clear("streams of the log not read yet");
        let (actions, receiver) = mpsc::unbounded_channel();
        let context = Context::new(settings, platform, status, actions);
        let handler: Arc<dyn Handler> = Arc::new(Dispatcher(context.clone()));
        dial(&context, &handler);
        events::STARTED.log(format_args!(
            "node={} incarnation={} peer_listen={}",
            context.settings.node, context.hello.incarnation, context.settings.peer_listen
        ));
        let tasks = vec![
            tokio::spawn(serve(listener, context.hello.clone(), handler)),
            tokio::spawn(owner::run(context.clone(), receiver)),
            tokio::spawn(owner::tick(context.clone())),
            tokio::spawn(follow::contracts(context.clone())),
            tokio::spawn(follow::cell(context.clone())),
            tokio::spawn(listing::poll(context.clone())),
            tokio::spawn(maintenance::run(context.clone())),
        ];
        Self { context, tasks }
    }

    /// Makes a planned stop: answers waiting requests, releases all shards, and notifies peers and
    /// gateways.
    pub async fn stop(self) {
        let context = &self.context;
        context.progress.stop(&context.status.ready);
        events::STOPPING.log(format_args!("shards={}", context.hosts().len()));
        let hosts = context.hosts();
        hosts.iter().for_each(Host::drain);
        let deadline = tokio::time::Instant::now() + DRAIN_TIMEOUT;
        while !hosts.iter().all(Host::is_drained) && tokio::time::Instant::now() < deadline {
            tokio::time::sleep(POLL_PERIOD).await;
        }
        context.handle_ownership_event(Event::Stop);
        let deadline = tokio::time::Instant::now() + RELEASE_TIMEOUT;
        while !context.hosts().is_empty() {
            if tokio::time::Instant::now() >= deadline {
                let open = context.hosts().len();
                events::STOP_INCOMPLETE.log(format_args!("shards={open}"));
                break;
            }
            tokio::time::sleep(POLL_PERIOD).await;
        }
        tokio::time::sleep(SEND_GRACE).await;
        events::STOPPED.log(format_args!("node={}", context.settings.node));
    }
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        for host in self.context.hosts() {
            host.end();
        }
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

fn dial(context: &Arc<Context>, handler: &Arc<dyn Handler>) {
    let schedulers = context.settings.cell.schedulers.iter();
    let others = schedulers.filter(|scheduler| scheduler.name != context.settings.node);
    let clients = others.map(|scheduler| {
        let name = scheduler.name.clone();
        let own = context.hello.clone();
        Client::start(name, scheduler.peer, own, handler.clone())
    });
    let clients = clients.collect();
    assert!(context.peers.set(clients).is_ok(), "links are dialled once");
}
