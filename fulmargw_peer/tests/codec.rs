//! Decoding of corrupted frames.

#[allow(dead_code, reason = "each test file uses a part of the fixtures")]
mod fixture;

use bytes::BytesMut;
use fixture::{
    announcement, configuration, lease_request, loan_request, removal_request, version_notice,
};
use fulmargw_model::execution::{self, Consistency, Kind, Target, Visibility};
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
            question: lease_request(),
        },
        ControlRequest::Consent {
            removal: removal_request(),
        },
        ControlRequest::Note {
            note: version_notice(),
        },
        ControlRequest::Borrow {
            demand: loan_request(),
        },
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

/// Changes, removes or inserts a few bytes.
fn corrupt(frame: &BytesMut, random: &mut StdRng) -> BytesMut {
    let mut bytes = frame.to_vec();
    for _ in 0..random.random_range(1..6) {
        let index = random.random_range(0..bytes.len());
        match random.random_range(0..4) {
            0 => bytes.truncate(index.max(1)),
            1 => bytes.insert(index, random.random()),
            2 => bytes[index] = 0xff,
            _ => bytes[index] = random.random(),
        }
    }
    BytesMut::from(&bytes[..])
}

/// Guards against a panic of the server's decoder, which any peer could cause.
#[test]
fn corrupted_requests_do_not_panic() {
    let mut random = StdRng::seed_from_u64(SEED);
    let frames = frames();
    let mut rejected = 0;

    for round in 0..ROUNDS {
        let frame = &frames[round as usize % frames.len()];
        rejected += u32::from(decode(&corrupt(frame, &mut random)).is_err());
    }

    assert!(
        rejected > ROUNDS / 4,
        "only {rejected} of {ROUNDS} were rejected"
    );
}

/// Guards against a panic of the client's decoder.
#[test]
fn corrupted_responses_do_not_panic() {
    let mut random = StdRng::seed_from_u64(SEED);
    let response = Response {
        request_id: 1,
        message: Ok(ControlResponse::Borrow(fixture::loan_response())),
    };
    let bytes = Pin::new(&mut Codec)
        .serialize(&response)
        .expect("encodable");
    let frame = BytesMut::from(&bytes[..]);

    for _ in 0..ROUNDS {
        let corrupted = corrupt(&frame, &mut random);
        let decoded: std::io::Result<Response<ControlResponse>> =
            Pin::new(&mut Codec).deserialize(&corrupted);
        drop(decoded);
    }
}

/// Returns a statement that a host forwards, with or without a zone and home regions.
fn forwarded(zone: Option<&str>, region: Option<&str>) -> execution::Request {
    execution::Request {
        service: "service".into(),
        account: "account".into(),
        statement: execution::Statement {
            id: "id".into(),
            text: "READ item".into(),
            template: None,
            kind: Kind::Read,
        },
        visibility: Visibility {
            consistency: Consistency::Current,
            last_commit: None,
        },
        variables: Arc::default(),
        priority: 1,
        objective: Duration::from_secs(1),
        remaining: Duration::from_secs(1),
        avoid: None,
        target: zone.map(|zone| Target {
            zone: zone.into(),
            may_pass_on: false,
        }),
        regions: region.map(|region| [region.into()].into()),
    }
}

/// Guards against a forwarded statement that the peer cannot decode because an optional field before another
/// one was left out: the peer then closes the connection, with everything that runs on it.
#[test]
fn forwarded_statements_survive_each_set_of_optional_fields() {
    for zone in [None, Some("zone")] {
        for region in [None, Some("region")] {
            let request = forwarded(zone, region);

            let bytes = rmp_serde::to_vec(&request).expect("encodable");
            let decoded: Result<execution::Request, _> = rmp_serde::from_slice(&bytes);

            assert_eq!(decoded.ok(), Some(request), "{zone:?}, {region:?}");
        }
    }
}

/// Guards against a deadline so distant that `tarpc` panics when it adds it to the current time.
#[test]
fn a_too_distant_deadline_is_rejected() {
    let near_deadline = encode(
        ControlRequest::Note {
            note: version_notice(),
        },
        Duration::from_secs(30),
    );
    let far_deadline = encode(
        ControlRequest::Note {
            note: version_notice(),
        },
        Duration::from_hours(24),
    );

    assert!(decode(&near_deadline).is_ok());
    assert!(decode(&far_deadline).is_err());
}
