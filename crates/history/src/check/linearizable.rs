//! Linearizability of the contract register: each operator's call appears to take effect at one
//! instant between its start and its end.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

use super::Finding;
use crate::record::{Event, Operation, Record, Reply};

/// A call with its reply.
#[derive(Clone, Copy, Debug)]
struct Call {
    operation: Operation,
    reply: Reply,
}

/// Sequential model of the register of one contract: revision and mark, both initially 0.
struct Register;

impl Specification for Register {
    type State = (u64, u32);
    type Operation = Call;

    fn init() -> Self::State {
        (0, 0)
    }

    fn apply(call: &Call, state: &Self::State) -> (bool, Self::State) {
        match (call.operation, call.reply) {
            (Operation::Publish { expected, mark }, Reply::Accepted { revision }) => {
                let accepted = state.0 == expected && revision == expected + 1;
                (accepted, (revision, mark))
            }
            (Operation::Publish { expected, .. }, Reply::Conflict { current }) => {
                let conflict = state.0 != expected;
                let current_matches = current.is_none_or(|current| current == state.0);
                (conflict && current_matches, *state)
            }
            // The publish may have taken effect at any time after the call, or never.
            (Operation::Publish { expected, mark }, Reply::Unknown) => match state.0 == expected {
                true => (true, (expected + 1, mark)),
                false => (true, *state),
            },
            (Operation::Read, Reply::Shown { revision, mark }) => {
                ((revision, mark) == *state, *state)
            }
            (Operation::Publish { .. }, Reply::Refused) => (true, *state),
            _ => (false, *state),
        }
    }
}

/// Calls on one contract as (time, call number, whether the call begins).
type Calls = Vec<(u64, u64, bool)>;

/// Checks each contract separately. Counts the calls.
pub(super) fn check(records: &[Record]) -> Finding {
    let mut finding = Finding::new("register linearizable");
    let mut contracts: BTreeMap<&Arc<str>, Calls> = BTreeMap::new();
    let mut operations = HashMap::new();
    let mut replies = HashMap::new();
    for record in records {
        match &record.event {
            Event::OperatorCalled {
                call,
                contract,
                operation,
            } => {
                operations.insert(*call, (contract, *operation));
                let calls = contracts.entry(contract).or_default();
                calls.push((record.at_us, *call, true));
            }
            Event::OperatorTold { call, told: reply } => {
                replies.insert(*call, *reply);
                let Some((contract, _)) = operations.get(call) else {
                    continue;
                };
                let calls = contracts.entry(contract).or_default();
                if *reply != Reply::Unknown {
                    calls.push((record.at_us, *call, false));
                }
            }
            _ => {}
        }
    }
    for (contract, calls) in contracts {
        let call = |number: u64| Call {
            operation: operations[&number].1,
            reply: replies.get(&number).copied().unwrap_or(Reply::Unknown),
        };
        check_contract(contract, &calls, call, &mut finding);
    }
    finding
}

fn check_contract(
    contract: &str,
    calls: &Calls,
    call: impl Fn(u64) -> Call,
    finding: &mut Finding,
) {
    let mut actions = Vec::new();
    let mut unresolved = Vec::new();
    for (_, number, begins) in calls {
        let call = call(*number);
        // A read without a known result doesn't constrain the order.
        if matches!(
            (call.operation, call.reply),
            (Operation::Read, Reply::Unknown)
        ) {
            continue;
        }
        // The checker matches a response to its call by process, so each call is its own process.
        let process = usize::try_from(*number).unwrap_or(usize::MAX);
        match begins {
            true => actions.push((process, Action::Call(call))),
            false => actions.push((process, Action::Response(call))),
        }
        if *begins && call.reply == Reply::Unknown {
            unresolved.push((process, Action::Response(call)));
        }
        finding.checked += u64::from(*begins);
    }
    // Publishes with an unknown result may take effect at any time, so they end last.
    actions.extend(unresolved);
    if !actions.is_empty()
        && !WGLChecker::<Register>::is_linearizable(History::from_actions(actions))
    {
        let at_us = calls.first().map_or(0, |(at_us, ..)| *at_us);
        let count = calls.iter().filter(|(_, _, begins)| *begins).count();
        finding.add_violation(
            at_us,
            format!("{count} calls on contract {contract} are not linearizable"),
        );
    }
}
