//! Paths between processes, workers and the log.

use std::collections::BTreeMap;

/// State of a path.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Path {
    /// Connections are refused and closed.
    Closed,
    /// Requests arrive only once the path is open again.
    Held,
    #[default]
    Open,
    /// Everything is lost without a sign.
    Silent,
}

/// A place in the network.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Place {
    Log,
    Process(usize),
    Worker(usize),
}

/// A link that one process opened to another. The ends may differ in whether it is open.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) dialer: usize,
    pub(crate) target: usize,
    /// Whether it is open at the dialer and at the target.
    pub(crate) open: [bool; 2],
    pub(crate) was_open: bool,
    /// Whether the dialer closes it for good.
    pub(crate) ending: bool,
    /// Times at which the ends notice a silent path.
    pub(crate) noticed_ms: Option<[u64; 2]>,
}

impl Link {
    pub(crate) fn ends(&self) -> [usize; 2] {
        [self.dialer, self.target]
    }
}

/// All paths that are not open, and the links between processes.
#[derive(Debug, Default)]
pub(crate) struct Network {
    pub(crate) paths: BTreeMap<(Place, Place), Path>,
    pub(crate) links: Vec<Link>,
    /// Upper bound of the delay of a call of the log each way, in milliseconds.
    pub(crate) log_delay_ms: u64,
    /// Time that each call of a takeover takes in milliseconds; 0 if it takes no longer than others.
    pub(crate) takeover_call_ms: u64,
}

impl Network {
    pub(crate) fn path(&self, from: Place, to: Place) -> Path {
        let pair = (from.min(to), from.max(to));
        self.paths.get(&pair).copied().unwrap_or_default()
    }

    pub(crate) fn set_path(&mut self, from: Place, to: Place, path: Path) {
        let pair = (from.min(to), from.max(to));
        self.paths.insert(pair, path);
    }

    /// Returns the processes with which `process` has an open link.
    pub(crate) fn peers(&self, process: usize) -> Vec<usize> {
        let mut peers = Vec::new();
        for link in &self.links {
            let ends = link.ends();
            for (side, end) in ends.iter().enumerate() {
                let peer = ends[1 - side];
                if *end == process && link.open[side] && !peers.contains(&peer) {
                    peers.push(peer);
                }
            }
        }
        peers
    }
}
