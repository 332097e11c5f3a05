//! Leases, removals and shares of the limits, with a model checker for removals.

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

fn instance(number: u8) -> Instance {
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
        witness: instance(witness),
        generation: Generation(generation),
        sent,
        revoked: Vec::new(),
    }
}

quickcheck! {
    /// Guards against quorum sizes under which a removed host can still be confirmed.
    fn quorum_and_removal_quorum_intersect(others: u8) -> bool {
        let others = usize::from(others);
        quorum(others) + removal_quorum(others) > others
    }
}

/// Guards against a lease that is valid for too long because it is counted from the response
/// instead of the request, or because too few witnesses confirmed it.
#[test]
fn lease_counts_from_the_oldest_confirmation_of_the_quorum() {
    let (start, record) = (Instant::now(), fleet(3, 0..4));
    let later = start + Duration::from_millis(400);
    let mut evidence = Evidence::default();
    let valid =
        |evidence: &Evidence| evidence.valid_until(&record, &instance(0), &BTreeSet::new(), later);

    evidence.record_confirmation(confirmation(1, 3, start));
    assert_eq!(valid(&evidence), None);
    evidence.record_confirmation(confirmation(2, 2, later));
    assert_eq!(valid(&evidence), None, "another generation does not count");
    evidence.record_confirmation(confirmation(2, 3, later));
    assert_eq!(valid(&evidence), Some(start + VALIDITY));
    evidence.record_confirmation(confirmation(3, 3, later));
    assert_eq!(valid(&evidence), Some(later + VALIDITY));
}

/// Guards against a host that is no longer in the fleet record but still treats its lease as
/// valid.
#[test]
fn only_listed_instances_are_valid() {
    let now = Instant::now();
    let mut evidence = Evidence::default();
    evidence.record_store_read(now);

    let listed = evidence.is_valid(&fleet(1, 0..2), &instance(0), &BTreeSet::new(), now);
    let removed = evidence.is_valid(&fleet(2, 1..2), &instance(0), &BTreeSet::new(), now);

    assert!(listed);
    assert!(!removed);
}

/// Guards against a quorum that includes a witness which is being removed itself.
#[test]
fn revoked_witness_does_not_count() {
    let (now, record) = (Instant::now(), fleet(1, 0..3));
    let mut evidence = Evidence::default();
    evidence.record_confirmation(confirmation(1, 1, now));

    let revoked = BTreeSet::from([instance(1)]);

    assert!(evidence.is_valid(&record, &instance(0), &BTreeSet::new(), now));
    assert!(!evidence.is_valid(&record, &instance(0), &revoked, now));
}

/// Guards against a change of the fleet record that briefly invalidates every lease, because
/// confirmations of the previous generation no longer count.
#[test]
fn record_change_keeps_the_lease_valid() {
    let (now, none) = (Instant::now(), BTreeSet::new());
    let mut evidence = Evidence::default();
    evidence.record_confirmation(confirmation(1, 1, now));

    evidence.carry_over(&fleet(1, 0..3), &instance(0), &none, now);

    let until = evidence.valid_until(&fleet(2, 0..4), &instance(0), &none, now);
    assert_eq!(until, Some(now + VALIDITY));
}

