//! Admits operations, borrowing tokens from other hosts where this one lacks them.

use crate::{
    admission::{Attempt, Question, Refusal},
    core::Core,
    dialect::Dialect,
    store::Platform,
};
use fulmargw_decision::rate::Grant;
use fulmargw_model::{fleet::Instance, host::Incarnation, name::Name};
use fulmargw_peer::message::{LoanRequest, LoanResponse};
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// Longest time for which an operation waits for tokens, and longest part of its latency
/// objective. What is refused then can still be tried again in time.
const LONGEST_WAIT: Duration = Duration::from_millis(60);
const WAIT_SHARE: f64 = 0.2;
/// Longest time for the answer to a question for tokens. A host whose processor share is used up
/// pauses for up to a tenth of a second.
const LOAN_TIMEOUT: Duration = Duration::from_millis(150);
/// Time between two looks at the own bucket while waiting.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// Returns the longest time for which an operation with a latency objective waits for tokens.
#[must_use]
pub fn patience(objective: Duration) -> Duration {
    LONGEST_WAIT.min(objective.mul_f64(WAIT_SHARE))
}

/// Takes one operation with a latency objective out of an account's rate.
///
/// # Errors
///
/// If no token came in time.
pub async fn admit<D: Dialect, P: Platform>(
    core: &Arc<Core<D, P>>,
    account: &Name,
    objective: Duration,
) -> Result<(), Refusal> {
    let now = Instant::now();
    let has_share = core.members.lock().has_share(now);
    let taken = core
        .admission
        .lock()
        .take(account, Attempt::First, has_share, now);
    if taken.is_ok() {
        start(core, account, has_share, now);
        return Ok(());
    }
    let Some(changed) = core.admission.lock().wait(account) else {
        return taken;
    };
    let limit = now + patience(objective);
    let mut taken = taken;
    while taken.is_err() && Instant::now() < limit {
        start(core, account, has_share, Instant::now());
        let look = limit.min(Instant::now() + LOOK_INTERVAL);
        // Without an announcement the own bucket may have refilled meanwhile.
        let _ = timeout_at(look, changed.notified()).await;
        taken = core
            .admission
            .lock()
            .take(account, Attempt::Again, has_share, Instant::now());
    }
    core.admission.lock().stop_waiting(account);
    taken
}

/// Gives back the token of an operation that certainly has not run.
pub fn refund<D: Dialect, P: Platform>(core: &Core<D, P>, account: &Name) {
    let now = Instant::now();
    let has_share = core.members.lock().has_share(now);
    core.admission.lock().refund(account, has_share, now);
    metrics::counter!("fulmargw_pool_refunds_total").increment(1);
}

/// Asks for tokens in the background, if they are needed and somebody may have some.
fn start<D: Dialect, P: Platform>(
    core: &Arc<Core<D, P>>,
    account: &Name,
    has_share: bool,
    now: Instant,
) {
    let question = core.admission.lock().question(account, has_share, now);
    if let Some(question) = question {
        let core = Arc::clone(core);
        let account = account.clone();
        let tasks = core.tasks.clone();
        tasks.spawn(async move { ask(&core, &account, question).await });
    }
}

/// Notes that a host did not lend.
fn failed(account: &Name, lender: &Name, cause: &str) -> Option<(Option<Grant>, f64)> {
    metrics::counter!("fulmargw_pool_loan_failures_total").increment(1);
    log::info!(event = "loan_failed", account = account.as_str(), lender = lender.as_str(), cause; "host did not lend");
    None
}

async fn ask<D: Dialect, P: Platform>(core: &Core<D, P>, account: &Name, question: Question) {
    let Question {
        lender,
        tokens,
        settled,
    } = question;
    let sent = Instant::now();
    let address = {
        let members = core.members.lock();
        members.peers.get(&lender).map(|peer| peer.endpoint.reports)
    };
    let demand = LoanRequest {
        borrower: Instance {
            host: core.settings.host.name.clone(),
            incarnation: Incarnation(core.incarnation),
        },
        account: account.clone(),
        tokens,
        settled,
    };
    let answer = match address {
        None => None,
        Some(address) => {
            match timeout(LOAN_TIMEOUT, core.report_client.borrow(address, &demand)).await {
                Ok(Ok(LoanResponse {
                    grant, remaining, ..
                })) => Some((grant, remaining)),
                Ok(Err(error)) => failed(account, &lender, &error.to_string()),
                Err(_) => failed(account, &lender, "timeout"),
            }
        }
    };
    if answer.is_none() {
        // Others may have tokens; a short pause keeps failures from turning into a busy loop.
        sleep(LOOK_INTERVAL).await;
    }
    let granted = matches!(answer, Some((Some(_), _)));
    metrics::counter!("fulmargw_pool_loans_total", "granted" => if granted { "yes" } else { "no" })
        .increment(1);
    core.admission
        .lock()
        .receive(account, &lender, answer, sent, Instant::now());
}
