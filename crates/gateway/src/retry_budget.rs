//! Budget of retries per service.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

/// Cost of a retry. A request earns the percentage.
const RETRY_COST: u64 = 100;

/// Most retries saved up by a service, so that a quiet period doesn't allow a burst of retries.
const BALANCE_MAX_RETRIES: u64 = 10;

/// Allows retries up to a percentage of the requests.
#[derive(Debug)]
pub(crate) struct Budget {
    percent: u64,
    balances: Mutex<HashMap<Arc<str>, u64>>,
}

impl Budget {
    pub(crate) fn new(percent: u32) -> Self {
        Self {
            percent: u64::from(percent),
            balances: Mutex::default(),
        }
    }

    /// Counts a request to `service`.
    pub(crate) fn deposit(&self, service: &Arc<str>) {
        self.with(|balances| {
            let balance = balances.entry(service.clone()).or_default();
            *balance = (*balance + self.percent).min(BALANCE_MAX_RETRIES * RETRY_COST);
        });
    }

    /// Takes a retry to `service` from the budget. Returns whether there was one.
    pub(crate) fn try_spend(&self, service: &str) -> bool {
        self.with(|balances| match balances.get_mut(service) {
            Some(balance) if *balance >= RETRY_COST => {
                *balance -= RETRY_COST;
                true
            }
            _ => false,
        })
    }

    fn with<T>(&self, operation: impl FnOnce(&mut HashMap<Arc<str>, u64>) -> T) -> T {
        operation(&mut self.balances.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
