//! Token buckets with grants between several hosts.

use fulmargw_decision::rate::{Bucket, GRANT_LIFETIME, Grant, Settlement, Share};
use fulmargw_model::{client_account::Account, name::Name};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::time::Duration;
use tokio::time::Instant;

/// Tolerance for rounding errors of the checks themselves.
const ROUNDING: f64 = 1e-6;

/// Remaining lease validity that never limits the lifetime of a grant.
const LONG_LEASE: Duration = Duration::from_hours(1);

/// One event in a fleet of hosts that lend tokens to each other.
#[derive(Debug, Clone)]
enum Event {
    /// Time passes, in milliseconds. A long time stands for a pause of all processes.
    Advance(u64),
    /// A host tries to admit some requests.
    Take { host: usize, count: u8 },
    /// A host requests a loan.
    Borrow {
        host: usize,
        lender: usize,
        tokens: f64,
        delivery: Delivery,
    },
    /// A host borrows from all others and admits as many requests as it can.
    TakeAll(usize),
    /// A host gives back all tokens that it has borrowed.
    Release(usize),
}

/// How the network delivers a loan request and its response; a delay is in milliseconds.
#[derive(Debug, Clone, Copy)]
enum Delivery {
    Normal,
    RequestLost,
    ResponseLost,
    ResponseDelayed(u64),
    RequestRepeated,
}

fn below(g: &mut Gen, bound: u64) -> u64 {
    u64::arbitrary(g) % bound
}

impl Arbitrary for Delivery {
    fn arbitrary(g: &mut Gen) -> Self {
        match below(g, 8) {
            0 => Self::RequestLost,
            1 => Self::ResponseLost,
            2 => Self::ResponseDelayed(below(g, 700)),
            3 => Self::RequestRepeated,
            _ => Self::Normal,
        }
    }
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut host = || usize::try_from(below(g, 4)).expect("below 4");
        let (host, lender) = (host(), host());
        match below(g, 10) {
            0..2 => Self::Advance(below(g, 40)),
            2 => Self::Advance(below(g, 1_500)),
            3 => Self::TakeAll(host),
            4..6 => Self::Take {
                host,
                count: u8::arbitrary(g) % 16,
            },
            6..9 => Self::Borrow {
                host,
                lender,
                tokens: f64::from(u8::arbitrary(g)) / 16.0,
                delivery: Delivery::arbitrary(g),
            },
            _ => Self::Release(host),
        }
    }
}

/// A loan response that has not arrived yet.
#[derive(Debug)]
struct DelayedResponse {
    host: usize,
    lender: usize,
    grant: Grant,
    sent: Instant,
    arrives: Instant,
}

/// The hosts that share the limits of one account, and the admissions on all of them.
#[derive(Debug)]
struct Fleet {
    now: Instant,
    share: Share,
    buckets: Vec<Bucket>,
    delayed: Vec<DelayedResponse>,
    /// Settlements that were sent before and may be delivered again.
    sent_settlements: Vec<(usize, Settlement)>,
    admitted: Vec<Instant>,
}

fn name(host: usize) -> Name {
    Name::new(&format!("h{host}"))
}

fn account(rate: f64, burst: f64) -> Account {
    Account {
        name: Name::new("shop"),
        rate,
        burst,
        keys: Vec::new(),
    }
}

impl Fleet {
    fn new(rate: f64, burst: f64, hosts: u32) -> Self {
        let now = Instant::now();
        let share = Share::of(&account(rate, burst), hosts);
        Self {
            now,
            share,
            buckets: (0..hosts)
                .map(|host| Bucket::new(share, u64::from(host) << 32, now))
                .collect(),
            delayed: Vec::new(),
            sent_settlements: Vec::new(),
            admitted: Vec::new(),
        }
    }

    fn apply(&mut self, event: &Event) {
        match *event {
            Event::Advance(milliseconds) => self.advance(Duration::from_millis(milliseconds)),
            Event::Take { host, count } => {
                for _ in 0..count {
                    self.take(host);
                }
            }
            Event::Borrow {
                host,
                lender,
                tokens,
                delivery,
            } if host != lender => self.borrow(host, lender, tokens, delivery),
            Event::Borrow { .. } => {}
            Event::TakeAll(host) => self.take_all(host),
            Event::Release(host) => self.buckets[host].release(),
        }
    }

