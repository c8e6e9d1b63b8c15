//! Whether a job may be accepted.

use std::sync::Arc;

use crate::contract::is_name;
use crate::job::{Id, Kind, Priority, Spec, TASKS_MAX};
use crate::outcome::NotRun;
use crate::placement::account::Account;
use crate::placement::{Kernel, Refusal};
use crate::size::Size;

type Verdict = std::result::Result<(), Refusal>;

impl Kernel {
    /// Tells whether a job may be accepted.
    ///
    /// # Errors
    ///
    /// Returns the reason if the contract doesn't allow the job or no VM of the shard can hold one
    /// of its tasks.
    pub fn admit(&self, contract: &str, job: &Spec) -> Verdict {
        let account = self.account(contract, job)?;
        check_shape(job)?;
        check_limits(account, job)?;
        self.check_workers(job)?;
        check_queue(account, job)
    }

    /// Admits a job whose record is about to be written. Its tasks count as waiting until the job is
    /// submitted or withdrawn, so that submissions in flight can't exceed the queue together.
    ///
    /// # Errors
    ///
    /// As [`Kernel::admit`].
    pub fn reserve_admission(&mut self, contract: &Arc<str>, job: &Spec) -> Verdict {
        self.admit(contract, job)?;
        let account = self.accounts.open(contract);
        let arriving = &mut self.accounts.all[account].arriving;
        let arrival = arriving.entry(job.id.clone()).or_default();
        arrival.tasks = arrival.tasks.max(u64::from(job.tasks));
        arrival.writers += 1;
        Ok(())
    }

    /// Ends a reservation. If the record was read back, the job's event ends it, which may still be
    /// on its way.
    pub fn release_admission(&mut self, id: &Id, read_back: bool) {
        if read_back && self.book.serial(id).is_none() {
            return;
        }
        let account = self.accounts.open(&id.contract);
        let arriving = &mut self.accounts.all[account].arriving;
        let Some(arrival) = arriving.get_mut(&id.job) else {
            return;
        };
        arrival.writers -= 1;
        if arrival.writers == 0 {
            arriving.remove(&id.job);
        }
    }

    fn account(&self, name: &str, job: &Spec) -> std::result::Result<&Account, Refusal> {
        let account = self.accounts.get(name);
        let contract = account.and_then(|account| account.contract.as_ref());
        let (Some(account), Some(contract)) = (account, contract) else {
            return Err(never(format!("contract {name} does not exist")));
        };
        if job.pool != self.start.shard.group {
            let (pool, shard) = (&job.pool, &self.start.shard);
            return Err(never(format!(
                "pool {pool} does not belong to shard {shard}"
            )));
        }
        if !contract.pools.contains_key(&job.pool) {
            let reason = format!("contract {name} does not include pool {}", job.pool);
            return Err(never(reason));
        }
        if job.priority > contract.max_priority {
            let reason = format!(
                "priority {:?} exceeds the contract's highest priority {:?}",
                job.priority, contract.max_priority
            );
            return Err(never(reason.to_lowercase()));
        }
        Ok(account)
    }

    fn check_workers(&self, job: &Spec) -> Verdict {
        if self.fleet.is_empty() {
            return Err(Refusal::Later(NotRun::NoInstance));
        }
        if !self.fleet.can_hold(&job.size) {
            let reason = format!("no VM of shard {} can hold a task", self.start.shard);
            return Err(never(reason));
        }
        if job.kind == Kind::Gang {
            let places = self.places(&job.size);
            if places < u64::from(job.tasks) {
                let reason = format!(
                    "gang of {} tasks is larger than shard {}, which holds {places}",
                    job.tasks, self.start.shard
                );
                return Err(never(reason));
            }
        }
        Ok(())
    }

    /// Returns how many tasks of `size` the shard's workers hold when they are empty.
    fn places(&self, size: &Size) -> u64 {
        let sizes = self.fleet.sizes();
        sizes
            .map(|(worker, kin)| worker.count_fitting(size) * (kin.open + kin.closed))
            .sum()
    }
}

fn check_shape(job: &Spec) -> Verdict {
    if !is_name(&job.id) {
        let reason = "id must be 1 to 64 characters of a-z, 0-9 and -";
        return Err(never(reason.into()));
    }
    if job.tasks == 0 || job.tasks > TASKS_MAX {
        return Err(never(format!("tasks must be 1 to {TASKS_MAX}")));
    }
    if job.size.millicores == 0 || job.size.memory_mb == 0 {
        let reason = "size must have millicores and memory_mb above 0";
        return Err(never(reason.into()));
    }
    Ok(())
}

fn check_limits(account: &Account, job: &Spec) -> Verdict {
    let together = match job.kind {
        Kind::Gang => job.size.times(u64::from(job.tasks)),
        Kind::Batch | Kind::Service => job.size,
    };
    let what = match job.kind {
        Kind::Gang => "gang",
        Kind::Batch | Kind::Service => "task",
    };
    if !together.fits(&account.limit) {
        let reason = format!("{what} exceeds the contract's share of the shard");
        return Err(never(reason));
    }
    if job.priority == Priority::Urgent && !together.fits(&account.urgent_limit) {
        let reason = format!("{what} exceeds the contract's urgent share of the shard");
        return Err(never(reason));
    }
    Ok(())
}

fn check_queue(account: &Account, job: &Spec) -> Verdict {
    let tasks = u64::from(job.tasks);
    if tasks > account.queue {
        let reason = format!(
            "job of {tasks} tasks exceeds the queue of {}",
            account.queue
        );
        return Err(never(reason));
    }
    if account.waiting + account.arriving(&job.id) + tasks > account.queue {
        return Err(Refusal::Later(NotRun::Concurrency));
    }
    Ok(())
}

fn never(reason: String) -> Refusal {
    Refusal::Never(reason.into())
}
