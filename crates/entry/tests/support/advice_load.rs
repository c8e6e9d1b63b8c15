//! Figures of an overloaded deployment: steps that need advice, and the VMs that request it.

/// Steps of one queue.
pub(crate) struct Class {
    pub(crate) owner: usize,
    pub(crate) priority: u32,
    pub(crate) steps_per_s: f64,
    pub(crate) tasks: u32,
    pub(crate) call_ms: f64,
    pub(crate) worker_ms: f64,
    /// Share of the workers that the service allows.
    pub(crate) allowed: f64,
    /// Share of the allowed workers that have room for a task; the others are full or too small.
    pub(crate) room: f64,
    pub(crate) gang: bool,
    /// Time after which a waiting step is given up by its client, in milliseconds.
    pub(crate) given_up_ms: u64,
}

const fn class(owner: usize, priority: u32, steps_per_s: f64, tasks: u32) -> Class {
    Class {
        owner,
        priority,
        steps_per_s,
        tasks,
        call_ms: 0.0,
        worker_ms: 0.0,
        allowed: 0.0,
        room: 0.6,
        gang: false,
        given_up_ms: 20_000,
    }
}

pub(crate) const CLASSES: [Class; 5] = [
    Class {
        call_ms: 19.5,
        worker_ms: 0.273,
        allowed: 0.7,
        given_up_ms: 4_000,
        ..class(0, 0, 50.0, 10)
    },
    Class {
        call_ms: 208.0,
        worker_ms: 2.99,
        allowed: 0.45,
        ..class(0, 2, 6.0, 22)
    },
    Class {
        call_ms: 728.0,
        worker_ms: 10.4,
        allowed: 0.3,
        given_up_ms: 60_000,
        ..class(0, 1, 0.32, 15)
    },
    Class {
        call_ms: 715.0,
        worker_ms: 10.27,
        allowed: 0.3,
        gang: true,
        ..class(1, 1, 3.4, 3)
    },
    Class {
        call_ms: 195.0,
        worker_ms: 2.73,
        allowed: 0.5,
        ..class(1, 2, 3.8, 20)
    },
];

pub(crate) const VMS: usize = 35;

/// Time for which a permit is valid, in milliseconds.
pub(crate) const VALIDITY_MS: u64 = 2_000;

/// Time before its expiry at which the kernel doesn't use a permit any more, in milliseconds.
pub(crate) const EXPIRY_MARGIN_MS: u64 = 250;

/// Mean time for which a gang waits for room on the workers of its plan, in milliseconds.
pub(crate) const GANG_WAIT_MS: f64 = 3_000.0;

/// Time before its expiry at which a permit of a planned gang is renewed, in milliseconds.
pub(crate) const RENEW_BEFORE_MS: u64 = 300;

/// Time at which all VMs restart, in milliseconds, and time until their shards have owners again.
pub(crate) const RESTART_MS: u64 = 13_000;
pub(crate) const TAKEOVER_MS: u64 = 2_000;

/// Surges: begin and end in milliseconds, factor, classes.
const SURGES: [(u64, u64, f64, &[usize]); 3] = [
    (4_000, 10_000, 2.3, &[1, 4]),
    (20_000, 28_000, 2.5, &[0, 1, 3, 4]),
    (36_000, 42_000, 2.1, &[0, 3]),
];

/// End of the last surge in milliseconds.
pub(crate) const LAST_SURGE_END_MS: u64 = 42_000;

/// Returns the factor on the rate of a class.
pub(crate) fn surge(class: usize, now_ms: u64) -> f64 {
    let is_on = |(from, until, _, classes): &&(u64, u64, f64, &[usize])| {
        (*from..*until).contains(&now_ms) && classes.contains(&class)
    };
    SURGES.iter().find(is_on).map_or(1.0, |surge| surge.2)
}

/// Returns the factor on the time of a call through a VM; `None` if its answer is lost.
pub(crate) fn slowness(vm: usize, now_ms: u64) -> Option<f64> {
    match now_ms {
        16_000..19_000 if (10..14).contains(&vm) => None,
        24_000..30_000 if (20..26).contains(&vm) => Some(4.0),
        _ => Some(1.0),
    }
}

/// A small generator, so that a seed gives the same run with every version of the libraries.
pub(crate) struct Random(pub(crate) u64);

impl Random {
    /// Returns a number in [0, 1).
    pub(crate) fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}
