//! Contact of a host with the witnesses of a service.

use fulmargw_decision::contact::VALIDITY;
use fulmargw_pool::table::contact::Contact;
use std::time::Duration;
use tokio::time::{Instant, advance};

/// Time since boot at which a test starts.
const START: Duration = Duration::from_secs(100);
const SECOND: Duration = Duration::from_secs(1);

/// Returns a contact that was proved for a commit at [`START`].
fn proved() -> Contact {
    let mut contact = Contact::default();
    contact.want(START);
    assert!(contact.start_renewal(START));
    contact.record_proof(START, START);
    contact
}

/// Guards against commits of a host that has never proved contact, and of one that proved it too long ago.
#[tokio::test(start_paused = true)]
async fn contact_is_valid_from_its_proof_until_it_ends() {
    let contact = proved();

    assert!(!Contact::default().is_valid(START));
    assert!(contact.is_valid((START + VALIDITY).saturating_sub(Duration::from_millis(1))));
    assert!(!contact.is_valid(START + VALIDITY));
}

/// Guards against a host that was stopped and takes a response that has waited for it as a proof.
#[tokio::test(start_paused = true)]
async fn a_late_response_proves_nothing() {
    let mut contact = Contact::default();
    contact.want(START);
    assert!(contact.start_renewal(START));

    contact.record_proof(START, START + VALIDITY);

    assert!(!contact.is_valid(START + VALIDITY));
}

/// Guards against two tries at the same time, tries without a pause, and none after a failure.
#[tokio::test(start_paused = true)]
async fn contact_is_renewed_while_commits_need_it() {
    let mut contact = proved();
    contact.want(START + SECOND);

    assert!(!contact.start_renewal(START + SECOND / 2));
    assert!(contact.start_renewal(START + SECOND));
    assert!(!contact.start_renewal(START + SECOND));
    contact.record_failure(START + SECOND);
    assert!(!contact.start_renewal(START + SECOND));
    assert!(contact.start_renewal(START + 2 * SECOND));
    contact.record_proof(START + 2 * SECOND, START + 2 * SECOND);
    assert!(!contact.start_renewal(START + 60 * SECOND));
}

/// Guards against commits that wait for a proof which has come, and a loss that is reported twice.
#[tokio::test(start_paused = true)]
async fn a_proof_ends_the_wait_and_the_loss() {
    let mut contact = proved();
    let lost = START + VALIDITY;
    contact.want(lost);
    let wait = contact.wait(Instant::now());
    assert!(contact.record_failure(lost));
    assert!(!contact.record_failure(lost));
    assert!(contact.is_lost(lost));

    let is_reported = contact.record_proof(lost, lost);

    assert!(is_reported && !contact.is_lost(lost));
    assert!(wait.has_ended());
    assert!(!contact.record_proof(lost, lost));
}

/// Guards against writes that are held for good, because only a commit that is sent shows that contact is
/// needed.
#[tokio::test(start_paused = true)]
async fn contact_that_nothing_needs_is_not_lost() {
    let mut contact = proved();
    contact.record_failure(START + SECOND);

    assert!(!contact.is_lost(START + 60 * SECOND));
}

/// Guards against a response that is passed on although it came before contact was regained, and so before
/// what happened meanwhile was known.
#[tokio::test(start_paused = true)]
async fn a_gap_is_seen_by_commits_that_were_sent_before_it() {
    let mut contact = proved();
    let before = Instant::now();
    advance(VALIDITY).await;
    contact.record_proof(START + VALIDITY, START + VALIDITY);
    advance(SECOND).await;
    let after = Instant::now();
    contact.record_proof(START + VALIDITY + SECOND, START + VALIDITY + SECOND);

    assert!(contact.was_regained_since(before));
    assert!(!contact.was_regained_since(after));
}
