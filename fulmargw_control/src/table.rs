//! Configuration and fleet tables that the tasks of the control plane share.

use fulmargw_decision::{
    absence::Tracker,
    lease::{self, Evidence},
    membership::{self, Share},
};
use fulmargw_model::{
    configuration,
    fleet::{self, Generation, Instance, Member, State},
    name::Name,
};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};
use tokio::time::Instant;

/// Time after which a known version that this host cannot obtain disables keyed routes.
const VERSION_LAG_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which a version that no host has is ignored, because the host that sent its
/// advance notice did not store it.
const NOTICE_EXPIRY: Duration = Duration::from_secs(10);

/// Delay of a join after a removal, and how often it doubles at most (to 16 s).
const MIN_JOIN_DELAY: Duration = Duration::from_millis(250);
const MAX_JOIN_DOUBLINGS: u32 = 6;

/// The configuration document in force and newer versions that are known to exist. Lock rank 1.
#[derive(Debug, Default)]
pub(crate) struct Configuration {
    /// Document in force; `None` before the first one was obtained.
    pub(crate) document: Option<Arc<configuration::Configuration>>,
    /// Versions greater than the one in force.
    pub(crate) newer: BTreeMap<configuration::Version, NewerVersion>,
    /// When the last successful read of the head was sent. The document of that head has been
    /// applied.
    pub(crate) store_read_at: Option<Instant>,
}

/// A version that this host knows to exist.
#[derive(Debug, Clone)]
pub(crate) struct NewerVersion {
    /// When this host first learned of the version.
    pub(crate) since: Instant,
    /// A host that has the document, if one is known.
    pub(crate) source: Option<Name>,
}

impl Configuration {
    pub(crate) fn version(&self) -> configuration::Version {
        self.document
            .as_ref()
            .map_or_else(Default::default, |document| document.version)
    }

    /// Records that a version exists and which host has its document.
    pub(crate) fn record_version(
        &mut self,
        version: configuration::Version,
        source: Option<&Name>,
        now: Instant,
    ) {
        if self.document.is_some() && version <= self.version() {
            return;
        }
        let newer = self.newer.entry(version).or_insert(NewerVersion {
            since: now,
            source: None,
        });
        if let Some(source) = source {
            newer.source = Some(source.clone());
        }
    }

    /// Returns the greatest known version, which is reported to peers.
    pub(crate) fn greatest_known(&self, now: Instant) -> configuration::Version {
        let recent = |newer: &&NewerVersion| now < newer.since + NOTICE_EXPIRY;
        let greatest = self
            .newer
            .iter()
            .rev()
            .find(|(_, newer)| recent(newer))
            .map(|(version, _)| *version);
        greatest.map_or(self.version(), |greatest| greatest.max(self.version()))
    }

    /// Reports whether a document is in force and no newer one has been unobtainable for
    /// [`VERSION_LAG_TIMEOUT`].
    ///
    /// A recent read of the store is enough, because it proves that this host lags by at most
    /// that time.
    pub(crate) fn is_current(&self, now: Instant) -> bool {
        let read = self
            .store_read_at
            .is_some_and(|sent| now < sent + VERSION_LAG_TIMEOUT);
        let missing = self.newer.values().any(|newer| {
            now >= newer.since + VERSION_LAG_TIMEOUT && now < newer.since + NOTICE_EXPIRY
        });
        self.document.is_some() && (read || !missing)
    }
}

/// The fleet record, the lease of this host and what it knows of the members. Lock rank 2.
#[derive(Debug)]
pub(crate) struct Fleet {
    /// Newest known record; `None` before the first one was obtained.
    pub(crate) record: Option<Arc<fleet::Fleet>>,
    /// Instance of this host; `None` before joining and after a removal.
    pub(crate) instance: Option<Instance>,
    /// Confirmations and store reads on which the lease rests.
    pub(crate) evidence: Evidence,
    /// Instances to whose removal this host has consented.
    pub(crate) revoked: BTreeSet<Instance>,
    /// When this host last confirmed the lease of each instance.
    pub(crate) confirmed_at: HashMap<Instance, Instant>,
    /// When each host last responded. For a host that has not responded yet, when it became a
    /// member.
    pub(crate) responded_at: HashMap<Name, Instant>,
    /// Members that are absent from the platform's host list.
    pub(crate) absence: Tracker,
    pub(crate) share: Share,
    /// Join in progress.
    pub(crate) join: Option<Join>,
    /// When a witness first reported that it has revoked the instance of this host.
    pub(crate) revoked_at: Option<Instant>,
    pub(crate) started_at: Instant,
    /// Whether this host is leaving and no longer acts as a witness. It stops before the
    /// record shows it as leaving, because the response to that write can be lost.
    pub(crate) leaving: bool,
    /// Consecutive instances that were removed before they became active.
    failed_joins: u32,
    /// Earliest time of the next join.
    pub(crate) next_join_at: Instant,
    lease_valid_until: Option<Instant>,
}

/// Progress of a join.
#[derive(Debug)]
pub(crate) struct Join {
    /// Generation of the record in which this host joined.
    pub(crate) generation: Generation,
    pub(crate) joined_at: Instant,
    /// Whether this host was the only member when it joined.
    pub(crate) is_only_member: bool,
    /// Members that have responded with a record of this or a later generation, so that they
    /// have reduced their shares for this host.
    pub(crate) acknowledged_by: BTreeSet<Instance>,
    /// When the last member with a share had responded so.
    pub(crate) completed_at: Option<Instant>,
}

/// What a host with a valid lease may use.
#[derive(Debug, Clone)]
pub(crate) struct Entitlement {
    pub(crate) instance: Instance,
    pub(crate) state: State,
    pub(crate) valid_until: Instant,
    pub(crate) share_divisor: u32,
}

