//! Leases, removals and shares, with a model check of removals.

use fulmargw_decision::{
    lease::{Confirmation, Evidence, VALIDITY, quorum, removal_quorum},
    membership::{self, Share},
};
use fulmargw_model::{
    availability_zone::Zone,
    fleet::{Fleet, Generation, Instance, Member, State},
    host::{Host, Incarnation},
    name::Name,
};
use quickcheck::quickcheck;
use std::{
    collections::{BTreeSet, HashSet},
    net::SocketAddr,
    time::Duration,
};
use tokio::time::Instant;

fn host(number: u8) -> Host {
    let port = |base: u16| SocketAddr::from(([127, 0, 0, 1], base + u16::from(number)));
    Host {
        name: Name::new(&format!("h{number}")),
        zone: Zone(Name::new("z1")),
        address: port(1_000),
        document_address: port(2_000),
    }
}

fn member(number: u8) -> Member {
    Member {
        host: host(number),
        incarnation: Incarnation(0),
        state: State::Active,
    }
}

fn life(number: u8) -> Instance {
    member(number).instance()
}

fn fleet(generation: u64, members: impl IntoIterator<Item = u8>) -> Fleet {
    Fleet {
        generation: Generation(generation),
        members: members.into_iter().map(member).collect(),
    }
}

fn confirmation(witness: u8, generation: u64, sent: Instant) -> Confirmation {
    Confirmation {
        witness: life(witness),
        generation: Generation(generation),
        sent,
        revoked: Vec::new(),
    }
}

quickcheck! {
    /// Guards against quorum sizes that let a removed host be confirmed.
    fn quorum_and_consents_intersect(others: u8) -> bool {
        let others = usize::from(others);
        quorum(others) + removal_quorum(others) > others
    }
}

/// Guards against a lease that counts from the answer or from too few witnesses.
#[test]
fn the_oldest_confirmation_of_the_quorum_counts() {
    let (start, record) = (Instant::now(), fleet(3, 0..4));
    let later = start + Duration::from_millis(400);
    let mut evidence = Evidence::default();
    let valid =
        |evidence: &Evidence| evidence.valid_until(&record, &life(0), &BTreeSet::new(), later);

    evidence.record_confirmation(confirmation(1, 3, start));
    assert_eq!(valid(&evidence), None);
    evidence.record_confirmation(confirmation(2, 2, later));
    assert_eq!(valid(&evidence), None, "another generation does not count");
    evidence.record_confirmation(confirmation(2, 3, later));
    assert_eq!(valid(&evidence), Some(start + VALIDITY));
    evidence.record_confirmation(confirmation(3, 3, later));
    assert_eq!(valid(&evidence), Some(later + VALIDITY));
}

/// Guards against a host that is no longer in the record but still sees itself as valid.
#[test]
fn only_listed_lives_are_valid() {
    let now = Instant::now();
    let mut evidence = Evidence::default();
    evidence.record_store_read(now);

    let listed = evidence.is_valid(&fleet(1, 0..2), &life(0), &BTreeSet::new(), now);
    let removed = evidence.is_valid(&fleet(2, 1..2), &life(0), &BTreeSet::new(), now);

    assert!(listed);
    assert!(!removed);
}

/// Guards against a witness that is itself being removed.
#[test]
fn a_refused_witness_does_not_count() {
    let (now, record) = (Instant::now(), fleet(1, 0..3));
    let mut evidence = Evidence::default();
    evidence.record_confirmation(confirmation(1, 1, now));

    let refused = BTreeSet::from([life(1)]);

    assert!(evidence.is_valid(&record, &life(0), &BTreeSet::new(), now));
    assert!(!evidence.is_valid(&record, &life(0), &refused, now));
}

/// Guards against a change of the record that takes away every lease for a moment.
#[test]
fn a_change_of_the_record_keeps_the_validity() {
    let (now, none) = (Instant::now(), BTreeSet::new());
    let mut evidence = Evidence::default();
    evidence.record_confirmation(confirmation(1, 1, now));

    evidence.carry_over(&fleet(1, 0..3), &life(0), &none, now);

    let until = evidence.valid_until(&fleet(2, 0..4), &life(0), &none, now);
    assert_eq!(until, Some(now + VALIDITY));
}

