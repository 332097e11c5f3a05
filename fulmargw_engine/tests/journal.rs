//! Requests and promotions that the state dump must show to operators.

mod common;

use common::{Body, SERVICE, fixture};
use fulmargw_decision::{promotion::Cause, routing::Rationale};
use fulmargw_engine::{
    journal::{OutcomeKind, promotion},
    submit::Submit,
};
use fulmargw_model::{
    outcome::Reason,
    request::{Class, Part},
};
use std::time::Duration;
use tokio::time::timeout;

/// Guards against a promotion whose cause, promises or chosen server the dump lacks.
#[tokio::test(start_paused = true)]
async fn a_promotion_is_recorded_with_its_evidence() {
    let fixture = fixture().await;
    fixture.put(1).await;

    fixture.cluster.kill("a");
    fixture.put(2).await;

    let promotions = fixture.engine.dump().promotions;
    let promotion = promotions.last().expect("a promotion");
    assert_eq!(promotion.outcome, promotion::Outcome::Promoted);
    assert_eq!(promotion.cause, Cause::Refused);
    assert_eq!(promotion.service.as_str(), SERVICE);
    let promised = promotion.evidence.iter().filter(|it| it.promise.is_some());
    let promised: Vec<_> = promised.map(|it| Some(it.server.clone())).collect();
    assert!(promised.len() >= promotion.majority, "{promotion:?}");
    assert!(promised.contains(&promotion.server), "{promotion:?}");
}

/// Guards against a refusal that the dump shows without its reason, account, route or service.
#[tokio::test(start_paused = true)]
async fn a_refusal_is_recorded_with_its_reason() {
    let fixture = fixture().await;
    fixture.control_plane.set_lease(false);
    let request = fixture.request(Class::Write, Body::Put(1));
    let id = request.id.clone();
    let (account, route) = (request.account.clone(), request.route.clone());

    fixture.engine.submit(request).await;

    let journal = fixture.engine.dump().journal;
    let entry = journal.last().expect("an entry");
    assert_eq!(entry.request, id);
    assert_eq!(entry.outcome, OutcomeKind::Refused(Reason::Lease));
    assert_eq!((&entry.account, &entry.route), (&account, &route));
    assert_eq!(entry.service.as_str(), SERVICE);
}

/// Guards against a dump that does not show why a read ran on the primary.
#[tokio::test(start_paused = true)]
async fn a_read_on_the_primary_is_recorded_with_its_reason() {
    let fixture = fixture().await;
    for replica in ["b", "c"] {
        fixture.cluster.kill(replica);
    }
    tokio::time::sleep(Duration::from_secs(1)).await;

    let request = fixture.request(Class::Aged(Duration::from_secs(2)), Body::Get);
    fixture.engine.submit(request).await;

    let journal = fixture.engine.dump().journal;
    let entry = journal.last().expect("an entry");
    assert_eq!(entry.rationale, Some(Rationale::NoReplica), "{entry:?}");
}

/// Guards against a missing entry when the submission of a request is dropped.
#[tokio::test(start_paused = true)]
async fn an_abandoned_request_is_recorded() {
    let fixture = fixture().await;
    fixture
        .cluster
        .change("a", |node| node.run_time = Duration::from_millis(20));
    let write = fixture.part(Part::Statement, Body::Put(1));

    let submitted = timeout(Duration::from_millis(10), write).await;

    assert!(submitted.is_err());
    let journal = fixture.engine.dump().journal;
    let entry = journal.last().expect("an entry");
    assert_eq!(entry.outcome, OutcomeKind::Abandoned);
}
