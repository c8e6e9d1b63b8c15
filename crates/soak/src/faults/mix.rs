//! Kinds of faults and the selections of them.

use crate::callers::Load;
use crate::proxy::Mode;

/// Kinds of faults.
#[derive(Clone, Copy, Debug)]
pub(super) enum Fault {
    /// Kills a process and starts it again.
    Kill,
    /// Kills every process without another fault and starts them again.
    KillAll,
    /// Shuts a process down gracefully and starts it again.
    Stop,
    /// Suspends a process.
    Pause,
    /// Suspends several processes at once.
    PauseGroup,
    /// Suspends a process for longer than a takeover takes. The other processes lose a group of
    /// workers meanwhile and some time afterwards.
    PauseAndTakeover(Mode),
    /// Sends SIGHUP to a process.
    Reload,
    /// The log rejects every call.
    LogRefuses,
    /// The log delays every call.
    LogSlow,
    /// The log drops some append responses.
    LogLosesAnswers,
    /// Network fault between a process and the log.
    LogCut(Mode),
    /// Network fault between two processes.
    PeerCut(Mode),
    /// Network fault between a group of processes and the log, the other processes and a group of
    /// workers.
    ZoneCut(Mode),
    /// The same; in addition the other processes lose the other workers.
    Split(Mode),
    /// Crashes a worker and starts it again.
    WorkerCrash,
    /// Starts a worker again without refused connections.
    WorkerRestart,
    /// Starts a group of workers again and cuts the group off soon after. Says whether their owner is
    /// superseded in between.
    Recut(bool),
    /// Some calls to all workers are carried out late.
    WorkersLate,
    /// Suspends a worker with its runs. Its clock goes on.
    WorkerPause,
    /// Suspends a worker with its runs and its clock.
    WorkerStandstill,
    /// Network fault of the connections of all processes to a worker.
    WorkerLink(Mode),
    /// Network fault between one process and a group of workers.
    WorkerGroupCut(Mode),
    /// All workers drop some responses.
    WorkersLoseAnswers,
    /// Publishes a configuration revision.
    Revision,
}

/// Faults to select from with equal probability; an entry that is listed twice is twice as likely.
const FAULTS: [Fault; 41] = [
    Fault::Kill,
    Fault::Kill,
    Fault::KillAll,
    Fault::Stop,
    Fault::Stop,
    Fault::Pause,
    Fault::Pause,
    Fault::PauseGroup,
    Fault::PauseAndTakeover(Mode::Silent),
    Fault::PauseAndTakeover(Mode::Reset),
    Fault::Reload,
    Fault::LogRefuses,
    Fault::LogSlow,
    Fault::LogLosesAnswers,
    Fault::LogCut(Mode::Silent),
    Fault::LogCut(Mode::Reset),
    Fault::LogCut(Mode::OneWay),
    Fault::LogCut(Mode::Delay(60)),
    Fault::PeerCut(Mode::Silent),
    Fault::PeerCut(Mode::Reset),
    Fault::PeerCut(Mode::Delay(60)),
    Fault::ZoneCut(Mode::Silent),
    Fault::ZoneCut(Mode::Reset),
    Fault::ZoneCut(Mode::Delay(300)),
    Fault::Split(Mode::Silent),
    Fault::Split(Mode::Reset),
    Fault::WorkerCrash,
    Fault::WorkerPause,
    Fault::WorkerPause,
    Fault::WorkerLink(Mode::Silent),
    Fault::WorkerLink(Mode::OneWay),
    Fault::WorkerLink(Mode::Delay(120)),
    Fault::WorkerLink(Mode::Refuse),
    Fault::WorkerLink(Mode::Reset),
    Fault::WorkerGroupCut(Mode::Silent),
    Fault::WorkerGroupCut(Mode::OneWay),
    Fault::WorkerGroupCut(Mode::Delay(120)),
    Fault::WorkerGroupCut(Mode::Refuse),
    Fault::WorkerGroupCut(Mode::Reset),
    Fault::WorkersLoseAnswers,
    Fault::Revision,
];

/// Faults after which an owner may be superseded without news of it, to select from with equal
/// probability.
const OWNERSHIP_FAULTS: [Fault; 13] = [
    Fault::Kill,
    Fault::Pause,
    Fault::PauseGroup,
    Fault::PauseAndTakeover(Mode::Silent),
    Fault::PauseAndTakeover(Mode::Reset),
    Fault::LogCut(Mode::Silent),
    Fault::PeerCut(Mode::Silent),
    Fault::ZoneCut(Mode::Silent),
    Fault::Split(Mode::Silent),
    Fault::Split(Mode::Silent),
    Fault::Split(Mode::Reset),
    Fault::WorkerPause,
    Fault::WorkerGroupCut(Mode::Silent),
];

/// Faults around clocks that stand still, to select from with equal probability. No other selection
/// stops clocks: a run that outlives its lease that way would hide other causes.
const STANDSTILL_FAULTS: [Fault; 6] = [
    Fault::WorkerStandstill,
    Fault::WorkerStandstill,
    Fault::Kill,
    Fault::Pause,
    Fault::LogCut(Mode::Silent),
    Fault::WorkerGroupCut(Mode::Silent),
];

/// Faults around workers that start again, to select from with equal probability.
const RESTART_FAULTS: [Fault; 13] = [
    Fault::Recut(true),
    Fault::Recut(true),
    Fault::Recut(true),
    Fault::Recut(true),
    Fault::Recut(false),
    Fault::Recut(false),
    Fault::WorkerCrash,
    Fault::WorkerRestart,
    Fault::WorkersLate,
    Fault::Kill,
    Fault::Pause,
    Fault::LogCut(Mode::Silent),
    Fault::WorkerGroupCut(Mode::Silent),
];

/// Selection of faults.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mix {
    /// All faults but clocks that stand still. Two of four consecutive seeds have fewer kinds of faults
    /// with longer pauses.
    Any,
    /// Workers whose clocks stand still, beside a few other faults.
    Standstill,
    /// Workers that start again and are cut off soon after, and calls that are carried out late.
    Restarts,
}

impl Mix {
    /// Returns the faults of a seed and the longest pause between two of them in milliseconds.
    pub(super) fn faults(self, seed: u64) -> (&'static [Fault], u64) {
        match (self, seed % 4) {
            (Self::Any, 0 | 1) => (&FAULTS, 1_500),
            (Self::Any, _) => (&OWNERSHIP_FAULTS, 4_000),
            (Self::Standstill, _) => (&STANDSTILL_FAULTS, 4_000),
            (Self::Restarts, _) => (&RESTART_FAULTS, 4_000),
        }
    }

    /// Returns the jobs that callers submit.
    pub(crate) fn load(self) -> Load {
        match self {
            Self::Any | Self::Standstill => Load {
                pause_ms: 20..250,
                long_percent: 4,
                long_ms: 4_000..9_000,
            },
            // Several workers are away most of the time.
            Self::Restarts => Load {
                pause_ms: 60..750,
                long_percent: 20,
                long_ms: 5_000..12_000,
            },
        }
    }
}
