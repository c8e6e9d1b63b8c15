//! Guards against an owner that takes a changed answer for room that another shard has given.

use std::collections::BTreeSet;

use quickcheck::quickcheck;
use rosemaryworks_wire::workflow::Message as Workflow;
use rosemaryworks_wire::{Frame, Kind, Message};
use rosemaryworks_workflow::{Account, Ask, Confirmation, Grant, Resource, Want};

fn survives(kind: Kind, message: Workflow) -> bool {
    let frame = Frame {
        id: 7,
        kind,
        message: Message::Workflow(message),
    };
    let bytes = frame.encode().expect("a frame");
    Frame::decode(&bytes).as_ref() == Ok(&frame)
}

fn confirmation(members: u64, version: u64, awaited: BTreeSet<u32>) -> Confirmation {
    Confirmation {
        members,
        version,
        awaited,
    }
}

quickcheck! {
    fn requests_survive_a_round_trip(
        shards: (u32, u32),
        members: u64,
        confirmed: Option<(u64, BTreeSet<u32>)>,
        wants: Vec<(String, u64, u64)>
    ) -> bool {
        let want = |(team, part, next): (String, u64, u64)| Want {
            account: Account::new(&team.into(), Resource::Memory),
            part,
            used: part,
            wanted: next,
            next,
            held_ms: part,
        };
        let ask = Ask {
            from: shards.0,
            members,
            confirmed: confirmed.map(|(version, awaited)| confirmation(members, version, awaited)),
            wants: wants.into_iter().map(want).collect(),
        };
        survives(Kind::Call, Workflow::AskRoom { shard: shards.1, ask })
    }

    fn answers_survive_a_round_trip(
        members: u64,
        confirmed: Option<(u64, BTreeSet<u32>)>,
        totals: Option<Vec<(String, u64)>>
    ) -> bool {
        let confirmed = confirmed.map(|(version, awaited)| confirmation(members, version, awaited));
        let grant = |totals: Vec<(String, u64)>| Grant {
            members,
            confirmed,
            totals: totals.into_iter().map(|(team, total)| (Account::new(&team.into(), Resource::Memory), total)).collect(),
        };
        survives(Kind::Reply, Workflow::RoomGiven(totals.map(grant)))
    }
}