impl Entitlement {
    /// Reports whether the host may use its share; a joining host has none yet.
    pub(crate) fn has_share(&self) -> bool {
        self.state != State::Joining
    }
}

impl Fleet {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            record: None,
            instance: None,
            evidence: Evidence::default(),
            revoked: BTreeSet::new(),
            confirmed_at: HashMap::new(),
            responded_at: HashMap::new(),
            absence: Tracker::default(),
            share: Share::default(),
            join: None,
            revoked_at: None,
            started_at: now,
            leaving: false,
            failed_joins: 0,
            next_join_at: now,
            lease_valid_until: None,
        }
    }

    pub(crate) fn generation(&self) -> Generation {
        self.record
            .as_ref()
            .map_or_else(Default::default, |record| record.generation)
    }

    /// Returns the member in the record that is this instance.
    pub(crate) fn own_member(&self) -> Option<&Member> {
        membership::find_member(self.record.as_ref()?, self.instance.as_ref()?)
    }

    /// Returns the members other than the host `own`.
    pub(crate) fn other_members(&self, own: &Name) -> Vec<Member> {
        let members = self.record.iter().flat_map(|record| &record.members);
        members
            .filter(|member| member.host.name != *own)
            .cloned()
            .collect()
    }

    /// Returns what this host may use at `now`; `None` without a valid lease.
    pub(crate) fn entitlement(&self, now: Instant) -> Option<Entitlement> {
        let valid_until = self.lease_valid_until.filter(|until| now < *until)?;
        let member = self.own_member()?;
        Some(Entitlement {
            instance: member.instance(),
            state: member.state,
            valid_until,
            share_divisor: self.share.divisor(self.record.as_ref()?, now),
        })
    }

    /// Computes until when the lease is valid. Must be called after every change of the record
    /// or the evidence, because requests only compare the current time with the result.
    pub(crate) fn update_lease(&mut self, now: Instant) {
        self.lease_valid_until = match (&self.record, &self.instance) {
            (Some(record), Some(own)) => self.evidence.valid_until(record, own, &self.revoked, now),
            _ => None,
        };
    }

    /// Applies a record and reports whether it was newer than the known one.
    pub(crate) fn apply_record(&mut self, record: &Arc<fleet::Fleet>, now: Instant) -> bool {
        if self.record.is_some() && record.generation <= self.generation() {
            return false;
        }
        if let Some(old) = self.record.take() {
            self.share.apply_record(&old, record, now);
            if let Some(own) = &self.instance {
                self.evidence.carry_over(&old, own, &self.revoked, now);
            }
        }
        self.record = Some(record.clone());
        let listed = |instance: &Instance| membership::find_member(record, instance).is_some();
        self.revoked.retain(listed);
        self.confirmed_at.retain(|instance, _| listed(instance));
        self.absence.apply_record(record, now);
        self.responded_at
            .retain(|name, _| record.member(name).is_some());
        for member in &record.members {
            self.responded_at
                .entry(member.host.name.clone())
                .or_insert(now);
        }
        if self.instance.as_ref().is_some_and(|own| !listed(own)) {
            self.delay_join(now);
            self.give_up_instance();
        }
        if self
            .own_member()
            .is_some_and(|member| member.state != State::Joining)
        {
            self.failed_joins = 0;
        }
        self.update_lease(now);
        true
    }

    /// Delays the next join, longer after each instance that did not become active. Otherwise a
    /// host that reaches the store but no peer would change the record continually.
    fn delay_join(&mut self, now: Instant) {
        let delay = MIN_JOIN_DELAY * (1 << self.failed_joins.min(MAX_JOIN_DOUBLINGS));
        self.next_join_at = now + delay;
        self.failed_joins += 1;
    }

    /// Gives up the instance of this host, which then has no lease and uses no share.
    pub(crate) fn give_up_instance(&mut self) {
        self.instance = None;
        self.join = None;
        self.revoked_at = None;
        self.evidence.clear();
        self.lease_valid_until = None;
    }

    /// Applies a record that was read from the store with a request sent at `sent`.
    pub(crate) fn record_store_read(
        &mut self,
        record: &Arc<fleet::Fleet>,
        sent: Instant,
        now: Instant,
    ) {
        self.apply_record(record, now);
        let listed = self
            .instance
            .as_ref()
            .is_some_and(|own| membership::find_member(record, own).is_some());
        if listed {
            self.evidence.record_store_read(sent);
        }
        self.update_lease(now);
    }

    /// Reports whether the confirmations that this host gave to an instance have all expired.
    pub(crate) fn confirmations_expired(&self, instance: &Instance, now: Instant) -> bool {
        let confirmed = self
            .confirmed_at
            .get(instance)
            .copied()
            .unwrap_or(self.started_at);
        now >= confirmed + lease::VALIDITY
    }

    /// Reports whether a host has not responded for `period`.
    pub(crate) fn is_unresponsive(&self, host: &Name, period: Duration, now: Instant) -> bool {
        let responded = self.responded_at.get(host);
        responded.is_some_and(|responded| now >= *responded + period)
    }

    /// Reports whether a member has been removed by the platform for good: for `period` it was
    /// absent from the host list, did not respond, and got no confirmation from this host.
    pub(crate) fn has_vanished(&self, member: &Member, period: Duration, now: Instant) -> bool {
        let instance = member.instance();
        let confirmed = self.confirmed_at.get(&instance);
        // A host never responds to itself, and the list may not show it while it is new.
        self.instance.as_ref() != Some(&instance)
            && self.absence.is_missing(&instance, period, now)
            && self.is_unresponsive(&instance.host, period, now)
            && confirmed.is_none_or(|confirmed| now >= *confirmed + period)
    }
}
