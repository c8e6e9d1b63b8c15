//! Snapshot of a shard: what must outlive the records of the streams, which the log retains for a
//! limited time.
//!
//! The owner stores the snapshot under keys whose newest record the log retains for good. It is written
//! when ownership begins and then periodically; a successor applies it before the records of the
//! streams.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

use crate::job::{Address, Id, State};
use crate::record::Record;
use crate::run::Job;
use crate::shard::Shard;

/// Number of periods into which the retention time of ended jobs is divided. Jobs that ended in the
/// same period are stored, and forgotten, together.
const PERIODS_PER_RETENTION: u64 = 8;

/// Upper bound of the jobs in a record.
const JOBS_PER_RECORD: usize = 1_000;

/// Final states, in the order in which they are stored.
const FINAL_STATES: [State; 3] = [State::Cancelled, State::Completed, State::Failed];

/// Records that are stored under a key. They replace all earlier ones of the key.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Key.
    pub key: Arc<str>,
    /// Records, in the order in which they are replayed.
    pub records: Vec<Record>,
}

/// Identifiers with times on the shard's clock in milliseconds.
type Times = Vec<(Id, u64)>;

/// Name of the team of a job or a caller, if it has one.
type Team = Option<Arc<str>>;

impl Shard {
    /// Returns the snapshot. Entries of an earlier snapshot whose keys are missing are to be deleted
    /// after the others have been stored.
    #[must_use]
    pub fn snapshot(&self, now_ms: u64) -> Vec<Entry> {
        let clock = Record::Clock {
            at_ms: self.clock.at(now_ms),
        };
        let mut entries = vec![Entry {
            key: "clock".into(),
            records: vec![clock],
        }];
        let optional = [
            ("quota", self.quota_records()),
            ("moves", self.move_records()),
            ("terms", self.terms_records()),
        ];
        for (key, records) in optional {
            if !records.is_empty() {
                let key = key.into();
                entries.push(Entry { key, records });
            }
        }
        entries.extend(self.ended_jobs());
        entries.extend(self.early_cancellations());
        entries.extend(self.open_job_entries());
        entries
    }

    fn ended_jobs(&self) -> impl Iterator<Item = Entry> {
        let mut periods: BTreeMap<u64, BTreeMap<(usize, Team), Times>> = BTreeMap::new();
        for (id, job) in &self.jobs {
            let index = job
                .ended
                .and_then(|(state, _)| FINAL_STATES.iter().position(|other| *other == state));
            if let Some(index) = index {
                let period = periods.entry(self.period(job.ended_ms)).or_default();
                let jobs = period.entry((index, job.spec.team.clone())).or_default();
                jobs.push((*id, job.ended_ms));
            }
        }
        periods.into_iter().map(|(period, states)| Entry {
            key: format!("ended-{period}").into(),
            records: states
                .into_iter()
                .flat_map(|((index, team), jobs)| {
                    in_records(jobs, |jobs| Record::Retained {
                        state: FINAL_STATES[index],
                        jobs,
                        team: team.clone(),
                    })
                })
                .collect(),
        })
    }

    fn early_cancellations(&self) -> impl Iterator<Item = Entry> {
        let mut periods: BTreeMap<u64, BTreeMap<Team, Times>> = BTreeMap::new();
        for ((id, team), at_ms) in &self.early_cancellations {
            let period = periods.entry(self.period(*at_ms)).or_default();
            let jobs = period.entry(team.clone()).or_default();
            jobs.push((*id, *at_ms));
        }
        periods.into_iter().map(|(period, teams)| Entry {
            key: format!("cancelled-{period}").into(),
            records: teams
                .into_iter()
                .flat_map(|(team, jobs)| {
                    in_records(jobs, |jobs| Record::CancelledEarly {
                        jobs,
                        team: team.clone(),
                    })
                })
                .collect(),
        })
    }

    /// Returns the number of the period of a time on the shard's clock.
    fn period(&self, at_ms: u64) -> u64 {
        at_ms / self.period_ms()
    }

