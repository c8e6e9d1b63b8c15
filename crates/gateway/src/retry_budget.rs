//! Retry budget: limits retries to a percentage of the requests per service, so that retries don't
//! multiply the load of an overloaded service.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

/// Cost of a retry. Each request adds the configured percentage to the balance.
const RETRY_COST: u64 = 100;

/// Largest balance of a service in retries. Prevents a burst of retries after a long time without
/// any.
const BALANCE_MAX_RETRIES: u64 = 10;

/// Retry balances of all services.
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

    /// Adds the share of one request to the balance of `service`.
    pub(crate) fn deposit(&self, service: &Arc<str>) {
        self.with(|balances| {
            let balance = balances.entry(service.clone()).or_default();
            *balance = (*balance + self.percent).min(BALANCE_MAX_RETRIES * RETRY_COST);
        });
    }

    /// Takes one retry from the balance of `service`. Returns whether the balance covered it.
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
