//! Encoding and decoding of frames, including malformed input.

use std::sync::Arc;

use quickcheck::{Arbitrary, Gen, quickcheck};
use rosemaryworks_core::contract::Revision;
use rosemaryworks_core::job;
use rosemaryworks_core::outcome::{Finish, NotRun, Request, Unknown};
use rosemaryworks_core::routing::{Key, SlotRequest};
use rosemaryworks_core::shard::{Epoch, Id};
use rosemaryworks_wire::{Error, FRAME_MAX_BYTES, Frame, Kind, Message, Submission, Verdict};

#[derive(Clone, Debug)]
struct ArbitraryFrame(Frame);

fn name(random: &mut Gen) -> Arc<str> {
    String::arbitrary(random).into()
}

/// Returns an arbitrary shard id. The name has only characters that settings allow, because it
/// becomes part of a path.
fn shard(random: &mut Gen) -> Id {
    let characters: Vec<char> = "abc0-".chars().collect();
    let name: String = (0..4).filter_map(|_| random.choose(&characters)).collect();
    let number = u32::arbitrary(random);
    match bool::arbitrary(random) {
        true => Id::pool(&name, number),
        false => Id::service(&name, number),
    }
}

fn slot_request(random: &mut Gen) -> SlotRequest {
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
            ask: slot_request(random),
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

impl Arbitrary for ArbitraryFrame {
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
    /// Guards against fields that encoding or decoding drops or changes.
    fn frames_survive_a_round_trip(input: ArbitraryFrame) -> bool {
        let bytes = input.0.encode().unwrap();
        Frame::decode(&bytes) == Ok(input.0)
    }

    /// Guards against a truncated frame that is decoded as a complete one.
    fn a_truncated_frame_is_malformed(input: ArbitraryFrame, length: usize) -> bool {
        let bytes = input.0.encode().unwrap();
        matches!(Frame::decode(&bytes[..length % bytes.len()]), Err(Error::Malformed(_)))
    }

    /// Guards against a panic on corrupted frames.
    fn corrupted_frames_are_rejected_or_decoded(
        input: ArbitraryFrame,
        corruption: Vec<(usize, u8)>
    ) -> bool {
        let mut bytes = input.0.encode().unwrap();
        for (at, value) in corruption {
            let at = at % bytes.len();
            bytes[at] = value;
        }
        match Frame::decode(&bytes) {
            Ok(frame) => frame.encode().is_ok(),
            Err(error) => matches!(error, Error::Malformed(_)),
        }
    }

    /// Guards against a panic on arbitrary bytes.
    fn arbitrary_bytes_do_not_panic(bytes: Vec<u8>) -> bool {
        !matches!(Frame::decode(&bytes), Err(Error::TooLarge(_)))
    }
}

/// Guards against a stack overflow on deeply nested arrays, and against allocating memory for a
/// declared length that the input doesn't have.
#[test]
fn nested_and_overlong_content_is_malformed() {
    let nested = vec![0x81; FRAME_MAX_BYTES];
    assert!(matches!(Frame::decode(&nested), Err(Error::Malformed(_))));
    let text = |field: &str| [&[0x60 | field.len() as u8], field.as_bytes()].concat();
    let mut overlong = vec![0xa3];
    overlong.extend(
        [
            text("id"),
            vec![1],
            text("kind"),
            text("Call"),
            text("message"),
        ]
        .concat(),
    );
    overlong.extend([vec![0xa1], text("Released"), vec![0x9b]].concat());
    overlong.extend([0x7f; 8]);
    assert!(matches!(Frame::decode(&overlong), Err(Error::Malformed(_))));
}

/// Guards against a frame that the sender accepts and every receiver rejects because of its size.
#[test]
fn too_large_frames_are_rejected_on_both_sides() {
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