    fn advance(&mut self, duration: Duration) {
        self.now += duration;
        let now = self.now;
        for delayed in self
            .delayed
            .extract_if(.., |delayed| delayed.arrives <= now)
        {
            self.buckets[delayed.host].borrow(&name(delayed.lender), delayed.grant, delayed.sent);
        }
    }

    fn take(&mut self, host: usize) -> bool {
        let taken = self.buckets[host].take(self.share, self.now).is_ok();
        if taken {
            self.admitted.push(self.now);
        }
        taken
    }

    fn take_all(&mut self, host: usize) {
        for lender in (0..self.buckets.len()).filter(|lender| *lender != host) {
            self.borrow(host, lender, 100.0, Delivery::Normal);
        }
        while self.take(host) {}
    }

    fn borrow(&mut self, host: usize, lender: usize, tokens: f64, delivery: Delivery) {
        let settlements = self.buckets[host].settlements(&name(lender));
        if matches!(delivery, Delivery::RequestLost) {
            return;
        }
        self.sent_settlements
            .extend(settlements.iter().map(|settlement| (lender, *settlement)));
        if matches!(delivery, Delivery::RequestRepeated) {
            for (to, settlement) in &self.sent_settlements {
                self.buckets[*to].settle(*settlement, self.now);
            }
        }
        for settlement in settlements {
            self.buckets[lender].settle(settlement, self.now);
        }
        let until = self.now + LONG_LEASE;
        let grant = self.buckets[lender].lend(self.share, tokens, 0.0, until, self.now);
        let Some(grant) = grant else { return };
        match delivery {
            Delivery::Normal => self.buckets[host].borrow(&name(lender), grant, self.now),
            Delivery::ResponseDelayed(milliseconds) => self.delayed.push(DelayedResponse {
                host,
                lender,
                grant,
                sent: self.now,
                arrives: self.now + Duration::from_millis(milliseconds),
            }),
            Delivery::RequestLost | Delivery::ResponseLost | Delivery::RequestRepeated => {}
        }
    }
}

/// Returns the maximum excess of admissions over `rate * window + burst` in any time window.
fn excess(times: &[Instant], rate: f64, burst: f64) -> f64 {
    let (mut min_level, mut max_excess, mut count) = (f64::INFINITY, 0.0_f64, 0.0);
    for time in times {
        let refilled = (*time - times[0]).as_secs_f64() * rate;
        min_level = min_level.min(count - refilled);
        count += 1.0;
        max_excess = max_excess.max(count - refilled - min_level - burst);
    }
    max_excess - ROUNDING
}

/// Guards against tokens that are duplicated by lost, delayed or repeated messages or by pauses of
/// the processes.
#[test]
fn admissions_stay_within_rate_and_burst_in_every_window() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn property(rate: u8, burst: u8, events: Vec<Event>) -> bool {
        let (rate, burst) = (f64::from(rate) / 8.0 + 1.0, f64::from(burst) / 8.0 + 0.5);
        let mut fleet = Fleet::new(rate, burst, 4);
        fleet.advance(Duration::from_mins(1));
        for event in &events {
            fleet.apply(event);
        }
        excess(&fleet.admitted, rate, burst) <= 0.0
    }
    QuickCheck::new()
        .tests(2_000)
        .rng(Gen::new(300))
        .quickcheck(property as fn(u8, u8, Vec<Event>) -> bool);
}

/// Guards against a share that takes effect too early, or whose change duplicates tokens.
#[test]
fn admissions_across_share_changes_stay_within_the_maximum_share() {
    fn property(changes: Vec<(u8, u16)>) -> bool {
        let mut fleet = Fleet::new(50.0, 10.0, 1);
        for (rate, pause) in changes {
            let rate_share = f64::from(rate % 50 + 1);
            fleet.share = Share {
                rate: rate_share,
                burst: rate_share / 5.0,
            };
            fleet.advance(Duration::from_millis(u64::from(pause % 400)));
            while fleet.take(0) {}
        }
        excess(&fleet.admitted, 50.0, 10.0) <= 0.0
    }
    QuickCheck::new()
        .tests(500)
        .quickcheck(property as fn(Vec<(u8, u16)>) -> bool);
}

