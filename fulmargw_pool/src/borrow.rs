//! Admits operations, and borrows rate tokens from peers when this one runs out.

use crate::{
    admission::{Attempt, LoanPlan, Refusal},
    core::Core,
    dialect::Dialect,
    store::Platform,
    traffic,
};
use fulmargw_decision::rate::Grant;
use fulmargw_model::{fleet::Instance, host::Incarnation, name::Name};
use fulmargw_peer::message::{LoanRequest, LoanResponse};
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// Longest time for which an operation waits for tokens. A caller that is refused then can still
/// retry within the latency objective.
const MAX_WAIT: Duration = Duration::from_millis(60);
/// Longest wait for tokens as a fraction of the latency objective.
const MAX_WAIT_FRACTION: f64 = 0.2;
/// Longest time to wait for the response to a loan request. A host that has used up its CPU quota
/// pauses for up to 100 ms.
const LOAN_TIMEOUT: Duration = Duration::from_millis(150);
/// Interval at which a waiting operation checks this host's bucket.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Returns the longest time for which an operation with a latency objective waits for tokens.
#[must_use]
pub fn wait_limit(objective: Duration) -> Duration {
    MAX_WAIT.min(objective.mul_f64(MAX_WAIT_FRACTION))
}

/// Takes a token of an account for an operation with the given latency objective.
///
/// # Errors
///
/// Returns a refusal if no token became available in time.
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
        request_loan(core, account, has_share, now);
        return Ok(());
    }
    let Some(tokens_changed) = core.admission.lock().add_waiter(account) else {
        return taken;
    };
    let limit = now + wait_limit(objective);
    let mut taken = taken;
    while taken.is_err() && Instant::now() < limit {
        request_loan(core, account, has_share, Instant::now());
        let next_check = limit.min(Instant::now() + CHECK_INTERVAL);
        // After a timeout this host's bucket may have refilled without a notification.
        let _ = timeout_at(next_check, tokens_changed.notified()).await;
        taken = core
            .admission
            .lock()
            .take(account, Attempt::Retry, has_share, Instant::now());
    }
    core.admission.lock().remove_waiter(account);
    taken
}

/// Returns the token of an operation that certainly has not run.
pub fn refund<D: Dialect, P: Platform>(core: &Core<D, P>, account: &Name) {
    let now = Instant::now();
    let has_share = core.members.lock().has_share(now);
    core.admission.lock().refund(account, has_share, now);
    metrics::counter!("fulmargw_pool_refunds_total").increment(1);
}

/// Requests a loan in the background if tokens are needed and another host may have some.
fn request_loan<D: Dialect, P: Platform>(
    core: &Arc<Core<D, P>>,
    account: &Name,
    has_share: bool,
    now: Instant,
) {
    let plan = core.admission.lock().plan_loan(account, has_share, now);
    if let Some(plan) = plan {
        let core = Arc::clone(core);
        let account = account.clone();
        let tasks = core.tasks.clone();
        tasks.spawn("loan", async move {
            send_loan_request(&core, &account, plan).await;
        });
    }
}

/// Records that a loan request failed.
fn record_failure(account: &Name, lender: &Name, cause: &str) -> Option<(Option<Grant>, f64)> {
    metrics::counter!("fulmargw_pool_loan_failures_total").increment(1);
    log::info!(event = "loan_failed", account = account.as_str(), lender = lender.as_str(), cause; "loan request failed");
    None
}

async fn send_loan_request<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    account: &Name,
    plan: LoanPlan,
) {
    let LoanPlan {
        lender,
        tokens,
        settled,
    } = plan;
    let sent = Instant::now();
    let (address, is_other_zone) = {
        let members = core.members.lock();
        let peer = members.peers.get(&lender);
        let address = peer.map(|peer| peer.endpoint.reports);
        (address, members.is_in_other_zone(&lender))
    };
    let request = LoanRequest {
        borrower: Instance {
            host: core.settings.host.name.clone(),
            incarnation: Incarnation(core.incarnation),
        },
        account: account.clone(),
        tokens,
        settled,
    };
    let response = match address {
        None => None,
        Some(address) => {
            match timeout(LOAN_TIMEOUT, core.report_client.borrow(address, &request)).await {
                Ok(Ok((
                    LoanResponse {
                        grant, remaining, ..
                    },
                    bytes,
                ))) => {
                    if is_other_zone {
                        traffic::record("loans", bytes);
                    }
                    Some((grant, remaining))
                }
                Ok(Err(error)) => record_failure(account, &lender, &error.to_string()),
                Err(_) => record_failure(account, &lender, "timeout"),
            }
        }
    };
    if response.is_none() {
        // Waits before the next loan request, so that failures do not cause a busy loop.
        sleep(CHECK_INTERVAL).await;
    }
    let granted = matches!(response, Some((Some(_), _)));
    metrics::counter!("fulmargw_pool_loans_total", "granted" => if granted { "yes" } else { "no" })
        .increment(1);
    core.admission
        .lock()
        .record_loan(account, &lender, response, sent, Instant::now());
}
