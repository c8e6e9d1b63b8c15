//! Lease renewal by periodic `Sync` calls: lost answers, lapsed leases and the VM list.
//!
//! A worker that stays unreachable is no longer renewed, so that its leases lapse at a known time.
//! Its tasks are rescheduled after that.

use std::sync::Arc;

use crate::job::Kind;
use crate::placement::index::Slot;
use crate::placement::jobs::{Key, Phase};
use crate::placement::task::Cause;
use crate::placement::worker::{Departure, Link};
use crate::placement::{Action, Kernel, Report};
use crate::target::{State, Worker};
use crate::time::Instant;
use crate::timing::{LEASE_LAPSED_MS, LEASE_MS, RENEWAL_PERIOD_MS, VM_LIST_PERIOD_MS};

/// Most workers polled per tick. 25,000 workers every 2 s need 625 per 50 ms.
const SYNCS_PER_CALL: usize = 1_250;
/// Milliseconds between retries while a worker doesn't answer.
const RETRY_MS: u64 = 1_000;
/// Milliseconds of consecutive failures after which renewals stop, so that the leases surely lapse.
const RENEWAL_STOP_MS: u64 = LEASE_MS / 2;
/// Milliseconds between retries of a worker whose leases lapsed.
const RECONNECT_MS: u64 = 5_000;
/// Milliseconds after which a call without an answer from the host counts as failed.
const CALL_TIMEOUT_MS: u64 = 30_000;
/// Delay in milliseconds of the renewal that fetches the effect of a stop, a checkpoint or an
/// unresolved placement.
const SYNC_EARLY_MS: u64 = 200;
/// Least delay in milliseconds of a renewal at the expected end of a task.
const END_POLL_MIN_MS: u64 = 250;
/// Milliseconds after the expected end of a task at which its worker is polled.
const END_POLL_SLACK_MS: u64 = 50;
/// Most tasks of one worker that are searched for the next expected end.
const END_POLL_TASKS_MAX: usize = 64;
/// Milliseconds after the start of an epoch after which the VM list is considered complete.
pub(crate) const SETTLE_MS: u64 = 2 * VM_LIST_PERIOD_MS;

impl Kernel {
    /// Adds workers that were listed recently but no longer are, at the start of an epoch.
    ///
    /// They may still run tasks of earlier epochs. Without this call, no restored task is placed
    /// before all leases of earlier epochs have surely lapsed. With it, restored tasks are placed
    /// once the listed workers are surveyed and the leases of the added workers have lapsed.
    pub fn restore_unlisted(&mut self, now: Instant, workers: Vec<Worker>) {
        self.unlisted_restored = true;
        for target in workers {
            if self.fleet.slot(&target.name).is_none() {
                let link = Link::new(self.epoch_start, self.start.clean);
                self.fleet.add(target, link, now);
            }
        }
    }

    /// Applies the list of workers.
    pub(crate) fn update_list(&mut self, now: Instant, workers: Vec<(Worker, State)>) {
        self.listed = true;
        let mut listed = vec![false; self.fleet.len() as usize];
        for (target, state) in workers {
            let slot = self.add_listed(now, target, state) as usize;
            listed.resize(listed.len().max(slot + 1), false);
            listed[slot] = true;
        }
        for slot in (0..).zip(listed).filter(|(_, listed)| !listed) {
            self.unlist(now, slot.0);
        }
        self.fleet.update_largest();
    }

    /// Polls the workers that are due.
    pub(crate) fn poll_workers(&mut self, now: Instant) {
        for _ in 0..SYNCS_PER_CALL {
            let Some(slot) = self.fleet.due_worker(now) else {
                break;
            };
            self.poll_worker(now, slot);
        }
        self.settled |= self.settles_at().is_some_and(|at| at <= now);
    }

    /// Returns when the kernel settles, if it only has to wait for leases to lapse or the list to
    /// be complete.
    pub(crate) fn settles_at(&self) -> Option<Instant> {
        let surveyed = self.listed && self.fleet.unsurveyed == 0;
        // Without `restore_unlisted`, workers that the kernel doesn't know may still run tasks.
        let wait_ms = if self.unlisted_restored {
            SETTLE_MS
        } else {
            LEASE_LAPSED_MS
        };
        (surveyed && !self.settled).then_some(self.epoch_start + wait_ms)
    }

