//! Borrows tokens from other hosts.

use crate::{
    account::{Entry, Lender},
    agent::Agent,
    peers::Peers,
    rate::LOOKAHEAD,
    table::Standing,
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

/// Part of the next request below which a lender is not asked.
const WORTHWHILE: f64 = 0.05;

/// One question to one lender.
#[derive(Debug)]
struct Question {
    peer: SocketAddr,
    lender: Name,
    demand: LoanRequest,
}

impl<S: Store, P: Peers> Agent<S, P> {
    /// Starts borrowing for an account unless it runs already.
    pub(crate) fn start_borrowing(&self, account: &Name) {
        let mut accounts = self.shared.accounts.lock();
        let Some(entry) = accounts.entries.get_mut(account) else {
            return;
        };
        if !std::mem::replace(&mut entry.borrowing, true) {
            drop(accounts);
            self.spawn(self.clone().borrow_rounds(account.clone()));
        }
    }

    async fn borrow_rounds(self, account: Name) {
        loop {
            let questions = self.plan(&account);
            if questions.is_empty() {
                return;
            }
            let calls = questions.into_iter().map(|question| self.borrow(question));
            join_all(calls).await;
            sleep(self.shared.settings.borrow_interval()).await;
        }
    }

    /// Decides whom to ask for how much; ends the borrowing when nothing is needed.
    fn plan(&self, account: &Name) -> Vec<Question> {
        let now = Instant::now();
        let own = &self.shared.host.name;
        let fleet = self.shared.fleet.lock();
        let standing = fleet.standing(now).filter(Standing::has_share);
        let others = fleet.others(own);
        let mut accounts = self.shared.accounts.lock();
        let Some(entry) = accounts.entries.get_mut(account) else {
            return Vec::new();
        };
        let questions = standing.map_or_else(Vec::new, |standing| {
            entry.questions(&standing, &others, now)
        });
        entry.borrowing = !questions.is_empty();
        questions
    }

    async fn borrow(&self, question: Question) {
        let sent = Instant::now();
        let account = question.demand.account.clone();
        let borrower = question.demand.borrower.clone();
        let call = self.shared.peers.borrow(question.peer, question.demand);
        let loan = call.await.ok();
        self.receive(&account, &borrower, &question.lender, loan, sent);
    }

    /// Books a loan. Without an answer the lender counts as empty for a while.
    fn receive(
        &self,
        account: &Name,
        borrower: &Instance,
        lender: &Name,
        loan: Option<LoanResponse>,
        sent: Instant,
    ) {
        let now = Instant::now();
        let fleet = self.shared.fleet.lock();
        let mut accounts = self.shared.accounts.lock();
        let Some(entry) = accounts.entries.get_mut(account) else {
            return;
        };
        let known = Lender {
            remaining: loan.as_ref().map_or(0.0, |loan| loan.remaining),
            offered: loan.as_ref().map_or(0.0, |loan| loan.offered),
            at: now,
        };
        entry.lenders.insert(lender.clone(), known);
        let grant = loan.and_then(|loan| loan.grant);
        if let Some(grant) = grant
            && fleet.own.as_ref() == Some(borrower)
        {
            entry.bucket.borrow(lender, grant, sent);
            entry.changed.notify_one();
            counter!("fulmargw_grants_received_total").increment(1);
        }
    }

    /// Gives unused grants back to their lenders.
    pub(crate) async fn return_grants(&self) {
        let others = self.others();
        let Some(borrower) = self.shared.fleet.lock().own.clone() else {
            return;
        };
        let peers = &self.shared.peers;
        let demands = self.settle_all(&borrower, &others);
        let calls = demands
            .into_iter()
            .map(|question| peers.borrow(question.peer, question.demand));
        join_all(calls).await;
    }

    fn settle_all(&self, borrower: &Instance, others: &[Member]) -> Vec<Question> {
        let mut accounts = self.shared.accounts.lock();
        let mut questions = Vec::new();
        for entry in accounts.entries.values_mut() {
            entry.bucket.release();
            let creditors = entry.bucket.lenders_to_settle();
            let owed = others
                .iter()
                .filter(|member| creditors.contains(&member.host.name));
            questions.extend(owed.map(|member| entry.question(borrower, member, 0.0)));
        }
        questions
    }
}

impl Entry {
    fn questions(&mut self, standing: &Standing, others: &[Member], now: Instant) -> Vec<Question> {
        let needed = self.needed(standing, now);
        if needed <= 0.0 {
            return Vec::new();
        }
        let active = others.iter().filter(|member| member.state == State::Active);
        let expected: Vec<(&Member, f64)> = active
            .map(|member| (member, self.expected(&member.host.name, standing, now)))
            .filter(|(_, tokens)| *tokens > needed.min(1.0) * WORTHWHILE)
            .collect();
        let total: f64 = expected.iter().map(|(_, tokens)| tokens).sum();
        let scale = if total > needed { needed / total } else { 1.0 };
        expected
            .into_iter()
            .map(|(member, tokens)| {
                let asked = if scale < 1.0 { tokens * scale } else { needed };
                self.question(&standing.life, member, asked)
            })
            .collect()
    }

    /// Returns the tokens that are missing for the waiting and the next requests.
    fn needed(&mut self, standing: &Standing, now: Instant) -> f64 {
        let offered = self.offered.per_second(now);
        let share = self.share(standing);
        let ahead = if offered > share.rate {
            offered.min(self.account.rate) * LOOKAHEAD.as_secs_f64() * 2.0
        } else {
            0.0
        };
        self.bucket.advance(share, now);
        f64::from(self.waiting) + ahead - self.bucket.available()
    }

    /// Estimates the tokens of a lender from what it last said and its refill since.
    fn expected(&self, lender: &Name, standing: &Standing, now: Instant) -> f64 {
        let share = self.share(standing);
        self.lenders.get(lender).map_or(share.burst, |known| {
            let elapsed = now.saturating_duration_since(known.at).as_secs_f64();
            (known.remaining + share.rate * elapsed).min(share.burst)
        })
    }

    fn question(&mut self, borrower: &Instance, member: &Member, tokens: f64) -> Question {
        let lender = member.host.name.clone();
        Question {
            peer: member.host.address,
            demand: LoanRequest {
                borrower: borrower.clone(),
                account: self.account.name.clone(),
                tokens,
                settled: self.bucket.settlements(&lender),
            },
            lender,
        }
    }
}
