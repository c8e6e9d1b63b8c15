//! Limits of a process, derived from the memory and the descriptors of its VM.

/// Memory of a VM without the setting, in MB: that of the smallest VM.
const DEFAULT_MEMORY_MB: u64 = 120;

/// Descriptors of a VM without the setting: those of the smallest VM.
const DEFAULT_MAX_FDS: u64 = 3_075;

/// Memory of a process without clients in MB. The allocator's fragmentation is not part of it.
const OWN_MEMORY_MB: u64 = 24;

/// Least memory for clients in MB. One job of the largest size needs 2 MB.
const CLIENT_MEMORY_MIN_MB: u64 = 8;

/// Size of a socket's buffer in one direction in bytes. The system reserves twice as much.
pub const SOCKET_BUFFER_BYTES: u32 = 16 * 1024;

/// Size of a link's socket buffer in one direction in bytes. Owners send commands for many workers at
/// once.
pub const LINK_BUFFER_BYTES: u32 = 64 * 1024;

/// Memory of a connection in bytes: the buffers of its socket, those of the HTTP library and the
/// state of a request.
const CONNECTION_BYTES: u64 = 4 * SOCKET_BUFFER_BYTES as u64 + 32 * 1024;

/// Descriptors reserved for files, if the process may open more than twice as many.
const FILE_DESCRIPTORS: u64 = 200;

/// Listener of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Listener {
    /// Callers.
    Callers,
    /// Links from other processes.
    Links,
    /// Metrics.
    Metrics,
    /// Readiness probes.
    Probes,
}

/// Limits of what clients make the process hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Memory for bodies and for what they are decoded to, in bytes.
    pub body_bytes: u64,
    /// Memory for the jobs of all owned shards, in bytes.
    pub job_bytes: u64,
    /// Memory for the records of a shard that wait to be written, in bytes.
    pub queue_bytes: usize,
    /// Connections of callers.
    pub callers: usize,
    /// Links from other processes.
    pub links: usize,
    /// Memory for messages that links have received in part or not yet sent, in bytes.
    pub link_bytes: u64,
    /// Connections to the metrics and, separately, to the readiness probes.
    pub monitors: usize,
}

impl Limits {
    /// Derives the limits from the memory in MB and the number of descriptors of the VM.
    ///
    /// Half of the memory beyond that of the process itself is left to the allocator's fragmentation
    /// and, three eighths, to jobs. At least two fifths of the descriptors are left to calls of the log and the
    /// workers and to links that the process opens itself. Links are limited by descriptors alone: an
    /// owner has one from every other process, and an idle one takes 14 KiB.
    #[must_use]
    pub fn derive(memory_mb: Option<u64>, max_fds: Option<u64>) -> Self {
        let memory_mb = memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
        let fds = max_fds.unwrap_or(DEFAULT_MAX_FDS);
        let clients_mb = (memory_mb.saturating_sub(OWN_MEMORY_MB) / 2).max(CLIENT_MEMORY_MIN_MB);
        let clients = clients_mb * 1024 * 1024;
        let fds = fds.saturating_sub(FILE_DESCRIPTORS).max(fds / 2);
        let count =
            |share: u64, least: u64| usize::try_from(share.max(least)).unwrap_or(usize::MAX);
        let callers_max = clients * 3 / 8 / CONNECTION_BYTES;
        Self {
            body_bytes: clients * 3 / 8,
            job_bytes: clients * 3 / 4,
            queue_bytes: count(clients / 12, 0),
            callers: count((fds * 5 / 16).min(callers_max), 16),
            links: count(fds / 4, 16),
            link_bytes: clients / 8,
            monitors: count((fds / 64).min(64), 8),
        }
    }

    /// Returns the largest number of connections to a listener with those that are being accepted or
    /// closed, for each of which there is a descriptor.
    #[must_use]
    pub fn descriptors(&self, listener: Listener) -> usize {
        let connections = self.connections(listener);
        connections + (connections / 4).max(16)
    }

    /// Returns the largest number of connections to a listener.
    #[must_use]
    pub fn connections(&self, listener: Listener) -> usize {
        match listener {
            Listener::Callers => self.callers,
            Listener::Links => self.links,
            Listener::Metrics | Listener::Probes => self.monitors,
        }
    }
}
