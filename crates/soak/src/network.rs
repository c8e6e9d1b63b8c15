//! Addresses of the simulated network. Each process reaches the workers and the other processes through
//! proxies of its own, so that a fault can separate any of them from any other.
//!
//! A service has one port. Its proxy for a process listens at that port of the process's own loopback
//! address. The log stores addresses with [`PUBLISHED_HOST`]; [`View`] exchanges the host when a process
//! reads or writes, so that processes need no setting for it. Addresses in messages between processes
//! stay as they are: a relay uses the connections of the owner that it works for.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use rosemaryworks_entry::port::{Appended, Fault, Guard, Page, Record};

use crate::log::Log;

/// Last number of the host that stands in the log.
const PUBLISHED_HOST: u8 = 10;

/// Producer of the records in the journals of shards.
const OWNER: &str = "owner";

/// Maximum number of processes. The hosts stay below 24, so that a host has the same length in all
/// encodings.
pub(crate) const PROCESSES_MAX: usize = 6;

/// Port range below the system's ephemeral ports: an outgoing connection could take an ephemeral port
/// while its process is down.
const PORT_RANGE: std::ops::Range<u16> = 12_000..24_000;

/// Size of a block of ports. Each program that runs soak tests uses a block of its own.
const BLOCK_SIZE: u16 = 500;

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

fn host_number(process: usize) -> u8 {
    assert!(process < PROCESSES_MAX, "too many processes");
    PUBLISHED_HOST + 1 + process as u8
}

fn address(host: u8, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 0, 0, host), port))
}

/// Returns the address of a port as the log stores it.
pub(crate) fn published(port: u16) -> SocketAddr {
    address(PUBLISHED_HOST, port)
}

/// Returns the address at which a process reaches a port.
pub(crate) fn seen_by(process: usize, port: u16) -> SocketAddr {
    address(host_number(process), port)
}

/// Returns the first port of this program's block. A listener on that port reserves the block.
fn block() -> u16 {
    static BLOCK: OnceLock<(u16, TcpListener)> = OnceLock::new();
    let reserve = || {
        let blocks = (PORT_RANGE.end - PORT_RANGE.start) / BLOCK_SIZE;
        let reserved = (0..blocks).find_map(|block| {
            let port = PORT_RANGE.start + block * BLOCK_SIZE;
            Some((port, TcpListener::bind(address(1, port)).ok()?))
        });
        reserved.expect("a free block of ports")
    };
    BLOCK.get_or_init(reserve).0
}

/// Returns a port that is free at the addresses of all processes.
pub(crate) fn free_port() -> u16 {
    let first = block() + 1;
    loop {
        let port = first + NEXT_PORT.fetch_add(1, Ordering::Relaxed) % (BLOCK_SIZE - 1);
        let mut addresses = (0..PROCESSES_MAX).map(|process| seen_by(process, port));
        let is_free = |address| TcpListener::bind(address).is_ok();
        if is_free(address(1, port)) && addresses.all(is_free) {
            return port;
        }
    }
}

/// Binds a port that [`free_port`] returned. A process that is being started may still hold a copy of
/// the listener that tested the port.
///
/// # Panics
///
/// Panics if the address can't be bound within five seconds.
pub(crate) async fn bind(address: SocketAddr) -> tokio::net::TcpListener {
    for _ in 0..100 {
        if let Ok(listener) = tokio::net::TcpListener::bind(address).await {
            return listener;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("can't bind {address}");
}

/// The log as one process sees it.
pub struct View {
    log: Arc<Log>,
    process: usize,
}

impl View {
    /// Creates the view of the process with a number.
    #[must_use]
    pub fn new(log: Arc<Log>, process: usize) -> Self {
        Self { log, process }
    }

    /// Waits for the injected delay. Returns whether calls are served.
    pub async fn admits(&self) -> bool {
        self.log.admits().await
    }

    /// Returns whether the response to the next append is to be dropped.
    pub fn drops_response(&self) -> bool {
        self.log.drops_response()
    }

    /// Appends records. Returns the offset of the first one and the end of the partition.
    ///
    /// # Errors
    ///
    /// Returns a fault if the guard's condition isn't met.
    pub fn append(
        &self,
        topic: &str,
        part: u64,
        mut records: Vec<Record>,
        guard: &Guard,
    ) -> Result<(u64, Appended), Fault> {
        for record in &mut records {
            replace_host(&mut record.value, host_number(self.process), PUBLISHED_HOST);
        }
        let has_records = !records.is_empty();
        let appended = self.log.append(topic, part, records, guard)?;
        if matches!(guard, Guard::Producer { name, .. } if has_records && &**name == OWNER) {
            self.log.last_writer.store(self.process, Ordering::Relaxed);
        }
        // Only takeovers of shards are conditional on the offset.
        if matches!(guard, Guard::EndOffset(_)) {
            let claimant = &self.log.last_claimant;
            claimant.store(self.process, Ordering::Relaxed);
        }
        Ok(appended)
    }

    /// Returns the records from an offset on. Waits up to `wait` for a record.
    ///
    /// # Errors
    ///
    /// Returns a fault if the records at the offset have expired.
    pub async fn read(
        &self,
        topic: &str,
        part: u64,
        from: u64,
        wait: Duration,
    ) -> Result<Page, Fault> {
        let mut page = self.log.read(topic, part, from, wait).await?;
        let records = &mut page.records;
        records.iter_mut().for_each(|record| self.localize(record));
        Ok(page)
    }

    /// Returns the newest record of each key with its offset, and the end of the partition. A key
    /// whose newest value is empty is left out: it is deleted.
    #[must_use]
    pub fn newest(&self, topic: &str, part: u64) -> (Vec<(u64, Record)>, u64) {
        let (mut records, end) = self.log.newest(topic, part);
        for (_, record) in &mut records {
            self.localize(record);
        }
        (records, end)
    }

    fn localize(&self, record: &mut Record) {
        replace_host(&mut record.value, PUBLISHED_HOST, host_number(self.process));
    }
}

/// Replaces a host in all addresses of a value, which may be text or CBOR.
fn replace_host(value: &mut [u8], from: u8, to: u8) {
    let text = |host: u8| format!("127.0.0.{host}:").into_bytes();
    // An array of four numbers.
    let cbor = |host: u8| vec![0x84, 0x18, 127, 0, 0, host];
    for (old, new) in [(text(from), text(to)), (cbor(from), cbor(to))] {
        let mut at = 0;
        while let Some(found) = value[at..]
            .windows(old.len())
            .position(|window| window == old)
        {
            at += found;
            value[at..at + new.len()].copy_from_slice(&new);
            at += new.len();
        }
    }
}
