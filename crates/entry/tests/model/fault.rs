//! Faults that the seed draws.

use std::ops::Range;

use rand::Rng;
use rand::rngs::SmallRng;

use super::network::{Path, Place};
use super::process::{Input, Process};
use super::worker::Down;
use super::world::{Acquaintance, LOG_DELAY_MS, Scale, World};

/// Time of the first faults in milliseconds.
const FIRST_MS: u64 = 2_000;

/// Time of the last faults in milliseconds.
const LAST_MS: u64 = 20_000;

/// A fault that lasts for a time.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// Paths are not open.
    Cut(Vec<(Place, Place)>, Path),
    /// A process ends and starts again.
    Crash(usize, u64),
    /// A process stands still.
    Pause(usize, u64),
    /// The log answers late.
    SlowLog(u64),
    /// Each call of a takeover takes a time, and its reads don't run in parallel.
    SlowTakeovers(u64),
    /// A share of the commands to a worker, in percent, is carried out late, without an answer.
    LateCalls(usize, u32),
    /// The process that owns the shard then ends and starts again.
    OwnerCrash(u64),
    /// The process that owns the shard then stands still.
    OwnerPause(u64),
    /// A worker ends, and starts again at the end of the fault.
    Restart(usize, Down),
}

impl Fault {
    /// Draws a fault and its times.
    pub(crate) fn draw(rng: &mut SmallRng, scale: Scale) -> (Range<u64>, Self) {
        let begin_ms = rng.random_range(FIRST_MS..LAST_MS);
        let lasts_ms = match rng.random_range(0..3) {
            0 => rng.random_range(200..1_500),
            1 => rng.random_range(1_000..4_000),
            _ => rng.random_range(3_000..9_000),
        };
        let fault = match rng.random_range(0..11) {
            0 | 1 => {
                let pause_ms = rng.random_range(300..6_000);
                Self::Pause(rng.random_range(0..scale.processes), pause_ms)
            }
            2 => Self::Crash(rng.random_range(0..scale.processes), lasts_ms),
            3 => Self::SlowLog(rng.random_range(100..600)),
            _ => Self::Cut(draw_pairs(rng, scale), draw_path(rng)),
        };
        (begin_ms..begin_ms + lasts_ms, fault)
    }
}

pub(crate) fn draw_path(rng: &mut SmallRng) -> Path {
    match rng.random_range(0..3) {
        0 => Path::Closed,
        1 => Path::Held,
        _ => Path::Silent,
    }
}

fn draw_pairs(rng: &mut SmallRng, scale: Scale) -> Vec<(Place, Place)> {
    let processes = (0..scale.processes).map(Place::Process);
    let workers = (0..scale.workers).map(Place::Worker);
    let places: Vec<Place> = processes
        .clone()
        .chain(workers)
        .chain([Place::Log])
        .collect();
    let process = Place::Process(rng.random_range(0..scale.processes));
    match rng.random_range(0..6) {
        0 => processes.map(|process| (process, Place::Log)).collect(),
        1 => vec![(process, Place::Log)],
        2 => {
            let worker = Place::Worker(rng.random_range(0..scale.workers));
            let reaches = |_: &Place| rng.random_bool(0.6);
            let cut = processes.filter(reaches);
            cut.map(|process| (process, worker)).collect()
        }
        3 => {
            let others = places.into_iter().filter(|place| *place != process);
            let cut = others.filter(|_| rng.random_bool(0.5));
            cut.map(|place| (process, place)).collect()
        }
        // Two parts of the network.
        _ => {
            let parts: Vec<bool> = places.iter().map(|_| rng.random_bool(0.5)).collect();
            let mut pairs = Vec::new();
            for (place, part) in places.iter().zip(&parts) {
                let others = places.iter().zip(&parts);
                let cut = others.filter(|(other, their)| *other > place && *their != part);
                pairs.extend(cut.map(|(other, _)| (*place, *other)));
            }
            pairs
        }
    }
}

impl World {
    pub(crate) fn begin_fault(&mut self, fault: &Fault) {
        let now_ms = self.now_ms;
        self.history.note(|| format!("{now_ms}: begins {fault:?}"));
        match fault {
            Fault::Cut(pairs, path) => self.set_paths(pairs, *path),
            Fault::Pause(process, ms) => self.pause(*process, *ms),
            Fault::Crash(process, ms) => self.crash(*process, *ms),
            Fault::SlowLog(delay_ms) => self.network.log_delay_ms = *delay_ms,
            Fault::SlowTakeovers(ms) => self.network.takeover_call_ms = *ms,
            Fault::LateCalls(worker, percent) => self.workers[*worker].late_percent = *percent,
            Fault::OwnerCrash(ms) => {
                if let Some(process) = self.owner() {
                    self.crash(process, *ms);
                }
            }
            Fault::OwnerPause(ms) => {
                if let Some(process) = self.owner() {
                    self.pause(process, *ms);
                }
            }
            Fault::Restart(worker, down) => self.crash_worker(*worker, *down),
        }
    }

    pub(crate) fn end_fault(&mut self, fault: &Fault) {
        let now_ms = self.now_ms;
        self.history.note(|| format!("{now_ms}: ends {fault:?}"));
        match fault {
            Fault::Cut(pairs, _) => self.set_paths(pairs, Path::Open),
            Fault::Crash(..) | Fault::OwnerCrash(_) | Fault::OwnerPause(_) | Fault::Pause(..) => {}
            Fault::SlowLog(_) => self.network.log_delay_ms = LOG_DELAY_MS,
            Fault::SlowTakeovers(_) => self.network.takeover_call_ms = 0,
            Fault::LateCalls(worker, _) => self.workers[*worker].late_percent = 0,
            Fault::Restart(worker, _) => self.restart_worker(*worker),
        }
    }

    fn set_paths(&mut self, pairs: &[(Place, Place)], path: Path) {
        for (from, to) in pairs {
            self.network.set_path(*from, *to, path);
        }
    }

    /// Returns the process that owns the shard.
    fn owner(&self) -> Option<usize> {
        let epoch = |process: &Process| process.owner.as_ref().map(|owner| owner.epoch);
        let processes = self.processes.iter().enumerate();
        let owners = processes.filter_map(|(index, process)| Some((epoch(process)?, index)));
        owners.max().map(|(_, index)| index)
    }

    fn pause(&mut self, process: usize, ms: u64) {
        let until_ms = &mut self.processes[process].paused_until_ms;
        *until_ms = (*until_ms).max(self.now_ms + ms);
    }

    /// Ends a process, which starts again without its state after `ms`.
    fn crash(&mut self, process: usize, ms: u64) {
        self.close_links(process);
        let (until_ms, timer) = (self.now_ms + ms, self.next_number());
        let old = &self.processes[process];
        let mut new = Process::new(process, old.clock);
        new.incarnation = old.incarnation + 1;
        new.paused_until_ms = until_ms;
        new.log_answered_ms = old.clock.read(until_ms);
        // Inputs for the earlier incarnation have no effect.
        new.claims_timer = timer;
        new.round = timer;
        self.processes[process] = new;
        if self.rules.acquaintance == Acquaintance::All {
            self.introduce_all(process);
        }
        self.input_after(process, ms, Input::ReadClaims { timer });
    }
}
