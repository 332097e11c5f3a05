//! Token buckets whose tokens hosts lend to each other in expiring grants.

use fulmargw_model::{client_account::Account, name::Name};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::Instant;

/// Maximum lifetime of a grant.
pub const GRANT_LIFETIME: Duration = Duration::from_millis(500);

/// Shortage of tokens that is ignored, because thirds of a token do not add up to exactly one.
/// The bucket then falls below zero by that amount, so the error does not accumulate.
const TOLERANCE: f64 = 1e-9;

/// Maximum wait that a bucket reports; relevant for rates close to zero.
const MAX_WAIT: Duration = Duration::from_mins(1);

/// One host's share of an account's rate and burst limits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// Tokens per second.
    pub rate: f64,
    /// Maximum number of tokens in the bucket and its outstanding grants together.
    pub burst: f64,
}

impl Share {
    /// Returns the share of one host if `hosts` hosts divide the limits of an account.
    #[must_use]
    pub fn of(account: &Account, hosts: u32) -> Self {
        let hosts = f64::from(hosts.max(1));
        Self {
            rate: account.rate / hosts,
            burst: account.burst / hosts,
        }
    }

    fn min(self, other: Self) -> Self {
        Self {
            rate: self.rate.min(other.rate),
            burst: self.burst.min(other.burst),
        }
    }
}

/// Tokens that a host lends to another one.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// Number of the grant, unique at its lender.
    pub id: u64,
    /// Number of lent tokens.
    pub tokens: f64,
    /// Lifetime of the grant. The borrower counts it from the sending of its request.
    #[serde(rename = "life")]
    pub lifetime: Duration,
}

/// Ends a grant before it expires.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settlement {
    /// Number of the grant.
    pub id: u64,
    /// Tokens that the borrower has not used and returns.
    pub unspent: f64,
}

/// The tokens that are missing to admit a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shortage {
    /// Number of missing tokens.
    pub missing: f64,
    /// Time until the host's own share has refilled that many tokens.
    pub wait: Duration,
}

#[derive(Debug, Clone)]
struct Lent {
    id: u64,
    tokens: f64,
    expires_at: Instant,
}

#[derive(Debug, Clone)]
struct Borrowed {
    lender: Name,
    id: u64,
    tokens: f64,
    expires_at: Instant,
}

/// The tokens of one client account on one host.
#[derive(Debug, Clone)]
pub struct Bucket {
    share: Share,
    /// Tokens of the host's own share that are not lent.
    tokens: f64,
    refilled_at: Instant,
    next_id: u64,
    lent: Vec<Lent>,
    borrowed: Vec<Borrowed>,
    /// Settlements that have not been sent yet, with their lenders.
    pending_settlements: Vec<(Name, Settlement)>,
}

impl Bucket {
    /// Creates an empty bucket. `first_id` must not repeat a grant id of an earlier process of this
    /// host, so that a late settlement cannot end a grant of this bucket.
    #[must_use]
    pub fn new(share: Share, first_id: u64, now: Instant) -> Self {
        Self {
            share,
            tokens: 0.0,
            refilled_at: now,
            next_id: first_id,
            lent: Vec::new(),
            borrowed: Vec::new(),
            pending_settlements: Vec::new(),
        }
    }

    /// Refills the bucket up to `now` and changes its share.
    ///
    /// The time before the change is refilled at the smaller of both shares.
    pub fn advance(&mut self, share: Share, now: Instant) {
        self.share = self.share.min(share);
        self.refill(now);
        self.share = share;
        self.tokens = self.tokens.min(self.capacity());
        self.borrowed.retain(|grant| now < grant.expires_at);
    }