/// Guards against a lender that refills the tokens of a grant while its borrower can still use
/// them.
#[test]
fn lender_refills_only_after_a_grant_has_expired() {
    let mut fleet = Fleet::new(20.0, 10.0, 2);
    fleet.advance(Duration::from_secs(1));
    fleet.borrow(0, 1, 5.0, Delivery::Normal);

    fleet.advance(
        GRANT_LIFETIME
            .checked_sub(Duration::from_millis(1))
            .expect("long enough"),
    );
    while fleet.take(0) {}
    fleet.advance(Duration::from_millis(2));
    while fleet.take(1) {}

    assert_eq!(fleet.admitted.len(), 10);
}

/// Guards against a greater share that also refills the time before it took effect.
#[test]
fn greater_share_does_not_refill_past_time() {
    let mut fleet = Fleet::new(1.0, 1.0, 1);
    fleet.advance(Duration::from_secs(10));
    fleet.share = Share::of(&account(100.0, 100.0), 1);

    while fleet.take(0) {}

    assert_eq!(fleet.admitted.len(), 1);
}

/// Guards against a rate limit that an account cannot reach when all its requests arrive at one
/// host.
#[test]
fn single_busy_host_reaches_the_full_rate() {
    for (rate, burst) in [(100.0, 100.0), (400.0, 20.0), (60.0, 3.0)] {
        let mut fleet = Fleet::new(rate, burst, 4);
        let interval = Duration::from_millis(10);
        for _ in 0..1_000 {
            fleet.advance(interval);
            while fleet.take(0) {}
            for lender in 1..4 {
                fleet.borrow(0, lender, rate, Delivery::Normal);
            }
        }
        let expected = rate * 10.0 * 0.95;
        let reached = f64::from(u32::try_from(fleet.admitted.len()).expect("few"));
        assert!(
            reached >= expected,
            "{reached} of {} at burst {burst}",
            rate * 10.0
        );
    }
}

/// Guards against a burst limit below one token per host under which no request is ever admitted.
#[test]
fn fractions_of_a_token_add_up() {
    let mut fleet = Fleet::new(3.0, 1.0, 3);
    fleet.advance(Duration::from_secs(1));

    for lender in 1..3 {
        fleet.borrow(0, lender, 1.0, Delivery::Normal);
    }

    assert!(fleet.take(0));
    assert!(!fleet.take(0));
}

/// Guards against a grant that outlives the lease of its lender.
#[test]
fn grant_expires_with_the_lease_of_its_lender() {
    let mut fleet = Fleet::new(10.0, 10.0, 2);
    fleet.advance(Duration::from_secs(1));
    let until = fleet.now + Duration::from_millis(200);

    let grant = fleet.buckets[1].lend(fleet.share, 2.0, 0.0, until, fleet.now);
    let after = fleet.buckets[1].lend(fleet.share, 2.0, 0.0, fleet.now, fleet.now);

    let lifetime = grant.map(|grant| grant.lifetime);
    assert_eq!(lifetime, Some(Duration::from_millis(200)));
    assert!(lifetime < Some(GRANT_LIFETIME));
    assert_eq!(after, None);
}

/// Guards against tokens that a draining host does not give back.
#[test]
fn released_grants_return_to_the_lender() {
    let mut fleet = Fleet::new(10.0, 10.0, 2);
    fleet.advance(Duration::from_secs(1));
    fleet.buckets[0].advance(fleet.share, fleet.now);
    fleet.borrow(0, 1, 4.0, Delivery::Normal);

    fleet.buckets[0].release();
    let settlements = fleet.buckets[0].settlements(&name(1));
    for settlement in settlements {
        fleet.buckets[1].settle(settlement, fleet.now);
    }

    assert!((fleet.buckets[0].available() - 5.0).abs() < ROUNDING);
    assert!((fleet.buckets[1].available() - 5.0).abs() < ROUNDING);
    assert!(fleet.buckets[1].lent().abs() < ROUNDING);
}
