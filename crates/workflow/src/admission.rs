//! Admission of new jobs: a job is refused if its team and queue can't start it while it is of use.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::job::{Id, Queue, Spec, Step};
use crate::run::Job;
use crate::shard::Shard;
use crate::task::StepKey;

/// Time over which the rate of starts is averaged, in milliseconds.
const PERIOD_MS: f64 = 4_000.0;

/// Shortest time for which a rate must have been observed, in milliseconds.
const OBSERVED_MIN_MS: u64 = 2_000;

/// Age of the last read of the jobs up to which jobs are refused, in milliseconds. An unread record may
/// be about the same job. A read waits for up to a second for new records.
const JOBS_FRESH_MS: u64 = 1_500;

/// Share of the useful wait up to which jobs are accepted. Jobs that are accepted at the limit would
/// miss it half of the time.
const USEFUL_SHARE: f64 = 0.6;

/// Rate in tasks at work below which a flow counts as stopped, which isn't for lack of capacity alone.
const RATE_MIN: f64 = 0.01;

/// Work of a team in a queue. Work is counted in milliseconds of run time.
#[derive(Clone, Copy, Debug, Default)]
struct Flow {
    /// Work that was started, with older work at lower weight.
    started: f64,
    first_ms: u64,
    updated_ms: u64,
    /// Work that waits and can still be of use.
    waiting: f64,
}

impl Flow {
    /// Returns the work that is started per millisecond; `None` if it was not observed for long enough.
    fn rate(&self, now_ms: u64) -> Option<f64> {
        let observed_ms = now_ms.saturating_sub(self.first_ms);
        if self.first_ms == 0 || observed_ms < OBSERVED_MIN_MS {
            return None;
        }
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let started = self.started * (-age_ms / PERIOD_MS).exp();
        // Less than a period was observed at first.
        let covered = 1.0 - (-(observed_ms as f64) / PERIOD_MS).exp();
        Some(started / (PERIOD_MS * covered))
    }

    fn start(&mut self, work: f64, now_ms: u64) {
        if self.first_ms == 0 {
            self.first_ms = now_ms;
        }
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.started = self.started * (-age_ms / PERIOD_MS).exp() + work;
        self.updated_ms = now_ms;
        self.waiting = (self.waiting - work).max(0.0);
    }
}

/// Queue and team of a flow.
type FlowKey = (Arc<str>, Option<Arc<str>>);

/// Work by queue and team.
#[derive(Debug, Default)]
pub(crate) struct Flows {
    flows: BTreeMap<FlowKey, Flow>,
    /// Waiting work that a count has found so far.
    counted: BTreeMap<FlowKey, f64>,
}

impl Flows {
    /// Begins to count the waiting work again.
    pub(crate) fn begin_count(&mut self) {
        self.counted.clear();
    }
}

impl Shard {
    /// Returns for how long the caller of a new job should wait before it submits it again, in
    /// milliseconds; `None` if the job is to be accepted. Without teams every job is.
    #[must_use]
    pub fn refusal(&self, id: Id, queue: &str, spec: &Spec, now_ms: u64) -> Option<u64> {
        let is_judged = self.teams.is_some()
            && !self.jobs.contains_key(&id)
            && self.recovery.is_fenced(now_ms)
            && now_ms < self.jobs_read_ms + JOBS_FRESH_MS;
        let queue = self.queues.get(queue).filter(|_| is_judged)?;
        let duration = self.duration(queue, spec, now_ms)?;
        let flow = (queue.name.clone(), spec.team.clone());
        let flow = self
            .outlook
            .flows
            .flows
            .get(&flow)
            .copied()
            .unwrap_or_default();
        let own = flow.rate(now_ms).unwrap_or(0.0);
        let rate = own.max(self.owed_rate(queue, spec, now_ms));
        if rate < RATE_MIN {
            return None;
        }
        let wait_ms = flow.waiting / rate;
        let useful_wait_ms = (duration.useful_ms - duration.path_ms) * USEFUL_SHARE;
        (wait_ms > useful_wait_ms).then_some((wait_ms - useful_wait_ms) as u64)
    }

