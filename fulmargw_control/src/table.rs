//! The shared tables of configuration and fleet.

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

/// Age at which an unobtainable version stops keyed routes.
const HEARD_LIMIT: Duration = Duration::from_secs(2);

/// Age at which a version that nobody has is taken as given up by its host.
const HEARD_EXPIRY: Duration = Duration::from_secs(10);

/// Delay of a join after a removal, and how often it doubles at most (to 16 s).
const FIRST_JOIN_DELAY: Duration = Duration::from_millis(250);
const JOIN_DOUBLINGS: u32 = 6;

/// Rank 1: the document in force and noted versions.
#[derive(Debug, Default)]
pub(crate) struct Configuration {
    /// Document in force; none before the first one was obtained.
    pub(crate) document: Option<Arc<configuration::Configuration>>,
    /// Greater versions and when this host first heard of them.
    pub(crate) heard: BTreeMap<configuration::Version, Heard>,
    /// Sending of the last successful read of the head, whose document was then adopted.
    pub(crate) read: Option<Instant>,
}

/// How a host heard of a version.
#[derive(Debug, Clone)]
pub(crate) struct Heard {
    pub(crate) since: Instant,
    /// Host that has the document, if it is known to have it.
    pub(crate) source: Option<Name>,
}

impl Configuration {
    pub(crate) fn version(&self) -> configuration::Version {
        self.document
            .as_ref()
            .map_or_else(Default::default, |document| document.version)
    }

    pub(crate) fn hear(
        &mut self,
        version: configuration::Version,
        source: Option<&Name>,
        now: Instant,
    ) {
        if self.document.is_some() && version <= self.version() {
            return;
        }
        let heard = self.heard.entry(version).or_insert(Heard {
            since: now,
            source: None,
        });
        if let Some(source) = source {
            heard.source = Some(source.clone());
        }
    }

    /// Returns the greatest version of which other hosts should hear.
    pub(crate) fn greatest(&self, now: Instant) -> configuration::Version {
        let recent = |heard: &&Heard| now < heard.since + HEARD_EXPIRY;
        let noted = self
            .heard
            .iter()
            .rev()
            .find(|(_, heard)| recent(heard))
            .map(|(version, _)| *version);
        noted.map_or(self.version(), |noted| noted.max(self.version()))
    }

    /// Reports whether the document is known and no newer one stays unobtainable.
    ///
    /// A recent read of the store shows that this host is at most [`HEARD_LIMIT`] behind.
    pub(crate) fn is_current(&self, now: Instant) -> bool {
        let read = self.read.is_some_and(|sent| now < sent + HEARD_LIMIT);
        let missing = self
            .heard
            .values()
            .any(|heard| now >= heard.since + HEARD_LIMIT && now < heard.since + HEARD_EXPIRY);
        self.document.is_some() && (read || !missing)
    }
}

/// Rank 2: fleet record, confirmations and lease.
#[derive(Debug)]
pub(crate) struct Fleet {
    /// Record last seen; none before the first one was obtained.
    pub(crate) record: Option<Arc<fleet::Fleet>>,
    /// Own life; none before joining and after a removal.
    pub(crate) own: Option<Instance>,
    pub(crate) evidence: Evidence,
    /// Members to whose removal this host consented.
    pub(crate) refused: BTreeSet<Instance>,
    /// When this host last confirmed a lease of a life.
    pub(crate) granted: HashMap<Instance, Instant>,
    /// When each host last answered, and since when it has been expected to.
    pub(crate) heard: HashMap<Name, Instant>,
    /// Which members the platform's host list lacks.
    pub(crate) absence: Tracker,
    pub(crate) share: Share,
    pub(crate) join: Option<Join>,
    /// When a witness first refused the own life.
    pub(crate) expelled: Option<Instant>,
    pub(crate) started: Instant,
    /// Whether this host leaves and is no witness any more. It stops before the record says
    /// so, because the answer to that write can be lost.
    pub(crate) leaving: bool,
    /// Lives in a row that were removed before they became active.
    failed_joins: u32,
    /// When the next life may join.
    pub(crate) join_at: Instant,
    valid_until: Option<Instant>,
}

/// Progress of a join.
#[derive(Debug)]
pub(crate) struct Join {
    pub(crate) generation: Generation,
    pub(crate) at: Instant,
    pub(crate) alone: bool,
    pub(crate) confirmed: BTreeSet<Instance>,
    /// When the last member with a share had confirmed.
    pub(crate) complete: Option<Instant>,
}

/// What a host with a valid lease may use.
#[derive(Debug, Clone)]
pub(crate) struct Standing {
    pub(crate) life: Instance,
    pub(crate) state: State,
    pub(crate) until: Instant,
    pub(crate) divisor: u32,
}

impl Standing {
    pub(crate) fn has_share(&self) -> bool {
        self.state != State::Joining
    }
}

