//! Every completed call returns the whole response to its own request.

use std::collections::HashMap;

use super::Finding;
use crate::record::{Event, Outcome, Record};

/// Checks the token and length of each completed response.
pub(super) fn check(records: &[Record]) -> Finding {
    let mut finding = Finding::new("whole answer");
    let mut expected = HashMap::new();
    for record in records {
        match &record.event {
            Event::Called {
                call,
                token,
                length,
                ..
            } => {
                expected.insert(*call, (token, *length));
            }
            Event::Answered {
                call,
                outcome: Outcome::Completed,
                token,
                length,
                intact,
                ..
            } => {
                let whole = *intact && expected.get(call) == Some(&(token, *length));
                finding.require(whole, record.at_us, || {
                    let expected = expected.get(call);
                    format!(
                        "call {call} expected {expected:?} but received {length} bytes of {token:?}"
                    )
                });
            }
            _ => {}
        }
    }
    finding
}