/// Guards against a share that grows before the lease of the removed host has expired.
#[test]
fn share_shrinks_immediately_and_grows_after_lease_expiry() {
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

/// Guards against a restarted host that has to wait for the removal of its previous instance.
#[test]
fn restart_replaces_the_instance_at_its_address() {
    let before = fleet(5, 0..4);

    let (after, own) = membership::join(&before, &host(2)).expect("the name is free");

    assert_eq!(after.members.len(), 4);
    assert_eq!(after.generation, Generation(6));
    assert!(membership::find_member(&after, &instance(2)).is_none());
    assert!(
        membership::find_member(&after, &own).is_some_and(|entry| entry.state == State::Joining)
    );
}

/// Guards against a second host that joins under the name of a running one.
#[test]
fn name_at_another_address_is_rejected() {
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

/// Number of the model's time steps in the validity of a lease.
const STEPS: u8 = 2;

const MEMBERS: u8 = 4;

/// Member whose removal is checked.
const SUBJECT: usize = 0;

/// Member that joins in some of the runs.
const JOINER: u8 = 3;

/// Initial number of members and maximum number of record changes of each run.
///
/// Longer runs take minutes in a debug build.
const RUNS: [(u8, u8); 4] = [(1, 4), (2, 4), (3, 2), (4, 3)];

/// A change of the fleet record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Change {
    Remove(u8),
    Join,
    Activate,
}

/// The last confirmation that the subject has from a witness: its age in steps, and the bit set of
/// members that the witness had revoked.
type LastConfirmation = Option<(u8, u8)>;

/// A state of the model. Lost messages and network partitions need no states of their own, because
/// every action is optional. Delayed messages only shorten the validity that they grant.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Model {
    /// Number of active members in the initial record.
    initial_members: u8,
    /// Maximum number of changes in this run.
    max_changes: u8,
    /// Changes in order; their number is the generation in the store.
    changes: Vec<Change>,
    /// Steps since the removal of the subject, at most `STEPS`.
    steps_since_removal: u8,
    /// Generation that each member knows.
    known_generation: [u8; 4],
    /// Bit set of members to whose removal each member has consented.
    revoked: [u8; 4],
    /// Steps since each member last confirmed the subject, at most `STEPS`.
    steps_since_confirmation: [u8; 4],
    /// Last confirmation that the subject has from each member.
    last_confirmations: [LastConfirmation; 4],
    /// Steps since the subject read the store, at most `STEPS`.
    store_read_age: u8,
    /// Steps since the request of the evidence that was carried over from an earlier generation.
    carried_age: u8,
}

impl Model {
    fn new((initial_members, max_changes): (u8, u8)) -> Self {
        Self {
            initial_members,
            max_changes,
            changes: Vec::new(),
            steps_since_removal: 0,
            known_generation: [0; 4],
            revoked: [0; 4],
            steps_since_confirmation: [STEPS; 4],
            last_confirmations: [None; 4],
            store_read_age: STEPS,
            carried_age: STEPS,
        }
    }

