//! Time of the routing kernel per event, by size of the shard.

use super::Figure;
use super::kernel::KernelRouter;
use super::load::{self, Stream};
use super::sim::{self, SLOTS};

const RUN_MS: f64 = 50.0;
const SECONDS: f64 = 10.0;

/// Numbers of instances and contracts of the shards compared.
const SIZES: [(usize, usize); 3] = [(12, 10), (48, 180), (192, 180)];

fn constant_rate(_: f64) -> f64 {
    1.0
}

/// Returns the figures of one seed.
pub(crate) fn figures(seed: u64) -> Vec<Figure> {
    let cases = SIZES.iter().flat_map(|size| [(*size, 0.8), (*size, 1.5)]);
    let figure = |((instances, contracts), load)| {
        let metric = format!("{instances} instances, {contracts} contracts, load {load}: us/event");
        let micros = micros_per_event(instances, contracts, load, seed);
        (metric, "kernel".into(), micros)
    };
    cases.map(figure).collect()
}

fn micros_per_event(instances: usize, contracts: usize, load: f64, seed: u64) -> f64 {
    let capacity = (instances * SLOTS) as f64 / (RUN_MS * load::mean_factor() / 1e3);
    let stream = |contract| Stream {
        contract,
        rate: constant_rate,
        scale: load * capacity / contracts as f64,
        run_ms: RUN_MS,
        stragglers: 0.0,
        deadline_ms: 2_000,
    };
    let streams: Vec<_> = (0..contracts).map(stream).collect();
    let requests = load::generate(seed, &streams, SECONDS);
    let mut router = KernelRouter::new(instances, &vec![1; contracts]);
    sim::run(&mut router, requests, None, seed);
    router.kernel_time.as_secs_f64() * 1e6 / router.events as f64
}
