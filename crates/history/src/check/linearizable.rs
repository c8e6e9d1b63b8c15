//! The contract register is linearizable: operators' calls look as if they took effect one after
//! the other, each between its start and its end.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

use super::Finding;
use crate::record::{Event, Operation, Record, Reply};

/// A call with what became of it.
#[derive(Clone, Copy, Debug)]
struct Call {
    operation: Operation,
    told: Reply,
}

/// A register of one contract: revision and mark, both 0 at first.
struct Register;

impl Specification for Register {
    type State = (u64, u32);
    type Operation = Call;

    fn init() -> Self::State {
        (0, 0)
    }

    fn apply(call: &Call, state: &Self::State) -> (bool, Self::State) {
        match (call.operation, call.told) {
            (Operation::Publish { expected, mark }, Reply::Accepted { revision }) => {
                let accepted = state.0 == expected && revision == expected + 1;
                (accepted, (revision, mark))
            }
            (Operation::Publish { expected, .. }, Reply::Conflict { current }) => {
                let conflict = state.0 != expected;
                let told = current.is_none_or(|current| current == state.0);
                (conflict && told, *state)
            }
            // It may have taken effect at any time from its call on, or never.
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

/// Calls on one contract as (time, call number, whether it is the call).
type Calls = Vec<(u64, u64, bool)>;

/// Checks each contract on its own. Counts the calls.
pub(super) fn check(records: &[Record]) -> Finding {
    let mut finding = Finding::new("register linearizable");
    let mut contracts: BTreeMap<&Arc<str>, Calls> = BTreeMap::new();
    let mut operations = HashMap::new();
    let mut told = HashMap::new();
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
            Event::OperatorTold { call, told: what } => {
                told.insert(*call, *what);
                let Some((contract, _)) = operations.get(call) else {
                    continue;
                };
                let calls = contracts.entry(contract).or_default();
                if *what != Reply::Unknown {
                    calls.push((record.at_us, *call, false));
                }
            }
            _ => {}
        }
    }
    for (contract, calls) in contracts {
        let call = |number: u64| Call {
            operation: operations[&number].1,
            told: told.get(&number).copied().unwrap_or(Reply::Unknown),
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
    let mut open = Vec::new();
    for (_, number, begins) in calls {
        let call = call(*number);
        // A read without an answer constrains nothing.
        if matches!(
            (call.operation, call.told),
            (Operation::Read, Reply::Unknown)
        ) {
            continue;
        }
        let process = usize::try_from(*number).unwrap_or(usize::MAX);
        match begins {
            true => actions.push((process, Action::Call(call))),
            false => actions.push((process, Action::Response(call))),
        }
        if *begins && call.told == Reply::Unknown {
            open.push((process, Action::Response(call)));
        }
        finding.checked += u64::from(*begins);
    }
    actions.extend(open);
    if !actions.is_empty()
        && !WGLChecker::<Register>::is_linearizable(History::from_actions(actions))
    {
        let at_us = calls.first().map_or(0, |(at_us, ..)| *at_us);
        let count = calls.iter().filter(|(_, _, begins)| *begins).count();
        finding.violate(
            at_us,
            format!("{count} calls on contract {contract} fit no order"),
        );
    }
}
