//! Synchronisation with workers: renewals, lost answers, lapsed leases and the VM list.

use std::sync::Arc;

use crate::job::Kind;
use crate::placement::index::Slot;
use crate::placement::task::Gone;
use crate::placement::work::{Key, Phase};
use crate::placement::worker::{Departure, Link};
use crate::placement::{Action, Kernel, Report};
use crate::target::{State, Worker};
use crate::time::Instant;
use crate::timing::{LEASE_LAPSED_MS, LEASE_MS, RENEWAL_PERIOD_MS, VM_LIST_PERIOD_MS};

/// Workers synchronised per call; 25,000 workers every 2 s need 625 per 50 ms.
const SYNCS_PER_CALL: usize = 1_250;
/// Milliseconds between tries while a worker doesn't answer.
const RETRY_MS: u64 = 1_000;
/// Milliseconds of failures after which renewals stop, so that the leases lapse for sure.
const GIVE_UP_MS: u64 = LEASE_MS / 2;
/// Milliseconds between tries to reach a worker whose leases lapsed.
const REACH_MS: u64 = 5_000;
/// Milliseconds after which a call that the host never answered counts as failed.
const CALL_MAX_MS: u64 = 30_000;
/// Milliseconds after a stop or the like at which the worker is asked for its report.
const SOON_MS: u64 = 200;
/// Least time between two reports of a worker whose tasks are about to end, in milliseconds.
const EARLY_MIN_MS: u64 = 250;
/// Milliseconds after the expected end of a task at which its worker is asked for its report.
const EARLY_SLACK_MS: u64 = 50;
/// Tasks of one worker looked at for the next expected end.
const EARLY_TASKS_MAX: usize = 64;
/// Milliseconds after the start of an epoch until the VM list is regarded as complete.
pub(crate) const SETTLE_MS: u64 = 2 * VM_LIST_PERIOD_MS;

impl Kernel {
    /// Takes over workers that were listed lately but no longer are, at the start of an epoch.
    ///
    /// They may still run tasks of earlier epochs. Without this call nothing that was taken over is
    /// placed before all leases of earlier epochs have surely lapsed; with it, as soon as the
    /// listed workers are surveyed and these have lapsed.
    pub fn restore_unlisted(&mut self, now: Instant, workers: Vec<Worker>) {
        self.recalled = true;
        for target in workers {
            if self.fleet.slot(&target.name).is_none() {
                let link = Link::new(self.began, self.start.clean);
                self.fleet.add(target, link, now);
            }
        }
    }

    /// Takes over the list of workers.
    pub(crate) fn list(&mut self, now: Instant, workers: Vec<(Worker, State)>) {
        self.listed = true;
        let mut seen = vec![false; self.fleet.len() as usize];
        for (target, state) in workers {
            let slot = self.list_one(now, target, state) as usize;
            seen.resize(seen.len().max(slot + 1), false);
            seen[slot] = true;
        }
        for slot in (0..).zip(seen).filter(|(_, seen)| !seen) {
            self.unlist(now, slot.0);
        }
        self.fleet.measure();
    }

    /// Looks at the workers whose time has come.
    pub(crate) fn wake_workers(&mut self, now: Instant) {
        for _ in 0..SYNCS_PER_CALL {
            let Some(slot) = self.fleet.next_due(now) else {
                break;
            };
            self.wake(now, slot);
        }
        self.settled |= self.settles_at().is_some_and(|at| at <= now);
    }

    /// Returns when all leases of earlier epochs are known, if that only takes time.
    pub(crate) fn settles_at(&self) -> Option<Instant> {
        let surveyed = self.listed && self.fleet.unsurveyed == 0;
        // Without the workers listed lately, one that is no longer listed may still run tasks.
        let wait_ms = if self.recalled {
            SETTLE_MS
        } else {
            LEASE_LAPSED_MS
        };
        (surveyed && !self.settled).then_some(self.began + wait_ms)
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
        let again = std::mem::take(&mut worker.acknowledging);
        worker.acknowledge.extend(again);
        worker.link.contact = now;
        worker.link.failing.get_or_insert(now);
        let lapsed = worker.link.lapsed;
        self.fleet.refresh(slot);
        let wait = if lapsed { REACH_MS } else { RETRY_MS };
        self.fleet.wake_at(slot, now + wait);
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
        worker.link.contact = now;
        worker.link.failing = None;
        worker.link.lapsed = false;
        if worker.link.distrusted.is_some_and(|since| sent >= since) {
            worker.link.distrusted = None;
        }
        self.fleet.set_surveyed(slot);
        // Workers listed together must not all report at the same time.
        let wait_ms = match first {
            true => self.random.below(RENEWAL_PERIOD_MS),
            false => RENEWAL_PERIOD_MS,
        };
        self.fleet.wake_at(slot, (sent + wait_ms).max(now));
        let freed = self.take_report(now, slot, sent, report);
        self.expect_end(now, slot);
        self.fleet.refresh(slot);
        if freed {
            self.place_urgent(now);
        }
    }

    /// Asks for the worker's report soon.
    pub(crate) fn sync_soon(&mut self, now: Instant, slot: Slot) {
        let Some(worker) = self.fleet.get(slot) else {
            return;
        };
        let calm = worker.link.outstanding.is_none() && worker.link.failing.is_none();
        if calm && worker.listed && !worker.link.fenced && worker.wake > now + SOON_MS {
            self.fleet.wake_at(slot, now + SOON_MS);
        }
    }

