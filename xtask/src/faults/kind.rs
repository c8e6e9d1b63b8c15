//! Kinds of faults, with their names and durations.

/// A fault that the driver injects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    CancelWave,
    CutLog,
    CutOneWay,
    CutSchedulers,
    Drain,
    InstanceCrash,
    InstanceCuts,
    InstanceSlow,
    Isolate,
    KillEntry,
    KillGateway,
    KillScheduler,
    LeaveInstance,
    LeaveWorker,
    LogDown,
    LogLoseAnswers,
    LogReject,
    LogSlow,
    OperatorRace,
    PauseGateway,
    PauseScheduler,
    RackCut,
    RackDied,
    StopGateway,
    StopScheduler,
    WorkerFails,
}

impl Kind {
    /// Every kind with its name.
    pub(crate) const ALL: [(Self, &'static str); 26] = [
        (Self::CancelWave, "cancel-wave"),
        (Self::CutLog, "cut-log"),
        (Self::CutOneWay, "cut-one-way"),
        (Self::CutSchedulers, "cut-schedulers"),
        (Self::Drain, "drain"),
        (Self::InstanceCrash, "instance-crash"),
        (Self::InstanceCuts, "instance-cuts"),
        (Self::InstanceSlow, "instance-slow"),
        (Self::Isolate, "isolate"),
        (Self::KillEntry, "kill-entry"),
        (Self::KillGateway, "kill-gateway"),
        (Self::KillScheduler, "kill-scheduler"),
        (Self::LeaveInstance, "leave-instance"),
        (Self::LeaveWorker, "leave-worker"),
        (Self::LogDown, "log-down"),
        (Self::LogLoseAnswers, "log-lose-answers"),
        (Self::LogReject, "log-reject"),
        (Self::LogSlow, "log-slow"),
        (Self::OperatorRace, "operator-race"),
        (Self::PauseGateway, "pause-gateway"),
        (Self::PauseScheduler, "pause-scheduler"),
        (Self::RackCut, "rack-cut"),
        (Self::RackDied, "rack-died"),
        (Self::StopGateway, "stop-gateway"),
        (Self::StopScheduler, "stop-scheduler"),
        (Self::WorkerFails, "worker-fails"),
    ];

    /// Pairs in which one fault occurs while the handling of the other is most vulnerable.
    pub(crate) const PAIRS: [(Self, Self); 8] = [
        (Self::PauseScheduler, Self::LogSlow),
        (Self::KillScheduler, Self::LogDown),
        (Self::CutLog, Self::PauseScheduler),
        (Self::KillEntry, Self::InstanceSlow),
        (Self::Drain, Self::StopScheduler),
        (Self::LeaveInstance, Self::KillScheduler),
        (Self::LogLoseAnswers, Self::OperatorRace),
        (Self::RackCut, Self::PauseScheduler),
    ];

    /// Returns the kind with the name `name`.
    pub(crate) fn find(name: &str) -> Option<Self> {
        let found = Self::ALL.iter().find(|(_, known)| *known == name);
        found.map(|(kind, _)| *kind)
    }

    /// Returns the name.
    pub(crate) fn name(self) -> &'static str {
        let found = Self::ALL.iter().find(|(kind, _)| *kind == self);
        found.map_or("unknown", |(_, name)| name)
    }

    /// Returns the duration of the fault in milliseconds.
    pub(crate) const fn duration_ms(self) -> u64 {
        match self {
            Self::CancelWave | Self::LogReject | Self::LogLoseAnswers => 3_000,
            Self::OperatorRace => 5_000,
            Self::KillGateway | Self::KillScheduler | Self::KillEntry => 7_000,
            Self::StopGateway | Self::StopScheduler => 8_000,
            Self::CutOneWay | Self::CutSchedulers => 8_000,
            Self::LeaveInstance | Self::LeaveWorker => 10_000,
            // Longer than the 12 s within which a drain must be in force.
            Self::Drain => 18_000,
            Self::InstanceCrash | Self::InstanceCuts | Self::InstanceSlow => 6_000,
            // Longer than every lease.
            Self::PauseGateway | Self::PauseScheduler => 12_000,
            Self::Isolate | Self::CutLog | Self::LogSlow => 15_000,
            Self::RackCut | Self::RackDied | Self::WorkerFails => 20_000,
            Self::LogDown => 60_000,
        }
    }
}
