//! Guards against an owner that takes a changed answer of a peer for a proof of its ownership.

use quickcheck::quickcheck;
use rosemaryworks_wire::workflow::{Encoded, Form, Message as Workflow, Revision};
use rosemaryworks_wire::{Frame, Kind, Message};

fn survives(kind: Kind, message: Workflow) -> bool {
    let frame = Frame {
        id: 7,
        kind,
        message: Message::Workflow(message),
    };
    let bytes = frame.encode().expect("a frame");
    Frame::decode(&bytes).as_ref() == Ok(&frame)
}

quickcheck! {
    fn questions_survive_a_round_trip(owned: Vec<(u32, u64)>, seeks_candidate: bool) -> bool {
        survives(Kind::Call, Workflow::AskOwnership { owned, seeks_candidate })
    }

    fn answers_survive_a_round_trip(superseded: Option<Vec<u32>>, candidate: bool) -> bool {
        survives(Kind::Reply, Workflow::Ownership { superseded, candidate })
    }
}

#[test]
fn revisions_survive_a_round_trip_and_show_no_key() {
    let key = "a-secret-key";
    let revision = Revision {
        version: Some(3),
        age_ms: Some(20),
        offset: Some(40),
        length: Some(500),
        config: Some(Encoded(key.as_bytes().to_vec())),
    };
    assert!(!format!("{revision:?}").contains("115"), "{revision:?}");
    assert!(survives(Kind::Reply, Workflow::Revision(revision)));
    let version = Some(2);
    for form in [Form::Plain, Form::Compressed, Form::Brief] {
        assert!(survives(
            Kind::Call,
            Workflow::AskRevision { version, form }
        ));
    }
}

#[test]
fn an_announced_end_survives_a_round_trip() {
    assert!(survives(Kind::Notice, Workflow::Leaving));
}
