//! Decisions that operators find in the state dump.

mod common;

use common::{Body, SERVICE, bench};
use fulmargw_decision::{promotion::Cause, routing::Rationale};
use fulmargw_engine::{
    journal::{OutcomeKind, promotion::Outcome},
    submit::Submit,
};
use fulmargw_model::{
    outcome::Reason,
    request::{Class, Part},
};
use std::time::Duration;
use tokio::time::timeout;

/// Guards against a promotion that operators cannot explain afterwards.
#[tokio::test(start_paused = true)]
async fn a_promotion_is_recorded_with_its_evidence() {
    let bench = bench().await;
    bench.put(1).await;

    bench.world.kill("a");
    bench.put(2).await;

    let promotions = bench.engine.dump().promotions;
    let promotion = promotions.last().expect("a promotion");
    assert_eq!(promotion.end, Outcome::Promoted);
    assert_eq!(promotion.cause, Cause::Refused);
    assert_eq!(promotion.service.as_str(), SERVICE);
    let promised = promotion.evidence.iter().filter(|it| it.promise.is_some());
    let promised: Vec<_> = promised.map(|it| Some(it.server.clone())).collect();
    assert!(promised.len() >= promotion.majority, "{promotion:?}");
    assert!(promised.contains(&promotion.server), "{promotion:?}");
}

/// Guards against a refusal without reason, account, route or service.
#[tokio::test(start_paused = true)]
async fn a_refusal_is_recorded_with_its_reason() {
    let bench = bench().await;
    bench.gate.set_leased(false);
    let request = bench.request(Class::Write, Body::Put(1));
    let id = request.id.clone();
    let (account, route) = (request.account.clone(), request.route.clone());

    bench.engine.submit(request).await;

    let journal = bench.engine.dump().journal;
    let entry = journal.last().expect("an entry");
    assert_eq!(entry.request, id);
    assert_eq!(entry.outcome, OutcomeKind::Refused(Reason::Lease));
    assert_eq!((&entry.account, &entry.route), (&account, &route));
    assert_eq!(entry.service.as_str(), SERVICE);
}

/// Guards against a read on the primary without its reason.
#[tokio::test(start_paused = true)]
async fn a_read_on_the_primary_is_recorded_with_its_reason() {
    let bench = bench().await;
    for replica in ["b", "c"] {
        bench.world.kill(replica);
    }
    tokio::time::sleep(Duration::from_secs(1)).await;

    let request = bench.request(Class::Aged(Duration::from_secs(2)), Body::Get);
    bench.engine.submit(request).await;

    let journal = bench.engine.dump().journal;
    let entry = journal.last().expect("an entry");
    assert_eq!(entry.why, Some(Rationale::NoReplica), "{entry:?}");
}

/// Guards against a request that leaves no trace because its caller went away.
#[tokio::test(start_paused = true)]
async fn an_abandoned_request_is_recorded() {
    let bench = bench().await;
    bench
        .world
        .change("a", |node| node.work = Duration::from_millis(20));
    let write = bench.part(Part::Statement, Body::Put(1));

    let gone = timeout(Duration::from_millis(10), write).await;

    assert!(gone.is_err());
    let journal = bench.engine.dump().journal;
    let entry = journal.last().expect("an entry");
    assert_eq!(entry.outcome, OutcomeKind::Abandoned);
}
