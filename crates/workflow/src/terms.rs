//! Terms of queues. Accepted jobs keep those of their queue when a configuration removes it.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::job::{Address, Id, Queue};
use crate::record::Record;
use crate::shard::Shard;

impl Shard {
    /// Returns the names of the queues of open jobs.
    pub(crate) fn queues_in_use(&self) -> BTreeSet<Arc<str>> {
        let open = self.jobs.values().filter(|job| !job.is_ended());
        open.map(|job| job.queue.clone()).collect()
    }

    /// Replaces the queues of the shard. Jobs that were accepted before keep the last terms of their
    /// queue if it has been removed or belongs to another shard now.
    pub fn set_queues(&mut self, queues: impl IntoIterator<Item = Queue>) {
        let former = std::mem::take(&mut self.queues);
        self.queues = queues
            .into_iter()
            .map(|queue| (queue.name.clone(), Arc::new(queue)))
            .collect();
        let in_use = self.queues_in_use();
        for (name, queue) in former {
            if in_use.contains(&name) {
                self.queues.entry(name).or_insert(queue);
            }
        }
        for name in in_use {
            self.record_terms(&name);
        }
        self.sort_ready();
    }

    /// Replaces the names of the shard's queues by address. Jobs whose queue is unknown belong to the queue
    /// of their address: their process knew the address under an earlier name.
    pub fn set_addresses(&mut self, addresses: impl IntoIterator<Item = (Address, Arc<str>)>) {
        self.addresses = addresses.into_iter().collect();
        let unknown = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.is_ended() && !self.queues.contains_key(&job.queue));
        let named = unknown.filter_map(|(id, job)| {
            let name = self.addresses.get(&job.spec.address)?;
            Some((*id, name.clone()))
        });
        let named: Vec<(Id, Arc<str>)> = named.collect();
        for (id, name) in named {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.queue = name;
            }
        }
        self.sort_ready();
    }

    /// Returns the name of the queue to which a job belongs that was submitted under a name.
    pub(crate) fn queue_name(&self, name: Arc<str>, address: Address) -> Arc<str> {
        match self.addresses.get(&address) {
            Some(current) if !self.queues.contains_key(&name) => current.clone(),
            _ => name,
        }
    }

    /// Records the terms of a queue, so that a successor knows them if the queue is removed.
    pub(crate) fn record_terms(&mut self, name: &Arc<str>) {
        let Some(queue) = self.queues.get(name).cloned() else {
            return;
        };
        if self.recovery.is_replaying() || self.recorded_terms.get(name) == Some(&queue) {
            return;
        }
        self.recorded_terms.insert(name.clone(), queue.clone());
        self.record(Record::Terms(queue));
    }

    /// Applies the terms of a queue that a previous owner recorded.
    pub(crate) fn replay_terms(&mut self, queue: Arc<Queue>) {
        let name = queue.name.clone();
        self.recorded_terms.insert(name.clone(), queue.clone());
        self.queues.entry(name).or_insert(queue);
    }

    /// Returns the records of the terms of queues in use in a snapshot.
    pub(crate) fn terms_records(&self) -> Vec<Record> {
        let in_use = self.queues_in_use().into_iter();
        let queues = in_use.filter_map(|name| self.queues.get(&name).cloned());
        queues.map(Record::Terms).collect()
    }
}
