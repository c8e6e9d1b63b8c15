//! Questions to other processes about the configuration, and answers to theirs.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rosemaryworks_node::clock;
use rosemaryworks_wire::Message;
use rosemaryworks_wire::link::Peer;
use rosemaryworks_wire::workflow::{Encoded, Message as Workflow, Revision};
use tokio::sync::Notify;
use tokio::task::JoinSet;

use super::tracker::{Judgement, Peers, Source, Tracker};
use crate::config::Config;
use crate::events;
use crate::metrics::Metrics;

/// Time for an answer. Later rounds don't wait for it, and a late answer counts.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// What the exchange needs of the process.
pub(crate) trait Process: Send + Sync {
    /// Puts a configuration into force.
    fn configure(&self, config: Arc<Config>);

    /// Returns the open links.
    fn peers(&self) -> Peers<Peer>;
}

/// An answer of another process.
struct Answer {
    peer: Arc<str>,
    asked_ms: u64,
    revision: Revision,
}

/// The exchange of configurations with other processes.
#[derive(Debug)]
pub(crate) struct Exchange {
    tracker: Mutex<Tracker>,
    changed: Notify,
    metrics: Metrics,
}

impl Exchange {
    /// Creates the exchange.
    pub(crate) fn new(metrics: Metrics) -> Self {
        Self {
            tracker: Mutex::default(),
            changed: Notify::new(),
            metrics,
        }
    }

    fn tracker(&self) -> MutexGuard<'_, Tracker> {
        self.tracker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the end of a read of the log.
    pub(crate) fn read_ended(&self, source: Source, answered: bool) {
        if self.tracker().read_ended(source, answered) {
            events::REVISIONS_SOUGHT.log(format_args!("read={source:?}"));
            self.changed.notify_one();
        }
    }

    /// Records a read of the log to its end: the newest version in it, if the read returned any, and
    /// the time at which the log had nothing newer.
    pub(crate) fn read_from_log(&self, version: Option<u64>, at_ms: u64) {
        let mut tracker = self.tracker();
        if let Some(version) = version {
            tracker.confirm(version, at_ms);
        }
        tracker.confirm_current(at_ms);
    }

    /// Answers a process that has the version `asked`. `config` is the one in force here.
    pub(crate) fn answer(&self, asked: Option<u64>, config: Option<&Config>) -> Revision {
        let (mut revision, is_newer) = self.tracker().answer(asked, clock::uptime_ms());
        let config = config.filter(|config| is_newer && Some(config.version) == revision.version);
        revision.config = config.and_then(encode);
        let bytes = revision.config.as_ref().map_or(0, |config| config.0.len());
        self.metrics.revision_bytes.inc_by(bytes as u64);
        revision
    }

    /// Asks other processes while reads of the log fail, until this process ends.
    pub(crate) async fn run(self: Arc<Self>, process: Arc<dyn Process>) {
        let mut calls = JoinSet::new();
        loop {
            let next_ms = self.tracker().next_round_in(clock::uptime_ms());
            let round_is_due = async {
                match next_ms {
                    Some(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                Some(ended) = calls.join_next() => {
                    if let Ok(Some(answer)) = ended {
                        self.receive(&*process, &answer);
                    }
                }
                () = round_is_due => self.begin_round(&*process, &mut calls),
                () = self.changed.notified() => {}
            }
        }
    }

    fn begin_round(&self, process: &dyn Process, calls: &mut JoinSet<Option<Answer>>) {
        let asked_ms = clock::uptime_ms();
        let peers = process.peers();
        let (asked, version) = {
            let mut tracker = self.tracker();
            (tracker.begin_round(peers, asked_ms), tracker.version())
        };
        for peer in asked {
            calls.spawn(ask(peer, version, asked_ms));
        }
    }

    fn receive(&self, process: &dyn Process, answer: &Answer) {
        let Answer {
            peer,
            asked_ms,
            revision,
        } = answer;
        let judgement = self
            .tracker()
            .judge(revision, *asked_ms, clock::uptime_ms());
        match (judgement, revision.version, &revision.config) {
            (Judgement::Confirm, Some(version), _) => {
                self.tracker().accept(version, revision, *asked_ms);
            }
            (Judgement::Take, Some(version), Some(encoded)) => match decode(encoded) {
                Some(config) if config.version == version => {
                    events::REVISION_TAKEN.log(format_args!(
                        "version={version} peer={peer} age_ms={:?} bytes={} took_ms={}",
                        revision.age_ms,
                        encoded.0.len(),
                        clock::uptime_ms().saturating_sub(*asked_ms)
                    ));
                    self.metrics.revisions_taken.inc();
                    process.configure(Arc::new(config));
                    self.tracker().accept(version, revision, *asked_ms);
                }
                _ => events::REVISION_MALFORMED.log(format_args!("version={version} peer={peer}")),
            },
            _ => {}
        }
    }
}

async fn ask(peer: Peer, version: Option<u64>, asked_ms: u64) -> Option<Answer> {
    let question = Message::Workflow(Workflow::AskRevision { version });
    match peer.call(question, ANSWER_TIMEOUT).await {
        Ok(Message::Workflow(Workflow::Revision(revision))) => Some(Answer {
            peer: peer.hello().node.clone(),
            asked_ms,
            revision,
        }),
        _ => None,
    }
}

fn encode(config: &Config) -> Option<Encoded> {
    let mut bytes = Vec::new();
    ciborium::into_writer(config, &mut bytes).ok()?;
    Some(Encoded(bytes))
}

fn decode(encoded: &Encoded) -> Option<Config> {
    ciborium::from_reader(encoded.0.as_slice()).ok()
}