    /// Handles a `Sync` that failed or whose answer was lost.
    pub(crate) fn sync_failed(&mut self, now: Instant, name: &str, fenced: bool) {
        let Some(slot) = self.fleet.slot(name) else {
            return;
        };
        if fenced {
            return self.fence(slot);
        }
        let Some(worker) = self.fleet.get_mut(slot) else {
            return;
        };
        if worker.link.outstanding.take().is_none() || worker.link.fenced {
            return;
        }
        let unconfirmed = std::mem::take(&mut worker.acknowledging);
        worker.acknowledge.extend(unconfirmed);
        worker.link.last_contact = now;
        worker.link.failing_since.get_or_insert(now);
        let lapsed = worker.link.lapsed;
        self.fleet.reindex(slot);
        let wait = if lapsed { RECONNECT_MS } else { RETRY_MS };
        self.fleet.schedule_poll(slot, now + wait);
    }

    /// Handles a worker's report.
    pub(crate) fn synced(&mut self, now: Instant, name: &str, report: Report) {
        let Some(slot) = self.fleet.slot(name) else {
            return;
        };
        let Some(worker) = self.fleet.get_mut(slot) else {
            return;
        };
        let Some(sent) = worker.link.outstanding.take() else {
            return;
        };
        if worker.link.fenced {
            return;
        }
        let first = !std::mem::replace(&mut worker.link.answered, true);
        worker.acknowledging.clear();
        worker.link.last_contact = now;
        worker.link.failing_since = None;
        worker.link.lapsed = false;
        if worker.link.suspect_since.is_some_and(|since| sent >= since) {
            worker.link.suspect_since = None;
        }
        self.fleet.set_surveyed(slot);
        // Random jitter spreads the renewals of workers that were listed together.
        let wait_ms = match first {
            true => self.random.below(RENEWAL_PERIOD_MS),
            false => RENEWAL_PERIOD_MS,
        };
        self.fleet.schedule_poll(slot, (sent + wait_ms).max(now));
        let freed = self.apply_report(now, slot, sent, report);
        self.poll_at_expected_end(now, slot);
        self.fleet.reindex(slot);
        if freed {
            self.place_urgent(now);
        }
    }

    /// Brings the worker's next renewal forward.
    pub(crate) fn sync_early(&mut self, now: Instant, slot: Slot) {
        let Some(worker) = self.fleet.get(slot) else {
            return;
        };
        let idle = worker.link.outstanding.is_none() && worker.link.failing_since.is_none();
        if idle && worker.listed && !worker.link.fenced && worker.next_poll > now + SYNC_EARLY_MS {
            self.fleet.schedule_poll(slot, now + SYNC_EARLY_MS);
        }
    }

    /// Polls the worker when its next task is expected to end, if that is before the next renewal.
    /// Otherwise the end of a short task is detected only by the renewal, up to 2 s late.
    pub(crate) fn poll_at_expected_end(&mut self, now: Instant, slot: Slot) {
        let Some(worker) = self.fleet.get(slot) else {
            return;
        };
        let idle = worker.link.outstanding.is_none() && worker.link.failing_since.is_none();
        if !idle || !worker.listed || worker.link.fenced {
            return;
        }
        let keys = worker.keys.iter().take(END_POLL_TASKS_MAX);
        let ends = keys.filter_map(|key| self.next_end_poll(now, *key));
        let Some(end) = ends.min() else {
            return;
        };
        let at = (end + END_POLL_SLACK_MS).max(now + END_POLL_MIN_MS);
        if at < worker.next_poll {
            self.fleet.schedule_poll(slot, at);
        }
    }

    /// Returns when to poll for the end of a task that holds a lease. An overdue task is polled
    /// again after a quarter of its run time so far.
    fn next_end_poll(&self, now: Instant, key: Key) -> Option<Instant> {
        let job = self.jobs.get(key.serial)?;
        if job.spec.kind == Kind::Service {
            return None;
        }
        let state = job.tasks.get(key.index as usize)?;
        let Phase::Placed(placement) = &state.phase else {
            return None;
        };
        let end = placement.since + self.estimates.run_ms(job.group, &job.spec);
        match end > now {
            true => Some(end),
            false => Some(now + now.since(placement.since) / 4),
        }
    }

