//! Lease renewals of an owner, one after the other for each worker, as `session.rs` sends them.

use std::sync::Arc;

use rosemaryworks_workflow::{RenewalFault, Report};

use super::process::{Command, Input, Sent, Session, Wait};
use super::takeover::worker_index;
use super::world::World;

/// First pause before the renewal of a silent worker, in milliseconds.
const RETRY_PAUSE_MS: u64 = 25;

/// Longest such pause in milliseconds.
const RETRY_PAUSE_MAX_MS: u64 = 1_200;

/// Longest wait for durable ends in milliseconds.
const DURABLE_WAIT_MAX_MS: u64 = 200;

impl World {
    /// Ends any wait of a session, so that the lease is renewed now.
    pub(crate) fn interrupt(&mut self, process: usize, worker: &Arc<str>) {
        let Some(owner) = &mut self.processes[process].owner else {
            return;
        };
        let new = || Session {
            wait: Wait::Time,
            fault: None,
            pause_ms: RETRY_PAUSE_MS,
            timer: 0,
        };
        owner.sessions.entry(worker.clone()).or_insert_with(new);
        self.wait_for(process, worker, Wait::Time, Some(0));
    }

    /// Ends the wait of a session for work.
    pub(crate) fn wake_session(&mut self, process: usize, worker: &Arc<str>) {
        let Some(owner) = &self.processes[process].owner else {
            return;
        };
        let session = owner.sessions.get(worker);
        if session.is_some_and(|session| session.wait == Wait::Work) {
            self.interrupt(process, worker);
        }
    }

    /// Lets a session wait, for a time at most.
    fn wait_for(&mut self, process: usize, worker: &Arc<str>, wait: Wait, limit_ms: Option<u64>) {
        let Some(owner) = &mut self.processes[process].owner else {
            return;
        };
        let epoch = owner.epoch;
        let Some(session) = owner.sessions.get_mut(worker) else {
            return;
        };
        session.timer += 1;
        session.wait = wait;
        let input = Input::Session {
            epoch,
            worker: worker.clone(),
            timer: session.timer,
        };
        if let Some(limit_ms) = limit_ms {
            self.set_timer(process, limit_ms, input);
        }
    }

    /// Renews the lease of a worker after a wait.
    pub(crate) fn resume_session(
        &mut self,
        process: usize,
        epoch: u64,
        worker: &Arc<str>,
        timer: u64,
    ) {
        let sent_ms = self.clock_ms(process);
        let is_permitted = self.is_permitted(process);
        let Some(owner) = self.processes[process].owner_of(epoch) else {
            return;
        };
        let Some(session) = owner.sessions.get_mut(worker) else {
            return;
        };
        if session.timer != timer {
            return;
        }
        if !is_permitted {
            session.wait = Wait::Permission;
            return;
        }
        let Some(renewal) = owner.shard.renewal(worker, sent_ms) else {
            owner.sessions.remove(worker);
            return;
        };
        let wait_ms = match session.fault {
            None => renewal.wait_ms,
            Some(_) => 0,
        };
        let sent = Sent::Renewal {
            worker: worker.clone(),
            token: renewal.token,
            sent_ms,
            waits: wait_ms > 0,
        };
        let command = Command::Renew {
            worker: worker_index(worker),
            renewal,
            wait_ms,
        };
        let call = self.transmit(process, epoch, command, sent);
        self.wait_for(process, worker, Wait::Answer(call), None);
    }

    pub(crate) fn renewal_answered(
        &mut self,
        process: usize,
        call: u64,
        sent: Sent,
        result: Result<Report, RenewalFault>,
    ) {
        let now_ms = self.clock_ms(process);
        let Sent::Renewal {
            worker,
            token,
            sent_ms,
            waits,
        } = sent
        else {
            return;
        };
        let Some(owner) = &mut self.processes[process].owner else {
            return;
        };
        let Some(session) = owner.sessions.get_mut(&worker) else {
            return;
        };
        // An interrupted renewal is no longer awaited.
        if session.wait != Wait::Answer(call) {
            return;
        }
        match result {
            Ok(report) => {
                if !waits {
                    owner.timeouts.observe(now_ms.saturating_sub(sent_ms));
                }
                session.fault = None;
                session.pause_ms = RETRY_PAUSE_MS;
                owner.shard.report(&worker, report, token, sent_ms, now_ms);
            }
            Err(fault) => {
                session.fault = (fault != RenewalFault::Fenced).then_some(fault);
                owner.shard.renewal_failed(&worker, token, fault, now_ms);
            }
        }
        self.wait_after_renewal(process, &worker);
        self.wake_owner(process, 2);
    }

    fn wait_after_renewal(&mut self, process: usize, worker: &Arc<str>) {
        let Some(owner) = &mut self.processes[process].owner else {
            return;
        };
        let Some(session) = owner.sessions.get_mut(worker) else {
            return;
        };
        let (wait, limit_ms) = match owner.shard.host(worker) {
            None => {
                owner.sessions.remove(worker);
                return;
            }
            Some(_) if session.fault.is_some() => {
                let pause_ms = session.pause_ms;
                session.pause_ms = (pause_ms * 2).min(RETRY_PAUSE_MAX_MS);
                (Wait::Time, Some(pause_ms))
            }
            Some(host) if host.has_pending_ends() => (Wait::Durable, Some(DURABLE_WAIT_MAX_MS)),
            Some(host) if host.is_idle() && host.has_acknowledged() => (Wait::Work, None),
            Some(_) => (Wait::Time, Some(0)),
        };
        self.wait_for(process, worker, wait, limit_ms);
    }

    /// Goes on with the sessions that waited for durable records.
    pub(crate) fn resume_durable(&mut self, process: usize) {
        let Some(owner) = &self.processes[process].owner else {
            return;
        };
        let sessions = owner.sessions.iter();
        let waiting = sessions.filter(|(_, session)| session.wait == Wait::Durable);
        let resumed = waiting.filter_map(|(id, _)| {
            let host = owner.shard.host(id).filter(|host| !host.has_pending_ends());
            host.map(|_| id.clone())
        });
        let resumed: Vec<Arc<str>> = resumed.collect();
        for worker in resumed {
            self.wait_for(process, &worker, Wait::Time, Some(0));
        }
    }
}
