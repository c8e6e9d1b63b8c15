//! Request generator: arrival times, run times and deadlines.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// One generated request.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// Number of the contract.
    pub(crate) contract: usize,
    /// Arrival in microseconds.
    pub(crate) arrival: u64,
    /// Run time in microseconds.
    pub(crate) run: u64,
    /// Deadline in microseconds, at which the caller stops waiting.
    pub(crate) deadline: u64,
    /// Instances that failed the request.
    pub(crate) failed: Vec<usize>,
}

/// A stream of requests of one contract.
#[derive(Clone, Debug)]
pub(crate) struct Stream {
    /// Number of the contract.
    pub(crate) contract: usize,
    /// Requests per second, by time in seconds.
    pub(crate) rate: fn(f64) -> f64,
    /// Factor applied to `rate`.
    pub(crate) scale: f64,
    /// Median run time in milliseconds.
    pub(crate) run_ms: f64,
    /// Share of stragglers.
    pub(crate) stragglers: f64,
    /// Milliseconds from arrival to deadline.
    pub(crate) deadline_ms: u64,
}

/// Factor on the run time of a straggler.
pub(crate) const STRAGGLER_FACTOR: f64 = 100.0;

/// Standard deviation of the logarithm of run times.
const SIGMA: f64 = 0.5;

/// Returns the mean of log-normal run times with a median of 1.
pub(crate) fn mean_factor() -> f64 {
    (SIGMA * SIGMA / 2.0).exp()
}

/// Generates the requests of `streams` until `seconds`, in order of arrival.
pub(crate) fn generate(seed: u64, streams: &[Stream], seconds: f64) -> Vec<Request> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut requests = Vec::new();
    for stream in streams {
        let mut time = 0.0;
        while time < seconds {
            let rate = ((stream.rate)(time) * stream.scale).max(0.001);
            time += -(1.0 - rng.random::<f64>()).ln() / rate;
            requests.push(request(&mut rng, stream, time));
        }
    }
    requests.sort_by_key(|request| request.arrival);
    requests
}

fn request(rng: &mut SmallRng, stream: &Stream, time: f64) -> Request {
    let arrival = (time * 1e6) as u64;
    let normal = normal(rng);
    let slow = rng.random::<f64>() < stream.stragglers;
    let factor = if slow { STRAGGLER_FACTOR } else { 1.0 };
    let run_ms = stream.run_ms * (SIGMA * normal).exp() * factor;
    Request {
        contract: stream.contract,
        arrival,
        run: ((run_ms * 1e3) as u64).max(1),
        deadline: arrival + stream.deadline_ms * 1_000,
        failed: Vec::new(),
    }
}

/// Returns a standard normal value by the Box-Muller transform.
fn normal(rng: &mut SmallRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