/// Guards against shares that grow before the removed host's lease has ended.
#[test]
fn a_share_shrinks_at_once_and_grows_late() {
    let now = Instant::now();
    let mut share = Share::default();
    let (three, four) = (fleet(1, 0..3), fleet(2, 0..4));

    share.apply_record(&three, &four, now);
    assert_eq!(share.divisor(&four, now), 4);
    share.apply_record(&four, &three, now);
    let just_before = now
        + VALIDITY
            .checked_sub(Duration::from_millis(1))
            .expect("long enough");
    assert_eq!(share.divisor(&three, just_before), 4);
    assert_eq!(share.divisor(&three, now + VALIDITY), 3);
}

/// Guards against a restart that waits for the removal of its own old life.
#[test]
fn a_restart_replaces_the_life_at_its_address() {
    let before = fleet(5, 0..4);

    let (after, own) = membership::join(&before, &host(2)).expect("the name is free");

    assert_eq!(after.members.len(), 4);
    assert_eq!(after.generation, Generation(6));
    assert!(membership::find_member(&after, &life(2)).is_none());
    assert!(
        membership::find_member(&after, &own).is_some_and(|entry| entry.state == State::Joining)
    );
}

/// Guards against a second host that takes the name of a living one.
#[test]
fn a_name_at_another_address_is_refused() {
    let elsewhere = Host {
        address: SocketAddr::from(([127, 0, 0, 1], 9_999)),
        ..host(2)
    };

    let joined = membership::join(&fleet(5, 0..4), &elsewhere);

    assert_eq!(
        joined.err(),
        Some(membership::Error::NameTaken(host(2).name))
    );
}

/// Steps of the model in the validity of a lease.
const STEPS: u8 = 2;

const MEMBERS: u8 = 4;

/// Host whose removal is checked.
const SUBJECT: usize = 0;

/// Host that joins in some of the runs.
const JOINER: u8 = 3;

/// First numbers of members and the most changes of the record in a run from there.
///
/// Longer runs take minutes in a debug build.
const RUNS: [(u8, u8); 4] = [(1, 4), (2, 4), (3, 2), (4, 3)];

/// A change of the record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Change {
    Remove(u8),
    Join,
    Activate,
}

/// What a witness told the subject: steps since then, and whom the witness refused.
type Told = Option<(u8, u8)>;

/// A state of the model. Messages that are lost and partitions need no states of their own,
/// because every action is optional. Late messages only shorten what they allow.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Model {
    /// Active members of the first record.
    first: u8,
    /// Most changes in this run.
    most: u8,
    /// Changes in order; the generation of the store is their number.
    changes: Vec<Change>,
    /// Steps since the removal of the subject, at most `STEPS`.
    since: u8,
    /// Generation that each member has seen.
    known: [u8; 4],
    /// Bit set of members to whose removal each member has consented.
    refused: [u8; 4],
    /// Steps since each member last confirmed the subject, at most `STEPS`.
    granted: [u8; 4],
    told: [Told; 4],
    /// Steps since the subject read the store, at most `STEPS`.
    read: u8,
    /// Steps since the evidence that was carried from an earlier generation.
    carried: u8,
}

impl Model {
    fn new((first, most): (u8, u8)) -> Self {
        Self {
            first,
            most,
            changes: Vec::new(),
            since: 0,
            known: [0; 4],
            refused: [0; 4],
            granted: [STEPS; 4],
            told: [None; 4],
            read: STEPS,
            carried: STEPS,
        }
    }

    fn record(&self, generation: u8) -> Fleet {
        let mut record = fleet(u64::from(generation), 0..self.first);
        for change in &self.changes[..usize::from(generation)] {
            match change {
                Change::Remove(gone) => record
                    .members
                    .retain(|member| member.host.name != host(*gone).name),
                Change::Join => record.members.push(Member {
                    state: State::Joining,
                    ..member(JOINER)
                }),
                Change::Activate => {
                    let joiner = record.members.last_mut().expect("it has joined");
                    joiner.state = State::Active;
                }
            }
        }
        record
    }

    fn generation(&self) -> u8 {
        u8::try_from(self.changes.len()).expect("few changes")
    }

    fn is_listed(&self, member: usize, generation: u8) -> bool {
        let mut changes = self.changes[..usize::from(generation)].iter();
        let removed = changes
            .any(|change| matches!(change, Change::Remove(gone) if usize::from(*gone) == member));
        let late =
            member == usize::from(JOINER) && self.joined().is_some_and(|at| at <= generation);
        let joined = late || member < usize::from(self.first);
        joined && !removed
    }

    fn is_active(&self, member: usize, generation: u8) -> bool {
        let changes = &self.changes[..usize::from(generation)];
        let active = member < usize::from(self.first) || changes.contains(&Change::Activate);
        active && self.is_listed(member, generation)
    }

