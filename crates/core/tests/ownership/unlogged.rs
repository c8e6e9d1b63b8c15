//! Recording of dispatches that nodes made without the log.

use rosemaryworks_core::record::Cell;

use super::World;

impl World {
    /// Appends records of the dispatches that the node made without the log.
    pub(super) fn append_unlogged(&mut self, index: usize) {
        let open: Vec<_> = self.nodes[index].unlogged.keys().cloned().collect();
        for (shard, epoch) in open {
            let record = Cell::Intent {
                shard,
                epoch,
                requests: Vec::new(),
                at_unix_ms: self.now,
            };
            self.append(index, record, None);
        }
    }

    /// Reports to the kernel which dispatches are in the log, if `record` is the node's own and
    /// valid.
    pub(super) fn confirm_logged(&mut self, index: usize, record: &Cell) {
        let Cell::Intent {
            shard,
            epoch,
            at_unix_ms,
            ..
        } = record
        else {
            return;
        };
        let node = &mut self.nodes[index];
        let ownership = node.kernel.ledger().get(shard);
        let valid = ownership.is_some_and(|current| current.epoch == *epoch && !current.released);
        let key = (shard.clone(), *epoch);
        let Some(times) = node.unlogged.get_mut(&key).filter(|_| valid) else {
            return;
        };
        let before = times.len();
        times.retain(|time| time > at_unix_ms);
        let written = (before - times.len()) as u64;
        if times.is_empty() {
            node.unlogged.remove(&key);
        }
        node.kernel.confirm_unlogged_grants(shard, *epoch, written);
    }
}
