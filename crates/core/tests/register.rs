//! Tests of the contract register.

use std::collections::BTreeMap;

use quickcheck::quickcheck;
use rosemaryworks_core::contract::{Contract, Revision};
use rosemaryworks_core::job::Priority;
use rosemaryworks_core::record::Config;
use rosemaryworks_core::register::{Register, Verdict};

fn contract(weight: u32) -> Box<Contract> {
    Box::new(Contract {
        name: "c".into(),
        weight,
        keys: Vec::new(),
        services: BTreeMap::new(),
        pools: BTreeMap::new(),
        max_priority: Priority::Normal,
        urgent_percent: 0,
    })
}

fn publish(id: &str, expected: u64, weight: u32) -> Config {
    Config::Publish {
        id: id.into(),
        expected: Revision(expected),
        contract: contract(weight),
        operator: "o".into(),
        at_unix_ms: 0,
    }
}

fn standing(revision: u64, weight: u32) -> Config {
    Config::Standing {
        revision: Revision(revision),
        contract: contract(weight),
        operator: "o".into(),
        at_unix_ms: 0,
    }
}

/// Guards against two conflicting publishes that are both accepted.
#[test]
fn one_of_two_concurrent_publishes_is_accepted() {
    let mut register = Register::default();
    let first = register.apply(1, &publish("a", 0, 1));
    let second = register.apply(2, &publish("b", 0, 2));
    let revision = Revision(1);
    assert_eq!(first, Verdict::Accepted { revision });
    assert_eq!(second, Verdict::Conflict { current: revision });
    assert_eq!(register.get("c").unwrap().contract.weight, 1);
    assert_eq!(register.verdict("b"), Some(&second));
}

/// Guards against a publish that takes effect twice because its append was retried.
#[test]
fn a_repeated_publish_changes_nothing() {
    let mut register = Register::default();
    register.apply(1, &publish("a", 0, 1));
    register.apply(2, &publish("b", 1, 2));
    assert_eq!(register.apply(3, &publish("a", 2, 1)), Verdict::Repeated);
    assert_eq!(register.apply(2, &publish("z", 2, 9)), Verdict::Repeated);
    assert_eq!(register.get("c").unwrap().contract.weight, 2);
}

/// Guards against a republished older revision that replaces a newer one.
#[test]
fn a_republished_revision_never_reverts() {
    let mut register = Register::default();
    register.apply(1, &publish("a", 0, 1));
    register.apply(2, &publish("b", 1, 2));
    register.apply(3, &standing(1, 1));
    assert_eq!(register.get("c").unwrap().contract.weight, 2);
}

quickcheck! {
    /// Guards against a revision that decreases, skips a number, or differs between a reader of the
    /// whole stream and one that starts from a republished record.
    fn revisions_increase_by_one(expected: Vec<u8>) -> bool {
        let mut register = Register::default();
        let mut late = Register::default();
        let mut last = 0;
        for (at, expected) in expected.into_iter().enumerate() {
            let (offset, weight) = (2 * at as u64 + 1, at as u32 + 1);
            let based_on = last + u64::from(expected % 3) - u64::from(last > 0);
            register.apply(offset, &publish(&at.to_string(), based_on, weight));
            let Some(entry) = register.get("c") else {
                continue;
            };
            let (revision, weight) = (entry.revision.0, entry.contract.weight);
            if revision != last + u64::from(based_on == last) {
                return false;
            }
            last = revision;
            register.apply(offset + 1, &standing(revision, weight));
            late.apply(offset + 1, &standing(revision, weight));
            let late = late.get("c").unwrap();
            if (late.revision.0, late.contract.weight) != (revision, weight) {
                return false;
            }
        }
        true
    }
}