    /// Returns the members that are or were listed.
    fn existing(&self) -> impl Iterator<Item = usize> {
        let joined = self.joined().is_some();
        let first = self.first;
        (0..MEMBERS)
            .filter(move |member| *member < first || (joined && *member == JOINER))
            .map(usize::from)
    }

    /// Returns the generation in which the joiner is first listed.
    fn joined(&self) -> Option<u8> {
        let place = self
            .changes
            .iter()
            .position(|change| *change == Change::Join);
        place.map(|place| u8::try_from(place + 1).expect("few changes"))
    }

    fn evidence(&self, now: Instant) -> Evidence {
        let step = VALIDITY / u32::from(STEPS);
        let sent = |age: u8| {
            now.checked_sub(step * u32::from(age))
                .expect("after the epoch")
        };
        let mut evidence = Evidence::default();
        for (witness, told) in (0..MEMBERS).zip(self.told) {
            if let Some((age, refused)) = told {
                evidence.record_confirmation(Confirmation {
                    revoked: lives(refused).collect(),
                    ..confirmation(witness, u64::from(self.known[SUBJECT]), sent(age))
                });
            }
        }
        evidence
    }

    /// Returns the age of what confirmations alone prove, at most `STEPS`.
    fn confirmed(&self) -> u8 {
        let now = Instant::now() + VALIDITY;
        let record = self.record(self.known[SUBJECT]);
        let refused = lives(self.refused[SUBJECT]).collect();
        let until = self
            .evidence(now)
            .valid_until(&record, &life(0), &refused, now);
        let step = VALIDITY / u32::from(STEPS);
        (0..STEPS)
            .find(|age| until == Some(now + step * u32::from(STEPS - age)))
            .unwrap_or(STEPS)
    }

    fn is_valid(&self) -> bool {
        self.is_listed(SUBJECT, self.known[SUBJECT])
            && self.read.min(self.carried).min(self.confirmed()) < STEPS
    }

    /// Renames the witnesses into an order of their own, because states that differ only in
    /// the names of the witnesses need to be checked once. The joiner keeps its name.
    fn ordered(self) -> Self {
        let mut order = [0, 1, 2, 3];
        order[1..usize::from(self.first)].sort_by_key(|member| {
            let gone = Change::Remove(*member);
            let removed = self.changes.iter().position(|change| *change == gone);
            let member = usize::from(*member);
            let told = self.told[member].map(|(age, _)| age);
            let refuses = self.refused[member] & 1 << SUBJECT;
            (
                removed,
                self.known[member],
                self.granted[member],
                told,
                refuses,
            )
        });
        let place = |member: u8| order.iter().position(|old| *old == member);
        let renamed = |member: u8| u8::try_from(place(member).expect("listed")).expect("few");
        let set = |set: u8| {
            let members = (0..MEMBERS).filter(|member| set & 1 << member != 0);
            members.fold(0_u8, |set, member| set | 1 << renamed(member))
        };
        let changes = self.changes.iter().map(|change| match change {
            Change::Remove(member) => Change::Remove(renamed(*member)),
            other => *other,
        });
        let old = order.map(usize::from);
        Self {
            changes: changes.collect(),
            known: old.map(|member| self.known[member]),
            refused: old.map(|member| set(self.refused[member])),
            granted: old.map(|member| self.granted[member]),
            told: old.map(|member| self.told[member].map(|(age, refused)| (age, set(refused)))),
            ..self
        }
    }

    fn next(&self) -> Vec<Self> {
        let mut next = vec![self.pass()];
        for member in self.existing() {
            next.extend(self.confirm(member));
            next.extend(
                (self.known[member] + 1..=self.generation()).map(|to| self.adopt(member, to)),
            );
        }
        next.push(self.read_store());
        if self.generation() < self.most && self.is_listed(SUBJECT, self.generation()) {
            next.extend((0..MEMBERS).flat_map(|member| self.removals(member)));
            next.extend(self.join());
            next.extend(self.activate());
        }
        next
    }

    fn join(&self) -> Option<Self> {
        let can = self.first <= JOINER && self.joined().is_none();
        can.then(|| self.change(Change::Join))
    }

