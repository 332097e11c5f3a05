//! Token buckets with grants between several holders.

use fulmargw_decision::rate::{Bucket, GRANT_LIFETIME, Grant, Settlement, Share};
use fulmargw_model::{client_account::Account, name::Name};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::time::Duration;
use tokio::time::Instant;

/// Rounding errors of the check itself.
const ROUNDING: f64 = 1e-6;

/// A validity that never limits a grant.
const LONG: Duration = Duration::from_hours(1);

/// One event in a fleet of holders.
#[derive(Debug, Clone)]
enum Event {
    /// Time passes, in milliseconds; a long time stands for a pause of all processes.
    Pass(u64),
    /// A host tries to admit some requests.
    Take { host: usize, count: u8 },
    /// A host sends a demand; it or its answer can be lost or late by milliseconds.
    Borrow {
        host: usize,
        lender: usize,
        tokens: f64,
        way: Way,
    },
    /// A host borrows from all others and takes whatever it can.
    Drain(usize),
    /// A host gives its grants back.
    Release(usize),
}

/// What the network does to a message and its answer.
#[derive(Debug, Clone, Copy)]
enum Way {
    Open,
    RequestLost,
    AnswerLost,
    AnswerLate(u64),
    RequestTwice,
}

fn below(g: &mut Gen, bound: u64) -> u64 {
    u64::arbitrary(g) % bound
}

impl Arbitrary for Way {
    fn arbitrary(g: &mut Gen) -> Self {
        match below(g, 8) {
            0 => Self::RequestLost,
            1 => Self::AnswerLost,
            2 => Self::AnswerLate(below(g, 700)),
            3 => Self::RequestTwice,
            _ => Self::Open,
        }
    }
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut host = || usize::try_from(below(g, 4)).expect("below 4");
        let (host, lender) = (host(), host());
        match below(g, 10) {
            0..2 => Self::Pass(below(g, 40)),
            2 => Self::Pass(below(g, 1_500)),
            3 => Self::Drain(host),
            4..6 => Self::Take {
                host,
                count: u8::arbitrary(g) % 16,
            },
            6..9 => Self::Borrow {
                host,
                lender,
                tokens: f64::from(u8::arbitrary(g)) / 16.0,
                way: Way::arbitrary(g),
            },
            _ => Self::Release(host),
        }
    }
}

/// An answer on its way.
#[derive(Debug)]
struct Late {
    host: usize,
    lender: usize,
    grant: Grant,
    sent: Instant,
    arrives: Instant,
}

/// Several holders of one account and the admissions on all of them.
#[derive(Debug)]
struct Fleet {
    now: Instant,
    share: Share,
    buckets: Vec<Bucket>,
    late: Vec<Late>,
    /// Settlements already sent, which the network may deliver again.
    old: Vec<(usize, Settlement)>,
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
            late: Vec::new(),
            old: Vec::new(),
            admitted: Vec::new(),
        }
    }

    fn apply(&mut self, event: &Event) {
        match *event {
            Event::Pass(milliseconds) => self.pass(Duration::from_millis(milliseconds)),
            Event::Take { host, count } => {
                for _ in 0..count {
                    self.take(host);
                }
            }
            Event::Borrow {
                host,
                lender,
                tokens,
                way,
            } if host != lender => self.borrow(host, lender, tokens, way),
            Event::Borrow { .. } => {}
            Event::Drain(host) => self.drain(host),
            Event::Release(host) => self.buckets[host].release(),
        }
    }

    fn pass(&mut self, duration: Duration) {
        self.now += duration;
        let now = self.now;
        for late in self.late.extract_if(.., |late| late.arrives <= now) {
            self.buckets[late.host].borrow(&name(late.lender), late.grant, late.sent);
        }
    }

    fn take(&mut self, host: usize) -> bool {
        let taken = self.buckets[host].take(self.share, self.now).is_ok();
        if taken {
            self.admitted.push(self.now);
        }
        taken
    }

    fn drain(&mut self, host: usize) {
        for lender in (0..self.buckets.len()).filter(|lender| *lender != host) {
            self.borrow(host, lender, 100.0, Way::Open);
        }
        while self.take(host) {}
    }

    fn borrow(&mut self, host: usize, lender: usize, tokens: f64, way: Way) {
        let settled = self.buckets[host].settlements(&name(lender));
        if matches!(way, Way::RequestLost) {
            return;
        }
        self.old
            .extend(settled.iter().map(|settled| (lender, *settled)));
        if matches!(way, Way::RequestTwice) {
            for (to, settlement) in &self.old {
                self.buckets[*to].settle(*settlement, self.now);
            }
        }
        for settlement in settled {
            self.buckets[lender].settle(settlement, self.now);
        }
        let until = self.now + LONG;
        let grant = self.buckets[lender].lend(self.share, tokens, 0.0, until, self.now);
        let Some(grant) = grant else { return };
        match way {
            Way::Open => self.buckets[host].borrow(&name(lender), grant, self.now),
            Way::AnswerLate(milliseconds) => self.late.push(Late {
                host,
                lender,
                grant,
                sent: self.now,
                arrives: self.now + Duration::from_millis(milliseconds),
            }),
            Way::RequestLost | Way::AnswerLost | Way::RequestTwice => {}
        }
    }
}