    /// Returns the rate that a team's weight gives it of what is started of a queue.
    fn owed_rate(&self, queue: &Queue, spec: &Spec, now_ms: u64) -> f64 {
        let weight = |name: &Option<Arc<str>>| {
            let team = self.teams.as_ref()?.get(name.as_ref()?)?;
            Some(team.weight)
        };
        let Some(own_weight) = weight(&spec.team) else {
            return 0.0;
        };
        let (mut rate, mut total_weight) = (0.0, 0.0);
        for ((name, team), flow) in &self.outlook.flows.flows {
            if *name == queue.name {
                rate += flow.rate(now_ms).unwrap_or(0.0);
                let is_other = *team != spec.team;
                total_weight += weight(team).filter(|_| is_other).unwrap_or(0.0);
            }
        }
        match own_weight + total_weight {
            total if total > 0.0 => rate * own_weight / total,
            _ => 0.0,
        }
    }

    /// Counts the work of a job that was accepted.
    pub(crate) fn count_accepted(&mut self, id: Id, now_ms: u64) {
        let Some(job) = self.jobs.get(&id).filter(|_| self.teams.is_some()) else {
            return;
        };
        let key = (job.queue.clone(), job.spec.team.clone());
        let work = self.waiting_work(job, now_ms);
        let flows = &mut self.outlook.flows;
        *flows.counted.entry(key.clone()).or_default() += work;
        flows.flows.entry(key).or_default().waiting += work;
    }

    /// Counts the waiting work of a job that can still be of use.
    pub(crate) fn count_waiting(&mut self, id: Id, now_ms: u64) {
        let Some(job) = self.jobs.get(&id).filter(|_| self.teams.is_some()) else {
            return;
        };
        if !self.is_overdue(job, now_ms) {
            let key = (job.queue.clone(), job.spec.team.clone());
            let work = self.waiting_work(job, now_ms);
            *self.outlook.flows.counted.entry(key).or_default() += work;
        }
    }

    /// Counts the start of a task.
    pub(crate) fn count_started(&mut self, key: StepKey, step: &Step, now_ms: u64) {
        let Some(job) = self.jobs.get(&key.job).filter(|_| self.teams.is_some()) else {
            return;
        };
        let expected = self.expected(&job.queue, step, now_ms);
        if let Some(expected) = expected.filter(|_| !step.service) {
            let flow = (job.queue.clone(), job.spec.team.clone());
            let flow = self.outlook.flows.flows.entry(flow).or_default();
            flow.start(expected.ms(), now_ms);
        }
    }

    /// Applies the count of the work that waits and can still be of use.
    pub(crate) fn refresh_flows(&mut self, now_ms: u64) {
        if self.teams.is_none() {
            self.outlook.flows = Flows::default();
            return;
        }
        let is_idle = |flow: &Flow| match flow.rate(now_ms) {
            Some(rate) => rate < RATE_MIN,
            None => flow.first_ms == 0,
        };
        let Flows { flows, counted } = &mut self.outlook.flows;
        flows.retain(|_, flow| !is_idle(flow));
        for flow in flows.values_mut() {
            flow.waiting = 0.0;
        }
        for (key, work) in std::mem::take(counted) {
            flows.entry(key).or_default().waiting = work;
        }
    }

    /// Returns the expected work of the tasks of a job that wait.
    fn waiting_work(&self, job: &Job, now_ms: u64) -> f64 {
        let first = job.occurrences.values().next().into_iter().flatten();
        let work = first.zip(&job.spec.steps).map(|(run, step)| {
            let expected = self.expected(&job.queue, step, now_ms);
            let expected = expected.filter(|_| !step.service);
            expected.map_or(0.0, |expected| expected.ms() * f64::from(run.waiting))
        });
        work.sum()
    }
}