    /// The joiner becomes active when every active member has seen its join.
    fn activate(&self) -> Option<Self> {
        let joined = self.joined()?;
        let generation = self.generation();
        let seen = (0..usize::from(MEMBERS))
            .filter(|member| self.is_active(*member, generation))
            .all(|member| self.known[member] >= joined);
        let again = self.changes.contains(&Change::Activate);
        let listed = self.is_listed(usize::from(JOINER), generation);
        (seen && listed && !again).then(|| self.change(Change::Activate))
    }

    fn change(&self, change: Change) -> Self {
        let mut next = self.clone();
        next.changes.push(change);
        next
    }

    fn pass(&self) -> Self {
        let mut next = self.clone();
        let older = |age: u8| (age + 1).min(STEPS);
        next.granted = self.granted.map(older);
        next.told = self.told.map(|told| {
            told.map(|(age, refused)| (older(age), refused))
                .filter(|(age, _)| *age < STEPS)
        });
        next.read = older(self.read);
        next.carried = older(self.carried);
        if !self.is_listed(SUBJECT, self.generation()) {
            next.since = older(self.since);
        }
        next
    }

    fn confirm(&self, witness: usize) -> Option<Self> {
        let generation = self.known[witness];
        let granted = witness != SUBJECT
            && generation == self.known[SUBJECT]
            && self.is_listed(SUBJECT, generation)
            && self.refused[witness] & 1 << SUBJECT == 0;
        granted.then(|| {
            let mut next = self.clone();
            next.granted[witness] = 0;
            next.told[witness] = Some((0, self.refused[witness]));
            next
        })
    }

    /// A member gets a newer record from a peer.
    fn adopt(&self, member: usize, generation: u8) -> Self {
        let mut next = self.clone();
        if member == SUBJECT {
            next.carried = self.carried.min(self.confirmed());
            next.told = [None; 4];
        }
        next.known[member] = generation;
        next
    }

    fn read_store(&self) -> Self {
        let mut next = self.clone();
        if self.known[SUBJECT] < self.generation() {
            next = self.adopt(SUBJECT, self.generation());
        }
        if self.is_listed(SUBJECT, self.generation()) {
            next.read = 0;
        }
        next
    }

    /// Every removal of a member with a sufficient set of consents.
    fn removals(&self, member: u8) -> Vec<Self> {
        let generation = self.generation();
        let target = usize::from(member);
        if !self.is_listed(target, generation) {
            return Vec::new();
        }
        let others: Vec<usize> = (0..usize::from(MEMBERS))
            .filter(|other| *other != target && self.is_active(*other, generation))
            .collect();
        let able = |other: &usize| {
            let silent = target != SUBJECT || self.granted[*other] >= STEPS;
            self.known[*other] == generation && silent
        };
        let needed = removal_quorum(others.len());
        let sets = (1_u8..1 << MEMBERS).filter(|set| {
            let chosen = |other: &usize| set & 1 << other != 0;
            let count = others
                .iter()
                .filter(|other| chosen(other) && able(other))
                .count();
            count == needed && usize::try_from(set.count_ones()) == Ok(needed)
        });
        sets.map(|set| self.remove(member, set)).collect()
    }

    fn remove(&self, member: u8, set: u8) -> Self {
        let mut next = self.change(Change::Remove(member));
        for (other, refused) in next.refused.iter_mut().enumerate() {
            if set & 1 << other != 0 {
                *refused |= 1 << member;
            }
        }
        next
    }
}

fn lives(set: u8) -> impl Iterator<Item = Instance> {
    (0..MEMBERS)
        .filter(move |number| set & 1 << number != 0)
        .map(life)
}

/// Guards against a removed member that is still valid when others use its share.
#[test]
fn no_order_of_events_leaves_a_removed_member_valid() {
    let mut open: Vec<Model> = RUNS.into_iter().map(Model::new).collect();
    let mut seen: HashSet<Model> = open.iter().cloned().collect();
    let mut removals = 0_u32;

    while let Some(model) = open.pop() {
        // After several changes in a row, evidence from before the first one can last longer.
        if model.changes == [Change::Remove(0)] {
            let confirmed = model.confirmed().min(model.carried);
            assert_eq!(confirmed, STEPS, "confirmed after its removal: {model:?}");
        }
        if model.since >= STEPS {
            removals += 1;
            assert!(!model.is_valid(), "valid after its removal: {model:?}");
            continue;
        }
        for next in model.next().into_iter().map(Model::ordered) {
            if seen.insert(next.clone()) {
                open.push(next);
            }
        }
    }

    assert!(
        removals > 1_000,
        "only {removals} removals in {} states",
        seen.len()
    );
    println!("{} states, {removals} removals", seen.len());
}