impl Fleet {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            record: None,
            own: None,
            evidence: Evidence::default(),
            refused: BTreeSet::new(),
            granted: HashMap::new(),
            heard: HashMap::new(),
            absence: Tracker::default(),
            share: Share::default(),
            join: None,
            expelled: None,
            started: now,
            leaving: false,
            failed_joins: 0,
            join_at: now,
            valid_until: None,
        }
    }

    pub(crate) fn generation(&self) -> Generation {
        self.record
            .as_ref()
            .map_or_else(Default::default, |record| record.generation)
    }

    /// Returns the own entry in the record.
    pub(crate) fn entry(&self) -> Option<&Member> {
        membership::find_member(self.record.as_ref()?, self.own.as_ref()?)
    }

    /// Returns the members other than this host.
    pub(crate) fn others(&self, own: &Name) -> Vec<Member> {
        let members = self.record.iter().flat_map(|record| &record.members);
        members
            .filter(|member| member.host.name != *own)
            .cloned()
            .collect()
    }

    /// Returns what this host may use at `now`; nothing without a valid lease.
    pub(crate) fn standing(&self, now: Instant) -> Option<Standing> {
        let until = self.valid_until.filter(|until| now < *until)?;
        let entry = self.entry()?;
        Some(Standing {
            life: entry.instance(),
            state: entry.state,
            until,
            divisor: self.share.divisor(self.record.as_ref()?, now),
        })
    }

    /// Computes until when the evidence keeps the lease valid. Called after every change of
    /// it, because requests only compare times.
    pub(crate) fn judge(&mut self, now: Instant) {
        self.valid_until = match (&self.record, &self.own) {
            (Some(record), Some(own)) => self.evidence.valid_until(record, own, &self.refused, now),
            _ => None,
        };
    }

    /// Takes a newer record; reports whether it was newer.
    pub(crate) fn adopt(&mut self, record: &Arc<fleet::Fleet>, now: Instant) -> bool {
        if self.record.is_some() && record.generation <= self.generation() {
            return false;
        }
        if let Some(old) = self.record.take() {
            self.share.apply_record(&old, record, now);
            if let Some(own) = &self.own {
                self.evidence.carry_over(&old, own, &self.refused, now);
            }
        }
        self.record = Some(record.clone());
        let listed = |life: &Instance| membership::find_member(record, life).is_some();
        self.refused.retain(listed);
        self.granted.retain(|life, _| listed(life));
        self.absence.apply_record(record, now);
        self.heard.retain(|name, _| record.member(name).is_some());
        for member in &record.members {
            self.heard.entry(member.host.name.clone()).or_insert(now);
        }
        if self.own.as_ref().is_some_and(|own| !listed(own)) {
            self.delay_join(now);
            self.suspend();
        }
        if self
            .entry()
            .is_some_and(|entry| entry.state != State::Joining)
        {
            self.failed_joins = 0;
        }
        self.judge(now);
        true
    }

    /// Delays the next join, longer after each life that did not become active. Otherwise a
    /// host that reaches the store but no peer would change the record all the time.
    fn delay_join(&mut self, now: Instant) {
        let delay = FIRST_JOIN_DELAY * (1 << self.failed_joins.min(JOIN_DOUBLINGS));
        self.join_at = now + delay;
        self.failed_joins += 1;
    }

    /// Gives up the own life: from now on this host uses no share.
    pub(crate) fn suspend(&mut self) {
        self.own = None;
        self.join = None;
        self.expelled = None;
        self.evidence.clear();
        self.valid_until = None;
    }

    /// Records a successful read of the store, sent at `sent`.
    pub(crate) fn read(&mut self, record: &Arc<fleet::Fleet>, sent: Instant, now: Instant) {
        self.adopt(record, now);
        let listed = self
            .own
            .as_ref()
            .is_some_and(|own| membership::find_member(record, own).is_some());
        if listed {
            self.evidence.record_store_read(sent);
        }
        self.judge(now);
    }

    /// Reports whether this host has confirmed nothing to a life for the validity of a lease.
    pub(crate) fn is_silent_to(&self, life: &Instance, now: Instant) -> bool {
        let granted = self.granted.get(life).copied().unwrap_or(self.started);
        now >= granted + lease::VALIDITY
    }

    /// Reports whether a host has not answered for `period`.
    pub(crate) fn is_unheard(&self, host: &Name, period: Duration, now: Instant) -> bool {
        let heard = self.heard.get(host);
        heard.is_some_and(|heard| now >= *heard + period)
    }

    /// Reports whether a member has been taken away for good: for `period` the host list
    /// lacked it, it did not answer, and it did not ask this host either.
    pub(crate) fn has_vanished(&self, member: &Member, period: Duration, now: Instant) -> bool {
        let life = member.instance();
        let asked = self.granted.get(&life);
        // A host never hears itself, and the list may lack it while it is new.
        self.own.as_ref() != Some(&life)
            && self.absence.is_missing(&life, period, now)
            && self.is_unheard(&life.host, period, now)
            && asked.is_none_or(|asked| now >= *asked + period)
    }
}
