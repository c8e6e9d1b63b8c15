//! Questions to other processes about the configuration, and answers to theirs.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rosemaryworks_node::clock;
use rosemaryworks_wire::Message;
use rosemaryworks_wire::link::Peer;
use rosemaryworks_wire::workflow::{Encoded, Form, Message as Workflow, Revision};
use tokio::sync::Notify;
use tokio::task::JoinSet;

use super::tracker::{Judgement, Peers, Source, Tracker};
use crate::codec;
use crate::config::Config;
use crate::events;
use crate::metrics::Metrics;

/// Time for an answer without a configuration. Later rounds don't wait for it, and a late answer counts.
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
    peer: Peer,
    asked_ms: u64,
    /// `None` if it didn't come in time.
    revision: Option<Revision>,
    form: Form,
}

/// What to do after an answer.
enum Next {
    /// The process has a newer configuration of a length in bytes.
    Fetch { length: u64 },
    /// Nothing more.
    Nothing,
}

/// A version in its compressed form.
#[derive(Debug)]
struct Compressed {
    version: u64,
    config: Encoded,
}

/// The exchange of configurations with other processes.
#[derive(Debug)]
pub(crate) struct Exchange {
    tracker: Mutex<Tracker>,
    /// The newest version that another process asked for.
    compressed: Mutex<Option<Compressed>>,
    changed: Notify,
    metrics: Metrics,
}

impl Exchange {
    /// Creates the exchange.
    pub(crate) fn new(metrics: Metrics) -> Self {
        Self {
            tracker: Mutex::default(),
            compressed: Mutex::default(),
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

    /// Records a read of the log to its end: the newest version in it, if the read returned any, the
    /// time at which the log had nothing newer, and the offset before which there is nothing newer, if
    /// it is known.
    pub(crate) fn read_from_log(&self, version: Option<u64>, at_ms: u64, offset: Option<u64>) {
        let mut tracker = self.tracker();
        if let Some(version) = version {
            tracker.confirm(version, at_ms);
        }
        tracker.confirm_current(at_ms);
        if let Some(offset) = offset {
            tracker.read_to(offset);
        }
    }

    /// Returns the offset in the log before which no newer version lies than the one in force.
    pub(crate) fn offset(&self) -> Option<u64> {
        self.tracker().offset()
    }

    /// Answers a process that has the version `asked`. `config` is the one in force here. The answer has
    /// no configuration if the link has no room for it: the process asks again, or another one.
    pub(crate) fn answer(
        &self,
        asked: Option<u64>,
        form: Form,
        config: Option<&Config>,
        peer: &Peer,
    ) -> Revision {
        let (mut revision, is_newer) = self.tracker().answer(asked, clock::uptime_ms());
        let config = config.filter(|config| is_newer && Some(config.version) == revision.version);
        let Some(config) = config else {
            return revision;
        };
        let encoded = match form {
            Form::Plain => Encoded(codec::encode_plain_config(config)),
            Form::Compressed | Form::Brief => self.compress(config, &mut revision),
        };
        if form != Form::Brief && peer.has_room(encoded.0.len()) {
            self.metrics.revision_bytes.inc_by(encoded.0.len() as u64);
            revision.config = Some(encoded);
        }
        revision
    }

    /// Returns a version in its compressed form, which is kept for further questions.
    fn compress(&self, config: &Config, revision: &mut Revision) -> Encoded {
        let mut compressed = self
            .compressed
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let encode = || Compressed {
            version: config.version,
            config: Encoded(codec::encode_config(config)),
        };
        let kept = compressed
            .take()
            .filter(|kept| kept.version == config.version)
            .unwrap_or_else(encode);
        let encoded = kept.config.clone();
        *compressed = Some(kept);
        revision.length = Some(encoded.0.len() as u64);
        encoded
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
                    if let Ok(answer) = ended {
                        self.receive(&*process, answer, &mut calls);
                    }
                }
                () = round_is_due => self.begin_round(&*process, &mut calls),
                () = self.changed.notified() => {}
            }
        }
    }

    fn begin_round(&self, process: &dyn Process, calls: &mut JoinSet<Answer>) {
        let asked_ms = clock::uptime_ms();
        let peers = process.peers();
        let (asked, version) = {
            let mut tracker = self.tracker();
            (tracker.begin_round(peers, asked_ms), tracker.version())
        };
        for peer in asked {
            calls.spawn(ask(peer, version, Form::Brief, asked_ms, ANSWER_TIMEOUT));
        }
    }

    fn receive(&self, process: &dyn Process, answer: Answer, calls: &mut JoinSet<Answer>) {
        if answer.form != Form::Brief {
            self.tracker().end_fetch();
        }
        let Next::Fetch { length } = self.apply(process, &answer) else {
            return;
        };
        let (version, timeout) = {
            let mut tracker = self.tracker();
            (tracker.version(), tracker.begin_fetch(length))
        };
        if let Some(timeout) = timeout {
            let asked_ms = clock::uptime_ms();
            let fetch = ask(answer.peer, version, Form::Compressed, asked_ms, timeout);
            calls.spawn(fetch);
        }
    }

    /// Applies what an answer says about the newest version.
    fn apply(&self, process: &dyn Process, answer: &Answer) -> Next {
        let Answer {
            peer,
            asked_ms,
            revision: Some(revision),
            form,
        } = answer
        else {
            return Next::Nothing;
        };
        let peer = &peer.hello().node;
        let judgement = self
            .tracker()
            .judge(revision, *asked_ms, clock::uptime_ms());
        match (judgement, revision.version, &revision.config) {
            (Judgement::Confirm, Some(version), _) => {
                self.tracker().accept(version, revision, *asked_ms);
            }
            (Judgement::Take, Some(_), None) if *form == Form::Brief => {
                return Next::Fetch {
                    length: revision.length.unwrap_or_default(),
                };
            }
            (Judgement::Take, Some(version), Some(encoded)) => {
                match codec::decode_config(&encoded.0) {
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
                    _ => events::REVISION_MALFORMED
                        .log(format_args!("version={version} peer={peer}")),
                }
            }
            _ => {}
        }
        Next::Nothing
    }
}

async fn ask(
    peer: Peer,
    version: Option<u64>,
    form: Form,
    asked_ms: u64,
    timeout: Duration,
) -> Answer {
    let question = Message::Workflow(Workflow::AskRevision { version, form });
    let revision = match peer.call(question, timeout).await {
        Ok(Message::Workflow(Workflow::Revision(revision))) => Some(revision),
        _ => None,
    };
    Answer {
        peer,
        asked_ms,
        revision,
        form,
    }
}