    /// Adds tokens to the host's own, up to the burst of the share.
    pub fn deposit(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.capacity());
    }

    /// Returns the number of usable tokens, own and borrowed.
    #[must_use]
    pub fn available(&self) -> f64 {
        self.tokens + self.borrowed.iter().map(|grant| grant.tokens).sum::<f64>()
    }

    /// Returns the number of tokens in lent grants that have neither expired nor been settled.
    #[must_use]
    pub fn lent(&self) -> f64 {
        self.lent.iter().map(|grant| grant.tokens).sum()
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// Returns the shortage if less than one token is available.
    pub fn take(&mut self, share: Share, now: Instant) -> Result<(), Shortage> {
        self.advance(share, now);
        let missing = 1.0 - self.available();
        if missing > TOLERANCE {
            return Err(self.shortage(missing));
        }
        self.spend(1.0);
        Ok(())
    }

    /// Lends up to `requested` tokens, but keeps `reserve` tokens for the host's own requests.
    ///
    /// The grant expires at `lease_until` at the latest, because other hosts may use the share
    /// after the lease has expired.
    pub fn lend(
        &mut self,
        share: Share,
        requested: f64,
        reserve: f64,
        lease_until: Instant,
        now: Instant,
    ) -> Option<Grant> {
        self.advance(share, now);
        let lifetime = GRANT_LIFETIME.min(lease_until.saturating_duration_since(now));
        let tokens = (self.tokens - reserve.max(0.0)).min(requested);
        if lifetime.is_zero() || tokens.is_nan() || tokens <= TOLERANCE {
            return None;
        }
        let id = self.next_id;
        self.next_id = self.next_id.wrapping_add(1);
        self.tokens -= tokens;
        self.lent.push(Lent {
            id,
            tokens,
            expires_at: now + lifetime,
        });
        Some(Grant {
            id,
            tokens,
            lifetime,
        })
    }

    /// Adds a grant that `lender` returned for a request sent at `sent`.
    pub fn borrow(&mut self, lender: &Name, grant: Grant, sent: Instant) {
        self.borrowed.push(Borrowed {
            lender: lender.clone(),
            id: grant.id,
            tokens: grant.tokens,
            expires_at: sent + grant.lifetime.min(GRANT_LIFETIME),
        });
        self.borrowed.sort_by_key(|grant| grant.expires_at);
    }

    /// Ends a grant that this bucket has lent. Unknown and expired grants are ignored.
    pub fn settle(&mut self, settlement: Settlement, now: Instant) {
        self.refill(now);
        let Some(index) = self.lent.iter().position(|lent| lent.id == settlement.id) else {
            return;
        };
        let lent = self.lent.remove(index);
        let unspent = settlement.unspent.clamp(0.0, lent.tokens);
        self.tokens = (self.tokens + unspent).min(self.capacity());
    }

    /// Takes the pending settlements for `lender`.
    pub fn settlements(&mut self, lender: &Name) -> Vec<Settlement> {
        let is_for_lender = |(to, _): &mut (Name, Settlement)| to == lender;
        self.pending_settlements
            .extract_if(.., is_for_lender)
            .map(|(_, settlement)| settlement)
            .collect()
    }

    /// Gives all borrowed tokens back, by pending settlements for their lenders.
    pub fn release(&mut self) {
        let returned = self.borrowed.drain(..).map(|grant| {
            let settlement = Settlement {
                id: grant.id,
                unspent: grant.tokens,
            };
            (grant.lender, settlement)
        });
        self.pending_settlements.extend(returned);
    }

    /// Returns the lenders for whom settlements are pending.
    #[must_use]
    pub fn lenders_to_settle(&self) -> Vec<Name> {
        let mut lenders: Vec<_> = self
            .pending_settlements
            .iter()
            .map(|(to, _)| to.clone())
            .collect();
        lenders.sort_unstable();
        lenders.dedup();
        lenders
    }

    fn shortage(&self, missing: f64) -> Shortage {
        let wait = Duration::try_from_secs_f64(missing / self.share.rate);
        Shortage {
            missing,
            wait: wait.unwrap_or(MAX_WAIT).min(MAX_WAIT),
        }
    }

    fn capacity(&self) -> f64 {
        (self.share.burst - self.lent()).max(0.0)
    }

    /// Refills in steps from one grant expiry to the next, because the capacity is lower before an
    /// expiry: the borrower may use the grant until then.
    fn refill(&mut self, now: Instant) {
        while let Some(index) = self.first_expiry(now) {
            let expires_at = self.lent[index].expires_at;
            self.refill_until(expires_at);
            self.lent.remove(index);
        }
        self.refill_until(now);
    }

    fn first_expiry(&self, now: Instant) -> Option<usize> {
        (0..self.lent.len())
            .filter(|index| self.lent[*index].expires_at <= now)
            .min_by_key(|index| self.lent[*index].expires_at)
    }

    fn refill_until(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let refilled = self.tokens + self.share.rate * elapsed.as_secs_f64();
        self.tokens = refilled.min(self.capacity());
    }

    /// Spends own tokens first while the bucket is more than half full, because a full bucket
    /// gains no refill. Otherwise spends borrowed tokens first, because they expire.
    fn spend(&mut self, amount: f64) {
        let surplus = (self.tokens - self.capacity() / 2.0).clamp(0.0, amount);
        let rest = self.spend_borrowed(amount - surplus);
        self.tokens -= surplus + rest;
    }

    /// Spends borrowed tokens, those that expire first before others, and returns the amount that
    /// they do not cover.
    fn spend_borrowed(&mut self, amount: f64) -> f64 {
        let mut rest = amount;
        for grant in &mut self.borrowed {
            let part = grant.tokens.min(rest);
            grant.tokens -= part;
            rest -= part;
        }
        let spent = self.borrowed.extract_if(.., |grant| grant.tokens <= 0.0);
        self.pending_settlements.extend(spent.map(|grant| {
            let settlement = Settlement {
                id: grant.id,
                unspent: 0.0,
            };
            (grant.lender, settlement)
        }));
        rest
    }
}
