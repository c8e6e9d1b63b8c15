//! Access of teams to jobs: a job of a team is visible to callers of that team only.

use std::sync::Arc;

use crate::job::{Id, State};
use crate::shard::Shard;

/// Returns whether a caller may access a job. Callers without a team use a queue that needs no key, or
/// a configuration without teams; jobs without a team came from such callers.
fn may_access(owner: Option<&str>, caller: Option<&str>) -> bool {
    owner.is_none() || caller.is_none() || owner == caller
}

impl Shard {
    /// Returns whether a job is known and a caller of a team may access it.
    #[must_use]
    pub fn is_accessible(&self, id: Id, team: Option<&str>) -> bool {
        let job = self.jobs.get(&id).map(|job| job.spec.team.as_deref());
        let owner = job.or_else(|| self.moves.forwarded_team(id));
        owner.is_some_and(|owner| may_access(owner, team))
    }

    /// Cancels a job. A cancellation that arrives before its job is remembered.
    pub fn cancel(&mut self, id: Id, now_ms: u64) {
        self.cancel_for(id, None, now_ms);
    }

    /// Cancels a job on behalf of a team. Has no effect on a job of another team.
    pub fn cancel_for(&mut self, id: Id, team: Option<Arc<str>>, now_ms: u64) {
        match self.jobs.get(&id) {
            None => {
                let at_ms = self.time_of_end(now_ms);
                self.early_cancellations.entry((id, team)).or_insert(at_ms);
            }
            Some(job) if job.is_ended() => {}
            Some(_) if !self.is_accessible(id, team.as_deref()) => {}
            Some(_) => self.finish_job(id, State::Cancelled, now_ms),
        }
    }

    /// Forgets the cancellations that arrived before a job. Returns whether one of them applies to it.
    pub(crate) fn take_early_cancellations(&mut self, id: Id) -> bool {
        let later = self.early_cancellations.range((id, None)..);
        let keys: Vec<_> = later
            .map(|(key, _)| key.clone())
            .take_while(|(other, _)| *other == id)
            .collect();
        let mut applies = false;
        for key in keys {
            self.early_cancellations.remove(&key);
            applies |= self.is_accessible(id, key.1.as_deref());
        }
        applies
    }
}
