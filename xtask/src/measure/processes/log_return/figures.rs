//! Computes the figures of one repetition from the recorded calls and the history of the platform.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use rosemaryworks_history::file::unix_us;
use rosemaryworks_history::{Event, Record};

use super::load::{Call, Kind, Outcome};
use crate::measure::table::{Row, quantile};

/// Bound of docs/design.md for the start of urgent work, in milliseconds.
const URGENT_BOUND_MS: f64 = 8_300.0;

/// Bound of docs/design.md for the appends a second of all schedulers together.
const APPENDS_BOUND: f64 = 100.0;

const SECOND_US: u64 = 1_000_000;

/// A span of Unix time in microseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Window {
    from_us: u64,
    until_us: u64,
}

impl Window {
    /// Waits for `length` and returns the span of the wait.
    pub(super) async fn measure(length: Duration) -> Self {
        let from_us = unix_us();
        tokio::time::sleep(length).await;
        Self {
            from_us,
            until_us: unix_us(),
        }
    }

    fn contains(&self, at_us: u64) -> bool {
        (self.from_us..self.until_us).contains(&at_us)
    }

    fn seconds(&self) -> f64 {
        (self.until_us - self.from_us) as f64 / SECOND_US as f64
    }
}

/// Recorded calls, appends and task starts of one repetition.
pub(super) struct Run<'a> {
    /// Unix time in microseconds of each append that took effect, with its number of records.
    appends: Vec<(u64, usize)>,
    calls: &'a [Call],
    contract: &'a str,
    /// Unix time in microseconds of the first lease of each task.
    starts_us: HashMap<&'a str, u64>,
}

/// A figure of a window with the value that it must not exceed, if there is one.
struct Figure {
    name: &'static str,
    value: f64,
    bound: Option<f64>,
}

impl<'a> Run<'a> {
    pub(super) fn new(contract: &'a str, calls: &'a [Call], records: &'a [Record]) -> Self {
        let mut run = Self {
            appends: Vec::new(),
            calls,
            contract,
            starts_us: HashMap::new(),
        };
        for record in records {
            match &record.event {
                Event::Appended { records, .. } => {
                    run.appends.push((record.at_us, records.len()));
                }
                Event::LeaseGranted { task, .. } => {
                    run.starts_us.entry(task).or_insert(record.at_us);
                }
                _ => {}
            }
        }
        run
    }

    /// Returns the figures of each window, with those of the first window as the baseline.
    pub(super) fn rows(&self, [before, during, after]: [Window; 3]) -> Vec<Row> {
        let base = self.figures(&before);
        let named = [
            ("before", self.figures(&before)),
            ("outage", self.figures(&during)),
            ("after", self.figures(&after)),
        ];
        let mut rows = Vec::new();
        for (index, reference) in base.iter().enumerate() {
            for (window, figures) in &named {
                let figure = &figures[index];
                let mut baselines = vec![("before", reference.value)];
                baselines.extend(figure.bound.map(|bound| ("bound", bound)));
                let name = format!("{}, {window}", figure.name);
                rows.push(Row::new(name, figure.value, &baselines));
            }
        }
        rows.push(Row::new(
            "return to first accepted job, ms",
            self.first_acceptance_ms(&after),
            &[],
        ));
        rows
    }

    fn figures(&self, window: &Window) -> Vec<Figure> {
        let figure = |name, value| Figure {
            name,
            value,
            bound: None,
        };
        let bounded = |name, value, bound| Figure {
            name,
            value,
            bound: Some(bound),
        };
        let mut waits = self.urgent_waits_ms(window);
        let mut latencies = self.latencies_ms(window);
        let (submitted, refused, never_accepted) = self.submissions(window);
        vec![
            figure("urgent jobs started", waits.len() as f64),
            figure("urgent wait, median ms", quantile(&mut waits, 50.0)),
            bounded(
                "urgent wait, longest ms",
                quantile(&mut waits, 100.0),
                URGENT_BOUND_MS,
            ),
            figure("urgent jobs not started", self.unstarted(window)),
            figure("requests", latencies.len() as f64),
            figure("request latency, p50 ms", quantile(&mut latencies, 50.0)),
            figure("request latency, p99 ms", quantile(&mut latencies, 99.0)),
            figure("completed, %", self.share(window, Outcome::Completed)),
            figure("not run, %", self.share(window, Outcome::NotRun)),
            figure("unknown, %", self.share(window, Outcome::Unknown)),
            figure("no answer, %", self.share(window, Outcome::NoAnswer)),
            figure("jobs submitted", submitted),
            figure("jobs refused at first", refused),
            figure("jobs never accepted", never_accepted),
            figure("tasks started/s", self.starts(window) / window.seconds()),
            figure("records/s", self.records(window) / window.seconds()),
            figure(
                "appends/s, mean",
                self.appends(window).count() as f64 / window.seconds(),
            ),
            bounded(
                "appends/s, busiest second",
                self.peak_appends(window),
                APPENDS_BOUND,
            ),
        ]
    }