    fn add_listed(&mut self, now: Instant, target: Worker, state: State) -> Slot {
        let slot = match self.fleet.slot(&target.name) {
            Some(slot) => {
                self.fleet.update_target(slot, target);
                slot
            }
            None => {
                let link = Link::new(self.epoch_start, self.start.clean);
                self.fleet.add(target, link, now)
            }
        };
        let previous = self.fleet.get(slot).and_then(|worker| worker.departure);
        let departure = match (state, previous) {
            (State::Live, _) => None,
            (State::Leaving { within_ms: None }, None) => Some(Departure::Unknown),
            (State::Leaving { within_ms: None }, previous) => previous,
            (
                State::Leaving {
                    within_ms: Some(ms),
                },
                Some(Departure::At(at)),
            ) => Some(Departure::At(at.min(now + ms))),
            (
                State::Leaving {
                    within_ms: Some(ms),
                },
                _,
            ) => Some(Departure::At(now + ms)),
        };
        if departure != previous {
            self.fleet.set_departure(slot, departure);
        }
        if self.fleet.get(slot).is_some_and(|worker| !worker.listed) {
            self.fleet.set_listed(slot, true);
            self.fleet.schedule_poll(slot, now);
        }
        slot
    }

    fn unlist(&mut self, now: Instant, slot: Slot) {
        if self.fleet.get(slot).is_some_and(|worker| worker.listed) {
            self.fleet.set_listed(slot, false);
            self.fleet.schedule_poll(slot, now);
        }
    }

    fn fence(&mut self, slot: Slot) {
        if let Some(worker) = self.fleet.get_mut(slot) {
            worker.link.fenced = true;
            worker.link.outstanding = None;
        }
        self.fleet.reindex(slot);
        self.fleet.cancel_poll(slot);
    }

    fn poll_worker(&mut self, now: Instant, slot: Slot) {
        let Some(worker) = self.fleet.get(slot) else {
            return;
        };
        let link = &worker.link;
        if link.fenced {
            return self.fleet.cancel_poll(slot);
        }
        if let Some(sent) = link.outstanding {
            return self.await_answer(now, slot, sent);
        }
        let unresponsive = |since: Instant| now.since(since) >= RENEWAL_STOP_MS;
        let unresponsive = !link.lapsed && link.failing_since.is_some_and(unresponsive);
        if unresponsive || !worker.listed {
            return self.await_lapse(now, slot);
        }
        self.sync(now, slot);
    }

    fn await_answer(&mut self, now: Instant, slot: Slot, sent: Instant) {
        if now.since(sent) < CALL_TIMEOUT_MS {
            return self.fleet.schedule_poll(slot, sent + CALL_TIMEOUT_MS);
        }
        let name = self
            .fleet
            .get(slot)
            .map(|worker| worker.target.name.clone());
        if let Some(name) = name {
            self.sync_failed(now, &name, false);
        }
    }

    fn await_lapse(&mut self, now: Instant, slot: Slot) {
        let Some(worker) = self.fleet.get(slot) else {
            return;
        };
        let placing = worker.link.placements_in_flight > 0;
        let wait = LEASE_LAPSED_MS + if placing { CALL_TIMEOUT_MS } else { 0 };
        let lapse = worker.link.last_contact + wait;
        if now < lapse {
            let next = if placing { now + RETRY_MS } else { lapse };
            return self.fleet.schedule_poll(slot, next.min(lapse));
        }
        self.lapse(now, slot);
    }

    fn lapse(&mut self, now: Instant, slot: Slot) {
        self.fleet.set_surveyed(slot);
        let Some(worker) = self.fleet.get_mut(slot) else {
            return;
        };
        worker.link.lapsed = true;
        worker.link.placements_in_flight = 0;
        worker.orphaned = crate::size::Size::ZERO;
        let keys = worker.keys.clone();
        let listed = worker.listed;
        for key in keys {
            self.remove_placement(key);
            self.reschedule(now, key, Cause::Lost);
        }
        match listed {
            true => self.fleet.schedule_poll(slot, now),
            false => self.fleet.remove(slot),
        }
        self.fleet.reindex(slot);
    }

    fn sync(&mut self, now: Instant, slot: Slot) {
        let Some(worker) = self.fleet.get_mut(slot) else {
            return;
        };
        worker.link.outstanding = Some(now);
        worker.acknowledging = std::mem::take(&mut worker.acknowledge);
        let action = Action::Sync {
            worker: Arc::clone(&worker.target.name),
            acknowledge: worker.acknowledging.clone(),
        };
        self.actions.push(action);
        self.fleet.schedule_poll(slot, now + CALL_TIMEOUT_MS);
    }
}
