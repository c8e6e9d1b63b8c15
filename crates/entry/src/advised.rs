//! Outcomes of advice requests and the load of the VMs, which the owner applies to its state.

use rosemaryworks_node::clock;
use rosemaryworks_workflow::{AdviceLoad, AdviceRequest};

use crate::advice::requester::{Outcome, Sink};
use crate::owner::Owner;

impl Owner {
    /// Passes the load of the VMs to the state, if it was computed anew.
    pub(crate) fn set_advice_load(&self, load: Option<AdviceLoad>) {
        if let Some(load) = load {
            self.state().set_advice_load(load);
        }
    }
}

impl Sink for Owner {
    fn advised(&self, request: &AdviceRequest, outcome: Outcome) {
        let now_ms = clock::now().0;
        let step = request.step;
        let mut state = self.state();
        match outcome {
            Outcome::Answered { permits, until_ms } => {
                state.advice_received(step, permits, until_ms, now_ms);
            }
            Outcome::AnsweredLate { permits, until_ms } => {
                state.advice_received_late(step, request.workers.clone(), permits, until_ms);
            }
            Outcome::Busy => state.advice_refused(step, now_ms),
            Outcome::Failed => state.advice_failed(step, now_ms),
        }
        drop(state);
        self.wake();
    }
}