/// Returns the greatest excess over `rate * window + burst` of all windows.
fn excess(times: &[Instant], rate: f64, burst: f64) -> f64 {
    let (mut least, mut worst, mut count) = (f64::INFINITY, 0.0_f64, 0.0);
    for time in times {
        let refilled = (*time - times[0]).as_secs_f64() * rate;
        least = least.min(count - refilled);
        count += 1.0;
        worst = worst.max(count - refilled - least - burst);
    }
    worst - ROUNDING
}

/// Guards against tokens that are doubled by lost, late or repeated messages and pauses.
#[test]
fn admissions_stay_within_rate_and_burst_in_every_window() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn property(rate: u8, burst: u8, events: Vec<Event>) -> bool {
        let (rate, burst) = (f64::from(rate) / 8.0 + 1.0, f64::from(burst) / 8.0 + 0.5);
        let mut fleet = Fleet::new(rate, burst, 4);
        fleet.pass(Duration::from_mins(1));
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

/// Guards against a share that follows a change too early or doubles tokens.
#[test]
fn changes_of_the_share_stay_within_the_greater_one() {
    fn property(changes: Vec<(u8, u16)>) -> bool {
        let mut fleet = Fleet::new(50.0, 10.0, 1);
        for (rate, pause) in changes {
            let smaller = f64::from(rate % 50 + 1);
            fleet.share = Share {
                rate: smaller,
                burst: smaller / 5.0,
            };
            fleet.pass(Duration::from_millis(u64::from(pause % 400)));
            while fleet.take(0) {}
        }
        excess(&fleet.admitted, 50.0, 10.0) <= 0.0
    }
    QuickCheck::new()
        .tests(500)
        .quickcheck(property as fn(Vec<(u8, u16)>) -> bool);
}

/// Guards against a lender that refills for a grant which its borrower can still use.
#[test]
fn a_lender_refills_only_after_the_end_of_a_grant() {
    let mut fleet = Fleet::new(20.0, 10.0, 2);
    fleet.pass(Duration::from_secs(1));
    fleet.borrow(0, 1, 5.0, Way::Open);

    fleet.pass(
        GRANT_LIFETIME
            .checked_sub(Duration::from_millis(1))
            .expect("long enough"),
    );
    while fleet.take(0) {}
    fleet.pass(Duration::from_millis(2));
    while fleet.take(1) {}

    assert_eq!(fleet.admitted.len(), 10);
}

/// Guards against a greater share that counts for the time before it was given.
#[test]
fn a_greater_share_does_not_refill_the_past() {
    let mut fleet = Fleet::new(1.0, 1.0, 1);
    fleet.pass(Duration::from_secs(10));
    fleet.share = Share::of(&account(100.0, 100.0), 1);

    while fleet.take(0) {}

    assert_eq!(fleet.admitted.len(), 1);
}

/// Guards against rates that a single busy host cannot use.
#[test]
fn one_busy_holder_reaches_the_rate() {
    for (rate, burst) in [(100.0, 100.0), (400.0, 20.0), (60.0, 3.0)] {
        let mut fleet = Fleet::new(rate, burst, 4);
        let round = Duration::from_millis(10);
        for _ in 0..1_000 {
            fleet.pass(round);
            while fleet.take(0) {}
            for lender in 1..4 {
                fleet.borrow(0, lender, rate, Way::Open);
            }
        }
        let wanted = rate * 10.0 * 0.95;
        let reached = f64::from(u32::try_from(fleet.admitted.len()).expect("few"));
        assert!(
            reached >= wanted,
            "{reached} of {} at burst {burst}",
            rate * 10.0
        );
    }
}

/// Guards against a burst below one token per holder that never admits anything.
#[test]
fn parts_of_a_token_add_up() {
    let mut fleet = Fleet::new(3.0, 1.0, 3);
    fleet.pass(Duration::from_secs(1));

    for lender in 1..3 {
        fleet.borrow(0, lender, 1.0, Way::Open);
    }

    assert!(fleet.take(0));
    assert!(!fleet.take(0));
}

/// Guards against a grant that outlives the lease of its lender.
#[test]
fn a_grant_ends_with_the_lease_of_its_lender() {
    let mut fleet = Fleet::new(10.0, 10.0, 2);
    fleet.pass(Duration::from_secs(1));
    let until = fleet.now + Duration::from_millis(200);

    let grant = fleet.buckets[1].lend(fleet.share, 2.0, 0.0, until, fleet.now);
    let after = fleet.buckets[1].lend(fleet.share, 2.0, 0.0, fleet.now, fleet.now);

    let life = grant.map(|grant| grant.lifetime);
    assert_eq!(life, Some(Duration::from_millis(200)));
    assert!(life < Some(GRANT_LIFETIME));
    assert_eq!(after, None);
}

/// Guards against tokens that stay with a host that leaves.
#[test]
fn released_grants_return_to_the_lender() {
    let mut fleet = Fleet::new(10.0, 10.0, 2);
    fleet.pass(Duration::from_secs(1));
    fleet.buckets[0].advance(fleet.share, fleet.now);
    fleet.borrow(0, 1, 4.0, Way::Open);

    fleet.buckets[0].release();
    let settled = fleet.buckets[0].settlements(&name(1));
    for settlement in settled {
        fleet.buckets[1].settle(settlement, fleet.now);
    }

    assert!((fleet.buckets[0].available() - 5.0).abs() < ROUNDING);
    assert!((fleet.buckets[1].available() - 5.0).abs() < ROUNDING);
    assert!(fleet.buckets[1].lent().abs() < ROUNDING);
}
