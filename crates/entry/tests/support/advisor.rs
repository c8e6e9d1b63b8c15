//! Advice service that all processes of a test share, in memory.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rosemaryworks_entry::port::{self, Answer, Fault, Permits};
use rosemaryworks_workflow::StepKey;

/// Calls that the service has received.
#[derive(Debug, Default)]
pub(crate) struct Calls {
    /// Number of calls by VM.
    pub(crate) received: BTreeMap<String, usize>,
    under_way: BTreeMap<String, usize>,
    /// Largest number of calls under way of a single VM.
    pub(crate) most_under_way: usize,
}

/// The service. Without a time per call it refuses every call.
#[derive(Debug, Default)]
pub(crate) struct Service {
    /// Time of a call in milliseconds.
    pub(crate) call_ms: Mutex<Option<u64>>,
    /// VMs whose calls get no answer.
    pub(crate) silent: Mutex<BTreeSet<String>>,
    pub(crate) calls: Mutex<Calls>,
}

/// Calls of one VM.
pub(crate) struct Advisor {
    pub(crate) vm: String,
    pub(crate) service: Arc<Service>,
}

impl port::Advisor for Advisor {
    fn advise(&self, _: StepKey, workers: &[Arc<str>], _: f64) -> Answer<Permits> {
        let (vm, service) = (self.vm.clone(), self.service.clone());
        let workers = workers.to_vec();
        Box::pin(async move {
            let call_ms = *service.call_ms.lock().expect("the lock");
            let call_ms = call_ms.ok_or(Fault::Refused("no advice".into()))?;
            {
                let mut calls = service.calls.lock().expect("the lock");
                *calls.received.entry(vm.clone()).or_default() += 1;
                let under_way = calls.under_way.entry(vm.clone()).or_default();
                *under_way += 1;
                let under_way = *under_way;
                calls.most_under_way = calls.most_under_way.max(under_way);
            }
            if service.silent.lock().expect("the lock").contains(&vm) {
                std::future::pending::<()>().await;
            }
            tokio::time::sleep(Duration::from_millis(call_ms)).await;
            let mut calls = service.calls.lock().expect("the lock");
            *calls.under_way.entry(vm).or_default() -= 1;
            let permits = workers.into_iter().map(|id| (id, "permit".into()));
            Ok(permits.collect())
        })
    }
}