    fn period_ms(&self) -> u64 {
        (self.settings.keep_ms / PERIODS_PER_RETENTION).max(1)
    }

    /// Applies the end of a job that a previous owner recorded, with the time on the shard's clock if
    /// it is known. The job's submission may have expired, or be repeated later in the streams.
    pub(crate) fn replay_end(
        &mut self,
        id: Id,
        state: State,
        at_ms: Option<u64>,
        team: Option<&Arc<str>>,
    ) {
        let at_ms = at_ms.inspect(|at_ms| self.clock.advance(*at_ms));
        if self.jobs.get(&id).is_none_or(|job| !job.is_ended()) {
            self.jobs.entry(id).or_insert_with(|| {
                self.open_jobs += 1;
                Job::unknown(team.cloned(), &self.memory)
            });
            self.end_job(id, state, 0, 0);
        }
        if let (Some(job), Some(at_ms)) = (self.jobs.get_mut(&id), at_ms) {
            job.ended_ms = at_ms;
        }
    }

    /// Applies the end of a job whose submission a replay skips.
    pub fn replay_ended(
        &mut self,
        id: Id,
        state: State,
        at_ms: Option<u64>,
        address: Address,
        team: Option<Arc<str>>,
    ) {
        self.replay_end(id, state, at_ms, team.as_ref());
        if let Some(job) = self.jobs.get_mut(&id) {
            job.set_address(address);
        }
    }

    /// Sets the times that previous owners did not record and starts the shard's clock.
    pub(crate) fn start_clock(&mut self, now_ms: u64) {
        let at_ms = self.clock.at(now_ms);
        let ended = self.jobs.values_mut().map(|job| &mut job.ended_ms);
        for time_ms in ended.chain(self.early_cancellations.values_mut()) {
            *time_ms = (*time_ms).min(at_ms);
        }
        self.clock.start(now_ms);
    }

    /// Forgets the jobs whose state is no longer retained. A job is known for as long as the log may
    /// return its submission, which would start it again.
    pub(crate) fn forget_jobs(&mut self, now_ms: u64) {
        let (clock_ms, read_ms) = (self.clock.at(now_ms), self.clock.at(self.jobs_read_ms));
        let (period_ms, keep_ms) = (self.period_ms(), self.settings.keep_ms);
        let is_due = |at_ms: u64| clock_ms >= (at_ms / period_ms + 1) * period_ms + keep_ms;
        let first = self.first_retained;
        let is_stored =
            |job: &Job| job.ended_ms > read_ms || job.logged.is_some_and(|offset| offset >= first);
        self.jobs
            .retain(|_, job| !job.is_ended() || !is_due(job.ended_ms) || is_stored(job));
        self.early_cancellations.retain(|_, at_ms| !is_due(*at_ms));
    }

    /// Drops the specifications of ended jobs whose attempts have stopped.
    pub(crate) fn drop_specs(&mut self) {
        let runs = self.hosts.values().flat_map(|host| host.runs.keys());
        let running: HashSet<Id> = runs.map(|key| key.step.job).collect();
        let stopped = |(id, job): &(&Id, &mut Job)| job.is_ended() && !running.contains(id);
        for (_, job) in self.jobs.iter_mut().filter(stopped) {
            job.drop_spec();
        }
    }

    /// Records the first offset that the log retains of the jobs' stream.
    pub fn retained_from(&mut self, offset: u64) {
        self.first_retained = self.first_retained.max(offset);
        self.moves.retained_from(self.first_retained);
    }
}

/// Distributes jobs over records, in the order of their identifiers.
fn in_records(mut jobs: Times, record: impl Fn(Times) -> Record) -> Vec<Record> {
    jobs.sort_unstable_by_key(|(id, _)| *id);
    jobs.chunks(JOBS_PER_RECORD)
        .map(|jobs| record(jobs.to_vec()))
        .collect()
}