    fn record(&self, generation: u8) -> Fleet {
        let mut record = fleet(u64::from(generation), 0..self.initial_members);
        for change in &self.changes[..usize::from(generation)] {
            match change {
                Change::Remove(removed) => record
                    .members
                    .retain(|member| member.host.name != host(*removed).name),
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
        let removed = changes.any(
            |change| matches!(change, Change::Remove(removed) if usize::from(*removed) == member),
        );
        let joined_later = member == usize::from(JOINER)
            && self.join_generation().is_some_and(|at| at <= generation);
        let joined = joined_later || member < usize::from(self.initial_members);
        joined && !removed
    }

    fn is_active(&self, member: usize, generation: u8) -> bool {
        let changes = &self.changes[..usize::from(generation)];
        let active =
            member < usize::from(self.initial_members) || changes.contains(&Change::Activate);
        active && self.is_listed(member, generation)
    }

    /// Returns the members that are or were in the record.
    fn existing(&self) -> impl Iterator<Item = usize> {
        let joined = self.join_generation().is_some();
        let initial_members = self.initial_members;
        (0..MEMBERS)
            .filter(move |member| *member < initial_members || (joined && *member == JOINER))
            .map(usize::from)
    }

    /// Returns the generation in which the joining member is first listed.
    fn join_generation(&self) -> Option<u8> {
        let index = self
            .changes
            .iter()
            .position(|change| *change == Change::Join);
        index.map(|index| u8::try_from(index + 1).expect("few changes"))
    }

    fn evidence(&self, now: Instant) -> Evidence {
        let step = VALIDITY / u32::from(STEPS);
        let sent = |age: u8| {
            now.checked_sub(step * u32::from(age))
                .expect("after the epoch")
        };
        let mut evidence = Evidence::default();
        for (witness, last_confirmation) in (0..MEMBERS).zip(self.last_confirmations) {
            if let Some((age, revoked)) = last_confirmation {
                evidence.record_confirmation(Confirmation {
                    revoked: instances(revoked).collect(),
                    ..confirmation(
                        witness,
                        u64::from(self.known_generation[SUBJECT]),
                        sent(age),
                    )
                });
            }
        }
        evidence
    }

    /// Returns the age in steps of the evidence from confirmations alone, at most `STEPS`.
    fn confirmation_age(&self) -> u8 {
        let now = Instant::now() + VALIDITY;
        let record = self.record(self.known_generation[SUBJECT]);
        let revoked = instances(self.revoked[SUBJECT]).collect();
        let until = self
            .evidence(now)
            .valid_until(&record, &instance(0), &revoked, now);
        let step = VALIDITY / u32::from(STEPS);
        (0..STEPS)
            .find(|age| until == Some(now + step * u32::from(STEPS - age)))
            .unwrap_or(STEPS)
    }

    fn is_valid(&self) -> bool {
        self.is_listed(SUBJECT, self.known_generation[SUBJECT])
            && self
                .store_read_age
                .min(self.carried_age)
                .min(self.confirmation_age())
                < STEPS
    }

    /// Renumbers the witnesses in a canonical order, because states that differ only in the numbers
    /// of the witnesses need to be checked once. The joining member keeps its number.
    fn canonical(self) -> Self {
        let mut order = [0, 1, 2, 3];
        order[1..usize::from(self.initial_members)].sort_by_key(|member| {
            let removal = Change::Remove(*member);
            let removed = self.changes.iter().position(|change| *change == removal);
            let member = usize::from(*member);
            let confirmation_age = self.last_confirmations[member].map(|(age, _)| age);
            let revokes_subject = self.revoked[member] & 1 << SUBJECT;
            (
                removed,
                self.known_generation[member],
                self.steps_since_confirmation[member],
                confirmation_age,
                revokes_subject,
            )
        });
        let new_index = |member: u8| order.iter().position(|old| *old == member);
        let renumber = |member: u8| u8::try_from(new_index(member).expect("listed")).expect("few");
        let renumber_set = |set: u8| {
            let members = (0..MEMBERS).filter(|member| set & 1 << member != 0);
            members.fold(0_u8, |set, member| set | 1 << renumber(member))
        };
        let changes = self.changes.iter().map(|change| match change {
            Change::Remove(member) => Change::Remove(renumber(*member)),
            other => *other,
        });
        let old_index = order.map(usize::from);
        Self {
            changes: changes.collect(),
            known_generation: old_index.map(|member| self.known_generation[member]),
            revoked: old_index.map(|member| renumber_set(self.revoked[member])),
            steps_since_confirmation: old_index.map(|member| self.steps_since_confirmation[member]),
            last_confirmations: old_index.map(|member| {
                self.last_confirmations[member].map(|(age, revoked)| (age, renumber_set(revoked)))
            }),
            ..self
        }
    }

    fn next(&self) -> Vec<Self> {
        let mut next = vec![self.advance_time()];
        for member in self.existing() {
            next.extend(self.confirm(member));
            next.extend(
                (self.known_generation[member] + 1..=self.generation())
                    .map(|to| self.apply_record(member, to)),
            );
        }
        next.push(self.read_store());
        if self.generation() < self.max_changes && self.is_listed(SUBJECT, self.generation()) {
            next.extend((0..MEMBERS).flat_map(|member| self.removals(member)));
            next.extend(self.join());
            next.extend(self.activate());
        }
        next
    }

    fn join(&self) -> Option<Self> {
        let can_join = self.initial_members <= JOINER && self.join_generation().is_none();
        can_join.then(|| self.change(Change::Join))
    }

    /// Activates the joining member once every active member knows of its join.
    fn activate(&self) -> Option<Self> {
        let joined = self.join_generation()?;
        let generation = self.generation();
        let all_know_join = (0..usize::from(MEMBERS))
            .filter(|member| self.is_active(*member, generation))
            .all(|member| self.known_generation[member] >= joined);
        let activated = self.changes.contains(&Change::Activate);
        let listed = self.is_listed(usize::from(JOINER), generation);
        (all_know_join && listed && !activated).then(|| self.change(Change::Activate))
    }

    fn change(&self, change: Change) -> Self {
        let mut next = self.clone();
        next.changes.push(change);
        next
    }

    fn advance_time(&self) -> Self {
        let mut next = self.clone();
        let older = |age: u8| (age + 1).min(STEPS);
        next.steps_since_confirmation = self.steps_since_confirmation.map(older);
        next.last_confirmations = self.last_confirmations.map(|confirmation| {
            confirmation
                .map(|(age, revoked)| (older(age), revoked))
                .filter(|(age, _)| *age < STEPS)
        });
        next.store_read_age = older(self.store_read_age);
        next.carried_age = older(self.carried_age);
        if !self.is_listed(SUBJECT, self.generation()) {
            next.steps_since_removal = older(self.steps_since_removal);
        }
        next
    }

    fn confirm(&self, witness: usize) -> Option<Self> {
        let generation = self.known_generation[witness];
        let granted = witness != SUBJECT
            && generation == self.known_generation[SUBJECT]
            && self.is_listed(SUBJECT, generation)
            && self.revoked[witness] & 1 << SUBJECT == 0;
        granted.then(|| {
            let mut next = self.clone();
            next.steps_since_confirmation[witness] = 0;
            next.last_confirmations[witness] = Some((0, self.revoked[witness]));
            next
        })
    }

    /// Lets a member receive a newer record from another one.
    fn apply_record(&self, member: usize, generation: u8) -> Self {
        let mut next = self.clone();
        if member == SUBJECT {
            next.carried_age = self.carried_age.min(self.confirmation_age());
            next.last_confirmations = [None; 4];
        }
        next.known_generation[member] = generation;
        next
    }

    fn read_store(&self) -> Self {
        let mut next = self.clone();
        if self.known_generation[SUBJECT] < self.generation() {
            next = self.apply_record(SUBJECT, self.generation());
        }
        if self.is_listed(SUBJECT, self.generation()) {
            next.store_read_age = 0;
        }
        next
    }

    /// Returns a state for each set of consents that suffices to remove a member.
    fn removals(&self, member: u8) -> Vec<Self> {
        let generation = self.generation();
        let target = usize::from(member);
        if !self.is_listed(target, generation) {
            return Vec::new();
        }
        let others: Vec<usize> = (0..usize::from(MEMBERS))
            .filter(|other| *other != target && self.is_active(*other, generation))
            .collect();
        let may_consent = |other: &usize| {
            let confirmation_expired =
                target != SUBJECT || self.steps_since_confirmation[*other] >= STEPS;
            self.known_generation[*other] == generation && confirmation_expired
        };
        let needed = removal_quorum(others.len());
        let consent_sets = (1_u8..1 << MEMBERS).filter(|set| {
            let chosen = |other: &usize| set & 1 << other != 0;
            let count = others
                .iter()
                .filter(|other| chosen(other) && may_consent(other))
                .count();
            count == needed && usize::try_from(set.count_ones()) == Ok(needed)
        });
        consent_sets.map(|set| self.remove(member, set)).collect()
    }

    fn remove(&self, member: u8, consenting: u8) -> Self {
        let mut next = self.change(Change::Remove(member));
        for (other, revoked) in next.revoked.iter_mut().enumerate() {
            if consenting & 1 << other != 0 {
                *revoked |= 1 << member;
            }
        }
        next
    }
}

fn instances(set: u8) -> impl Iterator<Item = Instance> {
    (0..MEMBERS)
        .filter(move |number| set & 1 << number != 0)
        .map(instance)
}

/// Guards against a removed member whose lease is still valid when other members use its share.
#[test]
fn removed_member_is_never_valid_after_lease_expiry() {
    let mut unexplored: Vec<Model> = RUNS.into_iter().map(Model::new).collect();
    let mut seen: HashSet<Model> = unexplored.iter().cloned().collect();
    let mut removals = 0_u32;

    while let Some(model) = unexplored.pop() {
        // Checked only after a single change: after several consecutive changes, evidence from
        // before the first one can last longer.
        if model.changes == [Change::Remove(0)] {
            let confirmed = model.confirmation_age().min(model.carried_age);
            assert_eq!(confirmed, STEPS, "confirmed after its removal: {model:?}");
        }
        if model.steps_since_removal >= STEPS {
            removals += 1;
            assert!(!model.is_valid(), "valid after its removal: {model:?}");
            continue;
        }
        for next in model.next().into_iter().map(Model::canonical) {
            if seen.insert(next.clone()) {
                unexplored.push(next);
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
