//! Token buckets with expiring grants between hosts.

use fulmargw_model::{client_account::Account, name::Name};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::Instant;

/// The longest lifetime of a grant.
pub const GRANT_LIFETIME: Duration = Duration::from_millis(500);

/// Missing tokens that count as none, because thirds of a token do not add up to exactly
/// one. The bucket then goes below zero by as much, so the error does not accumulate.
const TOLERANCE: f64 = 1e-9;

/// The longest wait that a bucket reports, for rates close to zero.
const LONGEST_WAIT: Duration = Duration::from_mins(1);

/// One holder's part of an account's rate and burst.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// Tokens per second.
    pub rate: f64,
    /// Most tokens that the bucket and its outstanding grants hold together.
    pub burst: f64,
}

impl Share {
    /// Returns the part of each of `holders` in an account.
    #[must_use]
    pub fn of(account: &Account, holders: u32) -> Self {
        let holders = f64::from(holders.max(1));
        Self {
            rate: account.rate / holders,
            burst: account.burst / holders,
        }
    }

    fn min(self, other: Self) -> Self {
        Self {
            rate: self.rate.min(other.rate),
            burst: self.burst.min(other.burst),
        }
    }
}

/// Tokens that a lender hands out.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// Number of the grant, unique at its lender.
    pub id: u64,
    /// Lent tokens.
    pub tokens: f64,
    /// Lifetime of the grant, for the borrower from the sending of its request.
    #[serde(rename = "life")]
    pub lifetime: Duration,
}

/// The end of a grant before it expires.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settlement {
    /// Number of the grant.
    pub id: u64,
    /// Tokens that the borrower did not use and will not use.
    pub unspent: f64,
}

/// Tokens that are missing for one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shortage {
    /// Number of missing tokens.
    pub missing: f64,
    /// Time until the host's own share has refilled as much.
    pub wait: Duration,
}

#[derive(Debug, Clone)]
struct Lent {
    id: u64,
    tokens: f64,
    until: Instant,
}

#[derive(Debug, Clone)]
struct Borrowed {
    lender: Name,
    id: u64,
    tokens: f64,
    until: Instant,
}

/// One holder's tokens of one account.
#[derive(Debug, Clone)]
pub struct Bucket {
    share: Share,
    tokens: f64,
    filled: Instant,
    next_id: u64,
    lent: Vec<Lent>,
    borrowed: Vec<Borrowed>,
    settled: Vec<(Name, Settlement)>,
}

impl Bucket {
    /// Makes an empty bucket. `first_id` must not repeat the ids of an earlier process, so
    /// that a late settlement cannot end a grant of this one.
    #[must_use]
    pub fn new(share: Share, first_id: u64, now: Instant) -> Self {
        Self {
            share,
            tokens: 0.0,
            filled: now,
            next_id: first_id,
            lent: Vec::new(),
            borrowed: Vec::new(),
            settled: Vec::new(),
        }
    }

    /// Brings the bucket to `now` and changes its share.
    ///
    /// The time before the change counts with the smaller of both shares.
    pub fn advance(&mut self, share: Share, now: Instant) {
        self.share = self.share.min(share);
        self.refill(now);
        self.share = share;
        self.tokens = self.tokens.min(self.capacity());
        self.borrowed.retain(|grant| now < grant.until);
    }

