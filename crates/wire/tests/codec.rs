//! Encoding and decoding of frames, also of bytes that no process of ours sends.

use std::sync::Arc;

use quickcheck::{Arbitrary, Gen, quickcheck};
use rosemaryworks_core::contract::Revision;
use rosemaryworks_core::job;
use rosemaryworks_core::outcome::{Finish, NotRun, Request, Unknown};
use rosemaryworks_core::routing::{Key, SlotRequest};
use rosemaryworks_core::shard::{Epoch, Id};
use rosemaryworks_wire::{Error, FRAME_MAX_BYTES, Frame, Kind, Message, Submission, Verdict};

#[derive(Clone, Debug)]
struct Any(Frame);

fn name(random: &mut Gen) -> Arc<str> {
    String::arbitrary(random).into()
}

/// Returns the identity of a shard. Its name is one that settings allow: it becomes part of a path.
fn shard(random: &mut Gen) -> Id {
    let characters: Vec<char> = "abc0-".chars().collect();
    let name: String = (0..4).filter_map(|_| random.choose(&characters)).collect();
    let number = u32::arbitrary(random);
    match bool::arbitrary(random) {
        true => Id::pool(&name, number),
        false => Id::service(&name, number),
    }
}

fn ask(random: &mut Gen) -> SlotRequest {
    SlotRequest {
        key: Key {
            gateway: name(random),
            number: u64::arbitrary(random),
        },
        request: Request {
            contract: name(random),
            id: name(random),
        },
        idempotent: bool::arbitrary(random),
        attempt: Option::arbitrary(random),
        remaining_ms: u64::arbitrary(random),
        exclude: Vec::<String>::arbitrary(random)
            .into_iter()
            .map(Arc::from)
            .collect(),
    }
}

fn message(random: &mut Gen) -> Message {
    let epoch = Epoch(u64::arbitrary(random));
    match u8::arbitrary(random) % 9 {
        0 => Message::Ask {
            shard: shard(random),
            ask: ask(random),
        },
        1 => Message::Cancel {
            shard: shard(random),
            job: job::Id {
                contract: name(random),
                job: name(random),
            },
        },
        2 => Message::Done,
        3 => Message::Finish {
            shard: shard(random),
            epoch,
            slot: u64::arbitrary(random),
            finish: Finish::Lost,
            run_ms: u64::arbitrary(random),
        },
        4 => Message::Verdict(Verdict::NotRun(NotRun::Overloaded)),
        5 => Message::Verdict(Verdict::Unknown(Unknown::AlreadyDispatched)),
        6 => Message::Submission(Submission::Rejected(name(random))),
        7 => Message::Released(vec![(shard(random), epoch)]),
        _ => Message::RevisionList(Some(vec![(name(random), Revision(epoch.0))])),
    }
}

impl Arbitrary for Any {
    fn arbitrary(random: &mut Gen) -> Self {
        let kinds = [Kind::Call, Kind::Notice, Kind::Reply];
        Self(Frame {
            id: u64::arbitrary(random),
            kind: *random.choose(&kinds).unwrap(),
            message: message(random),
        })
    }
}

quickcheck! {
    /// Guards against a field that is lost or changed on the way.
    fn frames_arrive_as_they_were_sent(any: Any) -> bool {
        let bytes = any.0.encode().unwrap();
        Frame::decode(&bytes) == Ok(any.0)
    }

    /// Guards against a cut frame that is taken for a whole one.
    fn a_cut_frame_is_malformed(any: Any, cut: usize) -> bool {
        let bytes = any.0.encode().unwrap();
        matches!(Frame::decode(&bytes[..cut % bytes.len()]), Err(Error::Malformed(_)))
    }

    /// Guards against a process that ends because a peer sent damaged bytes.
    fn damaged_frames_are_refused_or_decoded(any: Any, damage: Vec<(usize, u8)>) -> bool {
        let mut bytes = any.0.encode().unwrap();
        for (at, value) in damage {
            let at = at % bytes.len();
            bytes[at] = value;
        }
        match Frame::decode(&bytes) {
            Ok(frame) => frame.encode().is_ok(),
            Err(error) => matches!(error, Error::Malformed(_)),
        }
    }

    /// Guards against a process that ends because a peer sent anything else.
    fn arbitrary_bytes_do_not_end_the_process(bytes: Vec<u8>) -> bool {
        !matches!(Frame::decode(&bytes), Err(Error::TooLarge(_)))
    }
}

/// Guards against a stack overflow by nested arrays, and against memory that is taken for a length
/// that the bytes only claim.
#[test]
fn nested_and_overlong_content_is_malformed() {
    let nested = vec![0x81; FRAME_MAX_BYTES];
    assert!(matches!(Frame::decode(&nested), Err(Error::Malformed(_))));
    let text = |field: &str| [&[0x60 | field.len() as u8], field.as_bytes()].concat();
    let mut claimed = vec![0xa3];
    claimed.extend(
        [
            text("id"),
            vec![1],
            text("kind"),
            text("Call"),
            text("message"),
        ]
        .concat(),
    );
    claimed.extend([vec![0xa1], text("Released"), vec![0x9b]].concat());
    claimed.extend([0x7f; 8]);
    assert!(matches!(Frame::decode(&claimed), Err(Error::Malformed(_))));
}

/// Guards against a frame that the sender's own limit lets through and every peer refuses.
#[test]
fn too_large_frames_are_refused_on_both_sides() {
    let reason = "x".repeat(FRAME_MAX_BYTES);
    let frame = Frame {
        id: 1,
        kind: Kind::Reply,
        message: Message::Submission(Submission::Rejected(reason.into())),
    };
    assert!(matches!(frame.encode(), Err(Error::TooLarge(_))));
    let bytes = vec![0; FRAME_MAX_BYTES + 1];
    assert_eq!(Frame::decode(&bytes), Err(Error::TooLarge(bytes.len())));
}
