//! State of a simulated entry process, and what reaches it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use rosemaryworks_entry::claim::Claims;
use rosemaryworks_entry::peers::Known;
use rosemaryworks_entry::permission::Permission;
use rosemaryworks_entry::timeouts::Timeouts;
use rosemaryworks_workflow::{
    Order, Record, Renewal, RenewalFault, Report, Shard, StartOutcome, Stop, Worker,
};

use super::clock::Clock;
use super::log::Response;

/// A question to a peer while the log doesn't answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Question {
    pub(crate) round: u64,
    pub(crate) epoch: u64,
}

/// A message between processes.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    /// Asks whether a later claim than that of `epoch` is known, and whether the peer can take over.
    Ask(Question),
    Answer {
        round: u64,
        superseded: bool,
        candidate: bool,
    },
    Released {
        epoch: u64,
    },
    Stored(Record),
}

/// A command to a worker.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    Renew {
        worker: usize,
        renewal: Renewal,
        wait_ms: u64,
    },
    Start(Order),
    Stop(Stop),
}

/// Answer of a worker.
#[derive(Clone, Debug)]
pub(crate) enum Answer {
    Renewed(Result<Report, RenewalFault>),
    Started(StartOutcome),
    Stopped(bool),
}

/// A command without an answer.
#[derive(Clone, Debug)]
pub(crate) enum Sent {
    Renewal {
        worker: Arc<str>,
        token: u64,
        sent_ms: u64,
        waits: bool,
    },
    Start {
        order: Order,
        sent_ms: u64,
    },
    Stop(Stop),
}

/// What a call of the log is for.
#[derive(Clone, Debug)]
pub(crate) enum Purpose {
    Claim { epoch: u64, predecessor_ended: bool },
    Claims { asked_ms: u64 },
    Fence,
    Jobs { epoch: u64, asked_ms: u64 },
    Journal { epoch: u64, number: u64 },
    Probe { peer: usize, question: Question },
    Proof { asked_ms: u64 },
    Renewal,
    ReplayJobs,
    ReplayProgress,
    ReplayWorkers { asked_ms: u64 },
    Submit(Record),
    Workers { epoch: u64, asked_ms: u64 },
}

impl Purpose {
    /// Returns whether the call is part of a takeover.
    pub(crate) fn is_of_takeover(&self) -> bool {
        matches!(
            self,
            Self::Fence | Self::ReplayJobs | Self::ReplayProgress | Self::ReplayWorkers { .. }
        )
    }
}

/// What reaches a process: timers, answers and messages.
#[derive(Clone, Debug)]
pub(crate) enum Input {
    Announced {
        epoch: u64,
    },
    Journal {
        epoch: u64,
    },
    JournalRetry {
        epoch: u64,
    },
    LogAnswer {
        call: u64,
        response: Option<Response>,
    },
    Message {
        from: usize,
        message: Message,
    },
    ReadClaims {
        timer: u64,
    },
    ReadJobs {
        epoch: u64,
    },
    ReadNewest,
    ReadWorkers {
        epoch: u64,
    },
    Renew,
    RoundBegins {
        round: u64,
    },
    RoundEnds {
        round: u64,
    },
    Send {
        epoch: u64,
        command: Command,
    },
    Session {
        epoch: u64,
        worker: Arc<str>,
        timer: u64,
    },
    Submit(Record),
    Takeover {
        purpose: Purpose,
    },
    Tick {
        epoch: u64,
        timer: u64,
    },
    WorkerAnswer {
        epoch: u64,
        call: u64,
        answer: Answer,
    },
}

/// What the renewal of a worker waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Wait {
    Answer(u64),
    Durable,
    Permission,
    Time,
    Work,
}

/// Renewal of one worker.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) wait: Wait,
    pub(crate) fault: Option<RenewalFault>,
    pub(crate) pause_ms: u64,
    pub(crate) timer: u64,
}