    /// Adds own tokens, up to the burst of the share.
    pub fn deposit(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.capacity());
    }

    /// Returns the tokens that can be used now, own and borrowed.
    #[must_use]
    pub fn available(&self) -> f64 {
        self.tokens + self.borrowed.iter().map(|grant| grant.tokens).sum::<f64>()
    }

    /// Returns the tokens that are lent out and not settled.
    #[must_use]
    pub fn lent(&self) -> f64 {
        self.lent.iter().map(|grant| grant.tokens).sum()
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// If less than one token is available.
    pub fn take(&mut self, share: Share, now: Instant) -> Result<(), Shortage> {
        self.advance(share, now);
        let missing = 1.0 - self.available();
        if missing > TOLERANCE {
            return Err(self.shortage(missing));
        }
        self.spend(1.0);
        Ok(())
    }

    /// Lends up to `asked` tokens, but keeps `reserve` for the host's own requests.
    ///
    /// The grant ends with `lease_until` at the latest: afterwards the share may belong to
    /// others.
    pub fn lend(
        &mut self,
        share: Share,
        asked: f64,
        reserve: f64,
        lease_until: Instant,
        now: Instant,
    ) -> Option<Grant> {
        self.advance(share, now);
        let lifetime = GRANT_LIFETIME.min(lease_until.saturating_duration_since(now));
        let tokens = (self.tokens - reserve.max(0.0)).min(asked);
        if lifetime.is_zero() || tokens.is_nan() || tokens <= TOLERANCE {
            return None;
        }
        let id = self.next_id;
        self.next_id = self.next_id.wrapping_add(1);
        self.tokens -= tokens;
        self.lent.push(Lent {
            id,
            tokens,
            until: now + lifetime,
        });
        Some(Grant {
            id,
            tokens,
            lifetime,
        })
    }

    /// Adds a grant that `lender` gave in answer to a request sent at `sent`.
    pub fn borrow(&mut self, lender: &Name, grant: Grant, sent: Instant) {
        self.borrowed.push(Borrowed {
            lender: lender.clone(),
            id: grant.id,
            tokens: grant.tokens,
            until: sent + grant.lifetime.min(GRANT_LIFETIME),
        });
        self.borrowed.sort_by_key(|grant| grant.until);
    }

    /// Ends a grant that this bucket lent; unknown and expired ones are ignored.
    pub fn settle(&mut self, settlement: Settlement, now: Instant) {
        self.refill(now);
        let Some(place) = self.lent.iter().position(|lent| lent.id == settlement.id) else {
            return;
        };
        let lent = self.lent.remove(place);
        let unspent = settlement.unspent.clamp(0.0, lent.tokens);
        self.tokens = (self.tokens + unspent).min(self.capacity());
    }

    /// Takes the settlements that `lender` should hear of.
    pub fn settlements(&mut self, lender: &Name) -> Vec<Settlement> {
        let mine = |(to, _): &mut (Name, Settlement)| to == lender;
        self.settled
            .extract_if(.., mine)
            .map(|(_, settlement)| settlement)
            .collect()
    }

    /// Gives up all borrowed tokens, so that the lenders get them back by settlement.
    pub fn release(&mut self) {
        let returned = self.borrowed.drain(..).map(|grant| {
            let settlement = Settlement {
                id: grant.id,
                unspent: grant.tokens,
            };
            (grant.lender, settlement)
        });
        self.settled.extend(returned);
    }

    /// Returns the lenders to whom settlements are due.
    #[must_use]
    pub fn lenders_to_settle(&self) -> Vec<Name> {
        let mut lenders: Vec<_> = self.settled.iter().map(|(to, _)| to.clone()).collect();
        lenders.sort_unstable();
        lenders.dedup();
        lenders
    }

    fn shortage(&self, missing: f64) -> Shortage {
        let seconds = (missing / self.share.rate).min(LONGEST_WAIT.as_secs_f64());
        Shortage {
            missing,
            wait: Duration::from_secs_f64(seconds),
        }
    }

    fn capacity(&self) -> f64 {
        (self.share.burst - self.lent()).max(0.0)
    }

    /// Refills step by step from expiry to expiry, because the capacity is lower before an
    /// expiry: the borrower may have used the grant until then.
    fn refill(&mut self, now: Instant) {
        while let Some(place) = self.first_expiry(now) {
            let until = self.lent[place].until;
            self.fill_to(until);
            self.lent.remove(place);
        }
        self.fill_to(now);
    }

    fn first_expiry(&self, now: Instant) -> Option<usize> {
        (0..self.lent.len())
            .filter(|place| self.lent[*place].until <= now)
            .min_by_key(|place| self.lent[*place].until)
    }

    fn fill_to(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled);
        self.filled = self.filled.max(now);
        let full = self.tokens + self.share.rate * elapsed.as_secs_f64();
        self.tokens = full.min(self.capacity());
    }

    /// Spends own tokens first while the bucket is more than half full, because a full bucket
    /// loses its refill, and otherwise borrowed ones, because they expire.
    fn spend(&mut self, amount: f64) {
        let surplus = (self.tokens - self.capacity() / 2.0).clamp(0.0, amount);
        let rest = self.spend_borrowed(amount - surplus);
        self.tokens -= surplus + rest;
    }

    /// Spends borrowed tokens, the soonest to expire first, and returns what is left to pay.
    fn spend_borrowed(&mut self, amount: f64) -> f64 {
        let mut rest = amount;
        for grant in &mut self.borrowed {
            let part = grant.tokens.min(rest);
            grant.tokens -= part;
            rest -= part;
        }
        let spent = self.borrowed.extract_if(.., |grant| grant.tokens <= 0.0);
        self.settled.extend(spent.map(|grant| {
            let settlement = Settlement {
                id: grant.id,
                unspent: 0.0,
            };
            (grant.lender, settlement)
        }));
        rest
    }
}
