//! Borrows rate tokens from peers.

use crate::{
    account::{Entry, Lender},
    agent::Agent,
    peers::Peers,
    rate::PREFETCH_TIME,
    table::Entitlement,
};
use fulmargw_model::{
    fleet::{Instance, Member, State},
    name::Name,
};
use fulmargw_peer::message::{LoanRequest, LoanResponse};
use fulmargw_platform::store::Store;
use futures::future::join_all;
use metrics::counter;
use std::net::SocketAddr;
use tokio::time::{Instant, sleep};

/// A lender that is expected to have less than this fraction of the next token gets no loan
/// request.
const MIN_LOAN_FRACTION: f64 = 0.05;

/// A loan request and the lender that receives it.
#[derive(Debug)]
struct LoanCall {
    peer: SocketAddr,
    lender: Name,
    request: LoanRequest,
}

impl<S: Store, P: Peers> Agent<S, P> {
    /// Starts a borrowing task for an account unless one runs.
    pub(crate) fn start_borrowing(&self, account: &Name) {
        let mut accounts = self.shared.accounts.lock();
        let Some(entry) = accounts.entries.get_mut(account) else {
            return;
        };
        if !std::mem::replace(&mut entry.is_borrowing, true) {
            drop(accounts);
            self.spawn(self.clone().borrow_rounds(account.clone()));
        }
    }

    async fn borrow_rounds(self, account: Name) {
        loop {
            let calls = self.plan_calls(&account);
            if calls.is_empty() {
                return;
            }
            let loans = calls.into_iter().map(|call| self.borrow(call));
            join_all(loans).await;
            sleep(self.shared.settings.borrow_interval()).await;
        }
    }

    /// Decides how many tokens to request from which lenders. Without any, borrowing ends.
    fn plan_calls(&self, account: &Name) -> Vec<LoanCall> {
        let now = Instant::now();
        let own = &self.shared.host.name;
        let fleet = self.shared.fleet.lock();
        let entitlement = fleet.entitlement(now).filter(Entitlement::has_share);
        let others = fleet.other_members(own);
        let mut accounts = self.shared.accounts.lock();
        let Some(entry) = accounts.entries.get_mut(account) else {
            return Vec::new();
        };
        let calls = entitlement.map_or_else(Vec::new, |entitlement| {
            entry.loan_calls(&entitlement, &others, now)
        });
        entry.is_borrowing = !calls.is_empty();
        calls
    }

    async fn borrow(&self, call: LoanCall) {
        let sent = Instant::now();
        let account = call.request.account.clone();
        let borrower = call.request.borrower.clone();
        let response = self.shared.peers.borrow(call.peer, call.request);
        let response = response.await.ok();
        self.record_response(&account, &borrower, &call.lender, response, sent);
    }

    /// Records the response of a lender. A lender that did not respond is taken to have no
    /// tokens at this moment.
    fn record_response(
        &self,
        account: &Name,
        borrower: &Instance,
        lender: &Name,
        response: Option<LoanResponse>,
        sent: Instant,
    ) {
        let now = Instant::now();
        let fleet = self.shared.fleet.lock();
        let mut accounts = self.shared.accounts.lock();
        let Some(entry) = accounts.entries.get_mut(account) else {
            return;
        };
        let known = Lender {
            remaining: response.as_ref().map_or(0.0, |loan| loan.remaining),
            offered: response.as_ref().map_or(0.0, |loan| loan.offered),
            responded_at: now,
        };
        entry.lenders.insert(lender.clone(), known);
        let grant = response.and_then(|loan| loan.grant);
        if let Some(grant) = grant
            && fleet.instance.as_ref() == Some(borrower)
        {
            entry.bucket.borrow(lender, grant, sent);
            entry.refilled.notify_one();
            counter!("fulmargw_grants_received_total").increment(1);
        }
    }

    /// Settles all grants, so that their unspent tokens return to the lenders.
    pub(crate) async fn return_grants(&self) {
        let others = self.other_members();
        let Some(borrower) = self.shared.fleet.lock().instance.clone() else {
            return;
        };
        let peers = &self.shared.peers;
        let calls = self.settlement_calls(&borrower, &others);
        let responses = calls
            .into_iter()
            .map(|call| peers.borrow(call.peer, call.request));
        join_all(responses).await;
    }

    fn settlement_calls(&self, borrower: &Instance, others: &[Member]) -> Vec<LoanCall> {
        let mut accounts = self.shared.accounts.lock();
        let mut calls = Vec::new();
        for entry in accounts.entries.values_mut() {
            entry.bucket.release();
            let names = entry.bucket.lenders_to_settle();
            let lenders = others
                .iter()
                .filter(|member| names.contains(&member.host.name));
            calls.extend(lenders.map(|member| entry.loan_call(borrower, member, 0.0)));
        }
        calls
    }
}

impl Entry {
    /// Divides the needed tokens among the active members in proportion to the tokens that
    /// each is expected to have. If these are too few, requests all needed tokens from each.
    fn loan_calls(
        &mut self,
        entitlement: &Entitlement,
        others: &[Member],
        now: Instant,
    ) -> Vec<LoanCall> {
        let needed = self.tokens_needed(entitlement, now);
        if needed <= 0.0 {
            return Vec::new();
        }
        let active = others.iter().filter(|member| member.state == State::Active);
        let expected: Vec<(&Member, f64)> = active
            .map(|member| {
                (
                    member,
                    self.expected_tokens(&member.host.name, entitlement, now),
                )
            })
            .filter(|(_, tokens)| *tokens > needed.min(1.0) * MIN_LOAN_FRACTION)
            .collect();
        let total: f64 = expected.iter().map(|(_, tokens)| tokens).sum();
        let scale = if total > needed { needed / total } else { 1.0 };
        expected
            .into_iter()
            .map(|(member, tokens)| {
                let requested = if scale < 1.0 { tokens * scale } else { needed };
                self.loan_call(&entitlement.instance, member, requested)
            })
            .collect()
    }

    /// Returns the tokens that the bucket lacks for the waiting requests and those expected
    /// within twice [`PREFETCH_TIME`].
    fn tokens_needed(&mut self, entitlement: &Entitlement, now: Instant) -> f64 {
        let offered = self.offered.per_second(now);
        let share = self.share(entitlement);
        let ahead = if offered > share.rate {
            offered.min(self.account.rate) * PREFETCH_TIME.as_secs_f64() * 2.0
        } else {
            0.0
        };
        self.bucket.advance(share, now);
        f64::from(self.waiting) + ahead - self.bucket.available()
    }

    /// Estimates the tokens of a lender from its last response and the refill since then.
    fn expected_tokens(&self, lender: &Name, entitlement: &Entitlement, now: Instant) -> f64 {
        let share = self.share(entitlement);
        self.lenders.get(lender).map_or(share.burst, |known| {
            let elapsed = now
                .saturating_duration_since(known.responded_at)
                .as_secs_f64();
            (known.remaining + share.rate * elapsed).min(share.burst)
        })
    }

    fn loan_call(&mut self, borrower: &Instance, member: &Member, tokens: f64) -> LoanCall {
        let lender = member.host.name.clone();
        LoanCall {
            peer: member.host.address,
            request: LoanRequest {
                borrower: borrower.clone(),
                account: self.account.name.clone(),
                tokens,
                settled: self.bucket.settlements(&lender),
            },
            lender,
        }
    }
}
