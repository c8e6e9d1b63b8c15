//! Job generator: heavy-tailed run times, stragglers and inaccurate declarations.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rosemaryworks_core::contract::{Contract, Pool};
use rosemaryworks_core::job::{Kind, Priority, Spec};
use rosemaryworks_core::size::Size;

/// Share of stragglers, which run 100 times as long.
const STRAGGLER_SHARE: f64 = 0.005;
/// Factor on the run time of a straggler.
const STRAGGLER_FACTOR: u64 = 100;
/// Share of jobs whose tasks always fail.
const FAILING_SHARE: f64 = 0.005;

/// Actual behavior of a job's tasks, unknown to the kernel.
#[derive(Clone, Debug)]
pub(crate) struct Actual {
    /// Run time of each task in milliseconds.
    pub(crate) run_ms: Vec<u64>,
    /// Resources that each task uses.
    pub(crate) used: Size,
    /// Whether every task fails.
    pub(crate) fails: bool,
}

/// A generated job: its submitted spec and its actual behavior.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) contract: Arc<str>,
    pub(crate) spec: Spec,
    pub(crate) actual: Actual,
}

/// Generates jobs from a seed.
#[derive(Debug)]
pub(crate) struct Load {
    pub(crate) random: SmallRng,
    /// Number of jobs generated so far.
    generated: u64,
}

impl Load {
    /// Creates a generator.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            random: SmallRng::seed_from_u64(seed),
            generated: 0,
        }
    }

    /// Returns a batch job of `contract` whose tasks have a median run time of `run_ms`.
    pub(crate) fn batch(&mut self, contract: &str, tasks: u32, size: Size, run_ms: u64) -> Job {
        self.generated += 1;
        let run_ms = (0..tasks).map(|_| self.run_ms(run_ms)).collect::<Vec<_>>();
        let declared = self.misestimate(run_ms[0]);
        let fails = self.random.random_bool(FAILING_SHARE);
        Job {
            contract: contract.into(),
            spec: Spec {
                id: format!("j{}", self.generated).into(),
                kind: Kind::Batch,
                pool: "cpu".into(),
                tasks,
                size,
                run_ms: declared,
                priority: Priority::Normal,
                deadline_ms: None,
                restart: true,
                work: Some(format!("w{}", self.generated % 5).into()),
                payload: None,
            },
            actual: Actual {
                run_ms,
                used: size,
                fails,
            },
        }
    }

    /// Returns the milliseconds to the next arrival of a Poisson process with `rate` arrivals per
    /// second.
    pub(crate) fn interarrival_ms(&mut self, rate: f64) -> f64 {
        let uniform: f64 = self.random.random_range(1e-9..1.0);
        -uniform.ln() * 1_000.0 / rate
    }

    /// Returns `value` unchanged in half of the calls, otherwise off by a factor of up to 10 in
    /// either direction.
    pub(crate) fn misestimate(&mut self, value: u64) -> u64 {
        if self.random.random_bool(0.5) {
            return value;
        }
        let exponent: f64 = self.random.random_range(-1.0..1.0);
        ((value as f64) * 10f64.powf(exponent)) as u64
    }

    /// Makes the actual use differ from the declared size, from 10 times less to 2 times more.
    pub(crate) fn misdeclare(&mut self, job: &mut Job) {
        let exponent: f64 = self.random.random_range(-1.0..0.3);
        let factor = 10f64.powf(exponent);
        let scale = |amount: u64| ((amount as f64 * factor) as u64).max(1);
        job.actual.used.millicores = scale(job.spec.size.millicores);
        job.actual.used.memory_mb = scale(job.spec.size.memory_mb);
    }

    /// Returns a uniformly distributed integer in `range`.
    pub(crate) fn random_in(&mut self, range: std::ops::RangeInclusive<u64>) -> u64 {
        self.random.random_range(range)
    }

    fn run_ms(&mut self, median: u64) -> u64 {
        let spread: f64 = (0..4).map(|_| self.random.random_range(-1.0..1.0)).sum();
        let run = ((median as f64) * (spread * 0.8).exp()) as u64;
        match self.random.random_bool(STRAGGLER_SHARE) {
            true => run.max(1) * STRAGGLER_FACTOR,
            false => run.max(1),
        }
    }
}

/// Returns a contract whose limit is `size` of the pool.
pub(crate) fn contract(name: &str, weight: u32, size: Size) -> Contract {
    let pool = Pool {
        size,
        queue: 1_000_000,
    };
    Contract {
        name: name.into(),
        weight,
        keys: Vec::new(),
        services: BTreeMap::new(),
        pools: BTreeMap::from([("cpu".into(), pool)]),
        max_priority: Priority::Urgent,
        urgent_percent: 100,
    }
}
