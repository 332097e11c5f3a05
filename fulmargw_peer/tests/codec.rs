//! Encoded frames with changed bytes.

#[allow(dead_code, reason = "each test file uses a part of the fixtures")]
mod fixture;

use bytes::BytesMut;
use fixture::{announcement, configuration, demand, note, question, removal};
use fulmargw_peer::{
    codec::Codec,
    service::{ControlRequest, ControlResponse},
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{pin::Pin, sync::Arc, time::Duration};
use tarpc::{ClientMessage, Request, Response, context};
use tokio::time::Instant;
use tokio_serde::{Deserializer, Serializer};

const SEED: u64 = 7;

const ROUNDS: u32 = 20_000;

fn frames() -> Vec<BytesMut> {
    let requests = [
        ControlRequest::Confirm {
            question: question(),
        },
        ControlRequest::Consent { removal: removal() },
        ControlRequest::Note { note: note() },
        ControlRequest::Borrow { demand: demand() },
        ControlRequest::Announce {
            announcement: announcement(),
        },
        ControlRequest::Push {
            configuration: Arc::new(configuration(1)),
        },
    ];
    requests
        .into_iter()
        .map(|message| encode(message, Duration::from_secs(1)))
        .collect()
}

fn encode(message: ControlRequest, deadline: Duration) -> BytesMut {
    let mut context = context::current();
    context.deadline = (Instant::now() + deadline).into_std();
    let request = ClientMessage::Request(Request {
        context,
        id: 1,
        message,
    });
    let bytes = Pin::new(&mut Codec).serialize(&request).expect("encodable");
    BytesMut::from(&bytes[..])
}

fn decode(frame: &BytesMut) -> std::io::Result<ClientMessage<ControlRequest>> {
    Pin::new(&mut Codec).deserialize(frame)
}

/// Changes, removes or adds a few bytes.
fn mutate(frame: &BytesMut, random: &mut StdRng) -> BytesMut {
    let mut bytes = frame.to_vec();
    for _ in 0..random.random_range(1..6) {
        let place = random.random_range(0..bytes.len());
        match random.random_range(0..4) {
            0 => bytes.truncate(place.max(1)),
            1 => bytes.insert(place, random.random()),
            2 => bytes[place] = 0xff,
            _ => bytes[place] = random.random(),
        }
    }
    BytesMut::from(&bytes[..])
}

/// Guards against a panic in the decoder, which a peer could cause.
#[test]
fn changed_requests_do_not_panic() {
    let mut random = StdRng::seed_from_u64(SEED);
    let frames = frames();
    let mut refused = 0;

    for round in 0..ROUNDS {
        let frame = &frames[round as usize % frames.len()];
        refused += u32::from(decode(&mutate(frame, &mut random)).is_err());
    }

    assert!(
        refused > ROUNDS / 4,
        "only {refused} of {ROUNDS} were refused"
    );
}

/// Guards against a panic of the client for a changed answer.
#[test]
fn changed_responses_do_not_panic() {
    let mut random = StdRng::seed_from_u64(SEED);
    let response = Response {
        request_id: 1,
        message: Ok(ControlResponse::Borrow(fixture::loan())),
    };
    let bytes = Pin::new(&mut Codec)
        .serialize(&response)
        .expect("encodable");
    let frame = BytesMut::from(&bytes[..]);

    for _ in 0..ROUNDS {
        let changed = mutate(&frame, &mut random);
        let decoded: std::io::Result<Response<ControlResponse>> =
            Pin::new(&mut Codec).deserialize(&changed);
        drop(decoded);
    }
}

/// Guards against a deadline that overflows the clock, for which `tarpc` would panic.
#[test]
fn a_far_deadline_is_refused() {
    let near = encode(
        ControlRequest::Note { note: note() },
        Duration::from_secs(30),
    );
    let far = encode(
        ControlRequest::Note { note: note() },
        Duration::from_hours(24),
    );

    assert!(decode(&near).is_ok());
    assert!(decode(&far).is_err());
}