    /// Asks for the worker's report when its next task is expected to end, if that is before the
    /// next renewal. Without this a short task's end is known only with the renewal, up to 2 s late.
    pub(crate) fn expect_end(&mut self, now: Instant, slot: Slot) {
        let Some(worker) = self.fleet.get(slot) else {
            return;
        };
        let calm = worker.link.outstanding.is_none() && worker.link.failing.is_none();
        if !calm || !worker.listed || worker.link.fenced {
            return;
        }
        let keys = worker.keys.iter().take(EARLY_TASKS_MAX);
        let ends = keys.filter_map(|key| self.next_end(now, *key));
        let Some(end) = ends.min() else {
            return;
        };
        let at = (end + EARLY_SLACK_MS).max(now + EARLY_MIN_MS);
        if at < worker.wake {
            self.fleet.wake_at(slot, at);
        }
    }

    /// Returns when a confirmed task is expected to end. A task that is late is looked at again
    /// after a quarter of the time that it has been running.
    fn next_end(&self, now: Instant, key: Key) -> Option<Instant> {
        let job = self.book.get(key.serial)?;
        if job.spec.kind == Kind::Service {
            return None;
        }
        let item = job.items.get(key.index as usize)?;
        let Phase::Held(hold) = &item.phase else {
            return None;
        };
        let end = hold.since + self.learned.run_ms(job.group, &job.spec);
        match end > now {
            true => Some(end),
            false => Some(now + now.since(hold.since) / 4),
        }
    }

    fn list_one(&mut self, now: Instant, target: Worker, state: State) -> Slot {
        let slot = match self.fleet.slot(&target.name) {
            Some(slot) => {
                self.fleet.relist(slot, target);
                slot
            }
            None => {
                let link = Link::new(self.began, self.start.clean);
                self.fleet.add(target, link, now)
            }
        };
        let known = self.fleet.get(slot).and_then(|worker| worker.departure);
        let departure = match (state, known) {
            (State::Live, _) => None,
            (State::Leaving { within_ms: None }, None) => Some(Departure::Sometime),
            (State::Leaving { within_ms: None }, known) => known,
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
        if departure != known {
            self.fleet.set_departure(slot, departure);
        }
        if self.fleet.get(slot).is_some_and(|worker| !worker.listed) {
            self.fleet.set_listed(slot, true);
            self.fleet.wake_at(slot, now);
        }
        slot
    }

    fn unlist(&mut self, now: Instant, slot: Slot) {
        if self.fleet.get(slot).is_some_and(|worker| worker.listed) {
            self.fleet.set_listed(slot, false);
            self.fleet.wake_at(slot, now);
        }
    }

    fn fence(&mut self, slot: Slot) {
        if let Some(worker) = self.fleet.get_mut(slot) {
            worker.link.fenced = true;
            worker.link.outstanding = None;
        }
        self.fleet.refresh(slot);
        self.fleet.forget_due(slot);
    }

    fn wake(&mut self, now: Instant, slot: Slot) {
        let Some(worker) = self.fleet.get(slot) else {
            return;
        };
        let link = &worker.link;
        if link.fenced {
            return self.fleet.forget_due(slot);
        }
        if let Some(sent) = link.outstanding {
            return self.await_answer(now, slot, sent);
        }
        let silent = |since: Instant| now.since(since) >= GIVE_UP_MS;
        let silent = !link.lapsed && link.failing.is_some_and(silent);
        if silent || !worker.listed {
            return self.await_lapse(now, slot);
        }
        self.sync(now, slot);
    }

    fn await_answer(&mut self, now: Instant, slot: Slot, sent: Instant) {
        if now.since(sent) < CALL_MAX_MS {
            return self.fleet.wake_at(slot, sent + CALL_MAX_MS);
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
        let placing = worker.link.placing > 0;
        let wait = LEASE_LAPSED_MS + if placing { CALL_MAX_MS } else { 0 };
        let lapse = worker.link.contact + wait;
        if now < lapse {
            let soon = if placing { now + RETRY_MS } else { lapse };
            return self.fleet.wake_at(slot, soon.min(lapse));
        }
        self.lapse(now, slot);
    }

    fn lapse(&mut self, now: Instant, slot: Slot) {
        self.fleet.set_surveyed(slot);
        let Some(worker) = self.fleet.get_mut(slot) else {
            return;
        };
        worker.link.lapsed = true;
        worker.link.placing = 0;
        worker.foreign = crate::size::Size::ZERO;
        let keys = worker.keys.clone();
        let listed = worker.listed;
        for key in keys {
            self.unhold(key);
            self.again(now, key, Gone::Lost);
        }
        match listed {
            true => self.fleet.wake_at(slot, now),
            false => self.fleet.remove(slot),
        }
        self.fleet.refresh(slot);
    }

    fn sync(&mut self, now: Instant, slot: Slot) {
        let Some(worker) = self.fleet.get_mut(slot) else {
            return;
        };
        worker.link.outstanding = Some(now);
        worker.acknowledging = std::mem::take(&mut worker.acknowledge);
        let step = Action::Sync {
            worker: Arc::clone(&worker.target.name),
            acknowledge: worker.acknowledging.clone(),
        };
        self.out.push(step);
        self.fleet.wake_at(slot, now + CALL_MAX_MS);
    }
}
