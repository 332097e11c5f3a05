//! Evidence from the platform's host list that members were taken away for good.

use fulmargw_model::{
    fleet::{Fleet, Instance, Member},
    name::Name,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::Instant;

/// Longest time between two reads of the list that count as consecutive. At an interval of
/// 5 s, two failed reads in a row are tolerated.
pub const MAX_READ_GAP: Duration = Duration::from_secs(15);

/// Time in the fleet record after which the list must have shown a member. The list lags, so
/// a younger member that was never listed may be alive.
pub const MIN_RECORD_AGE: Duration = Duration::from_mins(1);

/// What the reads of the host list so far say about the members.
#[derive(Debug, Default)]
pub struct Tracker {
    /// Lives in the fleet record and when this host first saw them there.
    known: BTreeMap<Instance, Instant>,
    /// Lives that the list has shown to this process.
    listed: BTreeSet<Instance>,
    /// Lives missing in all reads since then.
    missing: BTreeMap<Instance, Instant>,
    /// Sending of the last read that counted.
    last: Option<Instant>,
}

impl Tracker {
    /// Takes over the members of a record.
    pub fn apply_record(&mut self, record: &Fleet, now: Instant) {
        let lives: BTreeSet<Instance> = record.members.iter().map(Member::instance).collect();
        self.known.retain(|life, _| lives.contains(life));
        self.listed.retain(|life| lives.contains(life));
        self.missing.retain(|life, _| lives.contains(life));
        for life in lives {
            self.known.entry(life).or_insert(now);
        }
    }

    /// Records a successful read of the list, sent at `sent`, with all `hosts` that it shows
    /// as live or leaving. An empty list counts as a failed read.
    pub fn record_read(&mut self, hosts: &BTreeSet<Name>, sent: Instant) {
        if hosts.is_empty() {
            return;
        }
        if self.last.is_some_and(|last| sent > last + MAX_READ_GAP) {
            self.missing.clear();
        }
        self.last = Some(sent);
        for (life, since) in &self.known {
            if hosts.contains(&life.host) {
                self.listed.insert(life.clone());
                self.missing.remove(life);
            } else if self.listed.contains(life) || sent >= *since + MIN_RECORD_AGE {
                self.missing.entry(life.clone()).or_insert(sent);
            }
        }
    }

    /// Reports whether all reads over at least `period` up to now lacked the host of a life.
    #[must_use]
    pub fn is_missing(&self, life: &Instance, period: Duration, now: Instant) -> bool {
        let (Some(since), Some(last)) = (self.missing.get(life), self.last) else {
            return false;
        };
        now <= last + MAX_READ_GAP && last >= *since + period
    }
}
