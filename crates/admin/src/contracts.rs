//! Replica of the contracts in force, built by following the contracts stream of the log.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use rosemaryworks_core::contract::{Contract, Revision};
use rosemaryworks_core::record::{Config, Offset};
use rosemaryworks_core::register::{Audit, Entry, Register, Verdict};
use rosemaryworks_platform::health::Health;
use rosemaryworks_platform::log::{CONTRACTS, Entry as Record};
use rosemaryworks_platform::tail::{self, Event};
use rosemaryworks_platform::{Failure, Log};
use tokio::sync::watch;

use crate::events;

/// Revisions of each contract kept for comparison.
const REVISIONS_MAX: usize = 8;

/// The contracts in force in this process. Clones share the same state.
#[derive(Clone, Debug, Default)]
pub struct Contracts(Arc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    state: RwLock<State>,
    progress: watch::Sender<Progress>,
}

#[derive(Debug, Default)]
struct State {
    register: Register,
    /// Recent revisions of each contract, oldest first.
    revisions: BTreeMap<Arc<str>, VecDeque<Entry>>,
}

/// How far this process has read the contracts stream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// Offset of the last record applied.
    pub offset: Offset,
    /// Whether the contracts were loaded, from the stream or from a peer.
    pub known: bool,
    /// Failure of the last read. Cleared when a read reaches the end of the stream.
    pub failed: Option<Arc<str>>,
}

impl Contracts {
    fn read<T>(&self, access: impl FnOnce(&State) -> T) -> T {
        access(&self.0.state.read().unwrap_or_else(PoisonError::into_inner))
    }

