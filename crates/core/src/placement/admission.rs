//! Admission control: checks a job against its contract, the queue and the shard's workers.

use std::sync::Arc;

use crate::contract::is_name;
use crate::job::{Id, Kind, Priority, Spec, TASKS_MAX};
use crate::outcome::NotRun;
use crate::placement::account::Account;
use crate::placement::{Kernel, Refusal};
use crate::size::Size;

type Admission = std::result::Result<(), Refusal>;

impl Kernel {
    /// Checks whether a job may be accepted.
    ///
    /// # Errors
    ///
    /// Returns the reason if the contract doesn't allow the job, its queue is full or no VM of the
    /// shard can hold one of its tasks.
    pub fn admit(&self, contract: &str, job: &Spec) -> Admission {
        let account = self.account(contract, job)?;
        check_shape(job)?;
        check_limits(account, job)?;
        self.check_workers(job)?;
        check_queue(account, job)
    }

    /// Admits a job and reserves queue capacity while its record is written. The reservation ends
    /// when the job is submitted or released, so that concurrent submissions can't overfill the
    /// queue together.
    ///
    /// # Errors
    ///
    /// As [`Kernel::admit`].
    pub fn reserve_admission(&mut self, contract: &Arc<str>, job: &Spec) -> Admission {
        self.admit(contract, job)?;
        let account = self.accounts.get_or_insert(contract);
        let pending = &mut self.accounts.all[account].pending;
        let entry = pending.entry(job.id.clone()).or_default();
        entry.tasks = entry.tasks.max(u64::from(job.tasks));
        entry.submissions += 1;
        Ok(())
    }

    /// Releases a reservation of [`Kernel::reserve_admission`].
    ///
    /// `read_back` means that the job's record was read back from the log. `Event::Submitted` then
    /// releases the reservation, so it stays until that event is handled.
    pub fn release_admission(&mut self, id: &Id, read_back: bool) {
        if read_back && self.jobs.serial(id).is_none() {
            return;
        }
        let account = self.accounts.get_or_insert(&id.contract);
        let pending = &mut self.accounts.all[account].pending;
        let Some(entry) = pending.get_mut(&id.job) else {
            return;
        };
        entry.submissions -= 1;
        if entry.submissions == 0 {
            pending.remove(&id.job);
        }
    }

    fn account(&self, name: &str, job: &Spec) -> std::result::Result<&Account, Refusal> {
        let account = self.accounts.get(name);
        let contract = account.and_then(|account| account.contract.as_ref());
        let (Some(account), Some(contract)) = (account, contract) else {
            return Err(reject(format!("contract {name} does not exist")));
        };
        if job.pool != self.start.shard.group {
            let (pool, shard) = (&job.pool, &self.start.shard);
            return Err(reject(format!(
                "pool {pool} does not belong to shard {shard}"
            )));
        }
        if !contract.pools.contains_key(&job.pool) {
            let reason = format!("contract {name} does not include pool {}", job.pool);
            return Err(reject(reason));
        }
        if job.priority > contract.max_priority {
            let reason = format!(
                "priority {:?} exceeds the contract's highest priority {:?}",
                job.priority, contract.max_priority
            );
            return Err(reject(reason.to_lowercase()));
        }
        Ok(account)
    }

    fn check_workers(&self, job: &Spec) -> Admission {
        if self.fleet.is_empty() {
            return Err(Refusal::Later(NotRun::NoInstance));
        }
        if !self.fleet.can_hold(&job.size) {
            let reason = format!("no VM of shard {} can hold a task", self.start.shard);
            return Err(reject(reason));
        }
        if job.kind == Kind::Gang {
            let capacity = self.capacity(&job.size);
            if capacity < u64::from(job.tasks) {
                let reason = format!(
                    "gang of {} tasks is larger than shard {}, which holds {capacity}",
                    job.tasks, self.start.shard
                );
                return Err(reject(reason));
            }
        }
        Ok(())
    }

    /// Returns how many tasks of `size` the shard's workers can hold when they are empty.
    fn capacity(&self, size: &Size) -> u64 {
        let sizes = self.fleet.sizes();
        sizes
            .map(|(worker, counts)| {
                worker.count_fitting(size) * (counts.general + counts.short_only)
            })
            .sum()
    }
}

fn check_shape(job: &Spec) -> Admission {
    if !is_name(&job.id) {
        let reason = "id must be 1 to 64 characters of a-z, 0-9 and -";
        return Err(reject(reason.into()));
    }
    if job.tasks == 0 || job.tasks > TASKS_MAX {
        return Err(reject(format!("tasks must be 1 to {TASKS_MAX}")));
    }
    if job.size.millicores == 0 || job.size.memory_mb == 0 {
        let reason = "size must have millicores and memory_mb above 0";
        return Err(reject(reason.into()));
    }
    Ok(())
}

fn check_limits(account: &Account, job: &Spec) -> Admission {
    let required = match job.kind {
        Kind::Gang => job.size.times(u64::from(job.tasks)),
        Kind::Batch | Kind::Service => job.size,
    };
    let unit = match job.kind {
        Kind::Gang => "gang",
        Kind::Batch | Kind::Service => "task",
    };
    if !required.fits(&account.limit) {
        let reason = format!("{unit} exceeds the contract's share of the shard");
        return Err(reject(reason));
    }
    if job.priority == Priority::Urgent && !required.fits(&account.urgent_limit) {
        let reason = format!("{unit} exceeds the contract's urgent share of the shard");
        return Err(reject(reason));
    }
    Ok(())
}

fn check_queue(account: &Account, job: &Spec) -> Admission {
    let tasks = u64::from(job.tasks);
    if tasks > account.queue_limit {
        let reason = format!(
            "job of {tasks} tasks exceeds the queue of {}",
            account.queue_limit
        );
        return Err(reject(reason));
    }
    if account.waiting + account.pending_tasks_except(&job.id) + tasks > account.queue_limit {
        return Err(Refusal::Later(NotRun::Concurrency));
    }
    Ok(())
}

fn reject(reason: String) -> Refusal {
    Refusal::Never(reason.into())
}