    fn calls(&self, window: &Window) -> impl Iterator<Item = &Call> {
        let window = *window;
        let calls = self.calls.iter();
        calls.filter(move |call| window.contains(call.at_us))
    }

    fn requests(&self, window: &Window) -> impl Iterator<Item = &Call> {
        self.calls(window)
            .filter(|call| matches!(call.kind, Kind::Request))
    }

    fn latencies_ms(&self, window: &Window) -> Vec<f64> {
        let requests = self.requests(window);
        requests.map(|call| ms(call.latency_us)).collect()
    }

    fn share(&self, window: &Window, outcome: Outcome) -> f64 {
        let all = self.requests(window).count().max(1);
        let matching = self
            .requests(window)
            .filter(|call| call.outcome == outcome)
            .count();
        matching as f64 * 100.0 / all as f64
    }

    /// Returns, for each urgent job that was accepted in the end, the milliseconds from its first
    /// submission to its start, or `None` if it never started.
    fn urgent_start_delays(&self, window: &Window) -> impl Iterator<Item = Option<f64>> {
        self.calls(window).filter_map(|call| match &call.kind {
            Kind::Job {
                id,
                urgent: true,
                accepted_us: Some(_),
            } => {
                let task = format!("{}/{id}/0", self.contract);
                let start = self.starts_us.get(&*task);
                Some(start.map(|start| ms(start.saturating_sub(call.at_us))))
            }
            _ => None,
        })
    }

    fn urgent_waits_ms(&self, window: &Window) -> Vec<f64> {
        self.urgent_start_delays(window).flatten().collect()
    }

    /// Returns the number of urgent jobs that were accepted but never started.
    fn unstarted(&self, window: &Window) -> f64 {
        self.urgent_start_delays(window)
            .filter(Option::is_none)
            .count() as f64
    }

    /// Returns the number of jobs submitted, of those whose first submission was not accepted, and
    /// of those that were not accepted later either.
    fn submissions(&self, window: &Window) -> (f64, f64, f64) {
        let (mut submitted, mut refused, mut never_accepted) = (0_u32, 0_u32, 0_u32);
        for call in self.calls(window) {
            let Kind::Job { accepted_us, .. } = call.kind else {
                continue;
            };
            submitted += 1;
            refused += u32::from(call.outcome != Outcome::Completed);
            never_accepted += u32::from(accepted_us.is_none());
        }
        (submitted.into(), refused.into(), never_accepted.into())
    }

    /// Returns the milliseconds from the start of `window` to the first acceptance of a job.
    fn first_acceptance_ms(&self, window: &Window) -> f64 {
        let accepted = self.calls.iter().filter_map(|call| match call.kind {
            Kind::Job { accepted_us, .. } => accepted_us,
            Kind::Request => None,
        });
        let first = accepted.filter(|at_us| window.contains(*at_us)).min();
        first.map_or(f64::INFINITY, |at_us| ms(at_us - window.from_us))
    }

    fn starts(&self, window: &Window) -> f64 {
        let starts = self.starts_us.values();
        starts.filter(|at_us| window.contains(**at_us)).count() as f64
    }

    fn appends(&self, window: &Window) -> impl Iterator<Item = (u64, usize)> {
        let window = *window;
        let appends = self.appends.iter().copied();
        appends.filter(move |(at_us, _)| window.contains(*at_us))
    }

    /// Returns the number of records appended.
    fn records(&self, window: &Window) -> f64 {
        let records: usize = self.appends(window).map(|(_, records)| records).sum();
        records as f64
    }

    /// Returns the largest number of appends in any second of `window`.
    fn peak_appends(&self, window: &Window) -> f64 {
        let mut seconds: BTreeMap<u64, u64> = BTreeMap::new();
        for (at_us, _) in self.appends(window) {
            *seconds
                .entry((at_us - window.from_us) / SECOND_US)
                .or_default() += 1;
        }
        seconds.into_values().max().unwrap_or_default() as f64
    }
}

fn ms(us: u64) -> f64 {
    us as f64 / 1_000.0
}