/// An owned shard.
#[derive(Debug)]
pub(crate) struct Owner {
    pub(crate) epoch: u64,
    pub(crate) shard: Shard,
    pub(crate) renewals: u64,
    pub(crate) jobs_next: u64,
    pub(crate) workers_next: u64,
    pub(crate) sessions: BTreeMap<Arc<str>, Session>,
    pub(crate) sent: BTreeMap<u64, Sent>,
    /// Commands that wait for the permission.
    pub(crate) held: Vec<Command>,
    pub(crate) timeouts: Timeouts,
    pub(crate) records: VecDeque<Record>,
    /// Append under way: its number and records.
    pub(crate) append: Option<(u64, Vec<Record>)>,
    pub(crate) appends: u64,
    pub(crate) durable: u64,
    pub(crate) tick_timer: u64,
    pub(crate) tick_ms: u64,
}

/// Entries read from the list of workers.
#[derive(Debug)]
pub(crate) struct Listed {
    pub(crate) entries: Vec<Worker>,
    pub(crate) next: u64,
    pub(crate) asked_ms: u64,
}

/// A takeover under way.
#[derive(Debug)]
pub(crate) struct Takeover {
    pub(crate) epoch: u64,
    pub(crate) predecessor_ended: bool,
    pub(crate) jobs: Option<(Vec<Record>, u64)>,
    pub(crate) progress: Option<Vec<Record>>,
    pub(crate) workers: Option<Listed>,
    pub(crate) retries: u32,
    /// Decides on the renewals of the claim.
    pub(crate) claim: rosemaryworks_entry::claim::Takeover,
}

/// Questions to the peers while the log doesn't answer.
#[derive(Debug, Default)]
pub(crate) struct Handover {
    pub(crate) lost_ms: u64,
    pub(crate) unanswered_rounds: u32,
    pub(crate) asked_ms: u64,
    pub(crate) pending: BTreeSet<usize>,
    pub(crate) unanswered: BTreeSet<Arc<str>>,
    pub(crate) answered: bool,
    pub(crate) candidate: bool,
    pub(crate) superseded: bool,
}

/// A simulated process. Its times are on its own clock, except `paused_until_ms`.
pub(crate) struct Process {
    pub(crate) name: Arc<str>,
    pub(crate) incarnation: u64,
    pub(crate) clock: Clock,
    pub(crate) paused_until_ms: u64,
    pub(crate) claims: Claims,
    pub(crate) known: Known,
    pub(crate) permission: Permission,
    pub(crate) claims_next: u64,
    /// Whether the task that reads the claims awaits an answer.
    pub(crate) reads_claims: bool,
    pub(crate) claims_changed: bool,
    pub(crate) claims_timer: u64,
    pub(crate) log_answered_ms: u64,
    pub(crate) log_down: bool,
    pub(crate) round: u64,
    pub(crate) handover: Option<Handover>,
    pub(crate) takeover: Option<Takeover>,
    pub(crate) owner: Option<Owner>,
    pub(crate) calls: BTreeMap<u64, Purpose>,
}

impl Process {
    pub(crate) fn new(index: usize, clock: Clock) -> Self {
        Self {
            name: name(index),
            incarnation: 1,
            clock,
            paused_until_ms: 0,
            claims: Claims::default(),
            known: Known::default(),
            permission: Permission::default(),
            claims_next: 0,
            reads_claims: false,
            claims_changed: false,
            claims_timer: 0,
            log_answered_ms: clock.read(0),
            log_down: false,
            round: 0,
            handover: None,
            takeover: None,
            owner: None,
            calls: BTreeMap::new(),
        }
    }

    pub(crate) fn owner_of(&mut self, epoch: u64) -> Option<&mut Owner> {
        self.owner.as_mut().filter(|owner| owner.epoch == epoch)
    }

    /// Returns whether another process is known to have claimed the shard after `epoch`.
    pub(crate) fn is_superseded(&self, epoch: u64) -> bool {
        let claim = self.claims.get(super::SHARD);
        claim.is_some_and(|claim| claim.epoch > epoch)
    }
}

/// Returns the name of a process.
pub(crate) fn name(index: usize) -> Arc<str> {
    format!("p{index}").into()
}