    fn write<T>(&self, access: impl FnOnce(&mut State) -> T) -> T {
        access(&mut self.0.state.write().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the contract `name` in force.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<Arc<Contract>> {
        self.read(|state| Some(state.register.get(name)?.contract.clone()))
    }

    /// Returns the entry of the contract `name` in force.
    #[must_use]
    pub fn entry(&self, name: &str) -> Option<Entry> {
        self.read(|state| state.register.get(name).cloned())
    }

    /// Returns the entries of all contracts in force by name.
    #[must_use]
    pub fn entries(&self) -> Vec<Entry> {
        self.read(|state| state.register.iter().cloned().collect())
    }

    /// Returns the contract `name` at `revision`, if that revision is still kept.
    #[must_use]
    pub fn revision(&self, name: &str, revision: Revision) -> Option<Entry> {
        self.read(|state| {
            let kept = state.revisions.get(name)?;
            kept.iter()
                .find(|entry| entry.revision == revision)
                .cloned()
        })
    }

    /// Returns the kept revisions of the contract `name`, oldest first.
    #[must_use]
    pub fn revisions(&self, name: &str) -> Vec<Revision> {
        self.read(|state| {
            let kept = state.revisions.get(name);
            kept.map(|kept| kept.iter().map(|entry| entry.revision).collect())
                .unwrap_or_default()
        })
    }

    /// Returns the last `limit` entries of the audit trail, oldest first.
    #[must_use]
    pub fn audit(&self, limit: usize) -> Vec<Audit> {
        self.read(|state| {
            let skip = state.register.audit().count().saturating_sub(limit);
            state.register.audit().skip(skip).cloned().collect()
        })
    }

    /// Returns the audit entry of the change `id`, if it was applied.
    #[must_use]
    pub fn change(&self, id: &str) -> Option<Audit> {
        self.read(|state| {
            state
                .register
                .audit()
                .find(|entry| &*entry.id == id)
                .cloned()
        })
    }

    /// Returns whether operators drained `target`.
    #[must_use]
    pub fn is_drained(&self, target: &str) -> bool {
        self.read(|state| state.register.is_drained(target))
    }

    /// Returns the names of all drained targets.
    #[must_use]
    pub fn drained(&self) -> Vec<Arc<str>> {
        self.read(|state| state.register.drained().cloned().collect())
    }

    /// Returns how far the process has read the stream.
    #[must_use]
    pub fn progress(&self) -> Progress {
        self.0.progress.borrow().clone()
    }

    /// Waits until the record at `offset` is applied. Returns whether that happened within
    /// `timeout`.
    pub async fn wait_applied(&self, offset: Offset, timeout: Duration) -> bool {
        let mut progress = self.0.progress.subscribe();
        let reached = progress.wait_for(|progress| progress.offset >= offset);
        matches!(tokio::time::timeout(timeout, reached).await, Ok(Ok(_)))
    }

    /// Replaces the contracts with those of a peer if the peer has read further. Returns whether
    /// they were replaced. Either way, the contracts count as loaded afterwards.
    pub fn restore(&self, register: Register) -> bool {
        let newer = self.write(|state| {
            let newer = register.offset() > state.register.offset();
            if newer {
                register
                    .iter()
                    .for_each(|entry| keep_revision(state, entry.clone()));
                state.register = register;
            }
            newer
        });
        self.update_progress(|progress| progress.known = true);
        newer
    }

    /// Follows the contracts stream until the future is dropped.
    pub async fn follow(&self, log: Arc<dyn Log>, health: Health) {
        tail::follow(log, health, CONTRACTS, 1, |event| self.handle(event)).await;
    }

    fn handle(&self, event: Event) {
        match event {
            Event::CaughtUp(offset) => self.caught_up(offset),
            Event::Entries(records) => records.iter().for_each(|record| self.apply(record)),
            Event::Expired(offset) => {
                events::RECORDS_EXPIRED.log(format_args!("continue_at={offset}"));
            }
            Event::Failed(report) => self.read_failed(report.current_context()),
        }
    }

    fn caught_up(&self, offset: Offset) {
        let first = !self.progress().known;
        self.update_progress(|progress| {
            progress.known = true;
            progress.failed = None;
        });
        if first {
            events::CAUGHT_UP.log(format_args!("next_offset={offset}"));
        }
    }

    fn read_failed(&self, failure: &Failure) {
        if self.progress().failed.is_none() {
            events::READ_FAILED.log(format_args!("error={failure}"));
        }
        let text: Arc<str> = failure.to_string().into();
        self.update_progress(|progress| progress.failed = Some(text));
    }

    fn apply(&self, record: &Record) {
        match serde_json::from_str::<Config>(&record.record) {
            Ok(config) => self.apply_config(record.offset, &config),
            Err(error) => {
                events::RECORD_UNREADABLE
                    .log(format_args!("offset={} error={error}", record.offset));
            }
        }
        self.update_progress(|progress| progress.offset = progress.offset.max(record.offset));
    }

    fn apply_config(&self, offset: Offset, config: &Config) {
        let verdict = self.write(|state| {
            let verdict = state.register.apply(offset, config);
            if let Config::Publish { contract, .. } | Config::Standing { contract, .. } = config
                && let Some(entry) = state.register.get(&contract.name).cloned()
            {
                keep_revision(state, entry);
            }
            verdict
        });
        if let (Config::Publish { contract, .. }, Verdict::Accepted { revision }) =
            (config, &verdict)
        {
            let name = &contract.name;
            events::IN_FORCE.log(format_args!("contract={name} revision={revision}"));
        }
    }

    fn update_progress(&self, change: impl FnOnce(&mut Progress)) {
        self.0.progress.send_modify(change);
    }
}

/// Adds a revision to the kept ones and drops the oldest beyond the limit.
fn keep_revision(state: &mut State, entry: Entry) {
    let kept = state
        .revisions
        .entry(entry.contract.name.clone())
        .or_default();
    if kept.iter().any(|known| known.revision == entry.revision) {
        return;
    }
    kept.push_back(entry);
    if kept.len() > REVISIONS_MAX {
        kept.pop_front();
    }
}
