//! Detection of members that have permanently disappeared from the platform's host list.

use fulmargw_model::{
    fleet::{Fleet, Instance, Member},
    name::Name,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::Instant;

/// Maximum time between two reads of the host list that count as consecutive. At a read interval
/// of 5 s, two failed reads in a row are tolerated.
pub const MAX_READ_GAP: Duration = Duration::from_secs(15);

/// Time since this host first saw a member in the fleet record after which the host list must
/// show it. The list lags behind, so a newer member that was never listed may be running.
pub const MIN_RECORD_AGE: Duration = Duration::from_mins(1);

/// Tracks which members are missing from the host list, and since when.
#[derive(Debug, Default)]
pub struct Tracker {
    /// Instances in the fleet record, and when this host first saw each of them there.
    first_seen: BTreeMap<Instance, Instant>,
    /// Instances whose hosts this process has seen in the host list.
    listed: BTreeSet<Instance>,
    /// Instances whose hosts are missing from all reads since the given time.
    missing_since: BTreeMap<Instance, Instant>,
    /// Send time of the last successful read.
    last_read: Option<Instant>,
}

impl Tracker {
    /// Tracks exactly the members of a fleet record.
    pub fn apply_record(&mut self, record: &Fleet, now: Instant) {
        let instances: BTreeSet<Instance> = record.members.iter().map(Member::instance).collect();
        self.first_seen
            .retain(|instance, _| instances.contains(instance));
        self.listed.retain(|instance| instances.contains(instance));
        self.missing_since
            .retain(|instance, _| instances.contains(instance));
        for instance in instances {
            self.first_seen.entry(instance).or_insert(now);
        }
    }

    /// Records a successful read of the host list, requested at `sent`, with all `hosts` that
    /// it lists as live or leaving. An empty list counts as a failed read.
    pub fn record_read(&mut self, hosts: &BTreeSet<Name>, sent: Instant) {
        if hosts.is_empty() {
            return;
        }
        if self
            .last_read
            .is_some_and(|last_read| sent > last_read + MAX_READ_GAP)
        {
            self.missing_since.clear();
        }
        self.last_read = Some(sent);
        for (instance, since) in &self.first_seen {
            if hosts.contains(&instance.host) {
                self.listed.insert(instance.clone());
                self.missing_since.remove(instance);
            } else if self.listed.contains(instance) || sent >= *since + MIN_RECORD_AGE {
                self.missing_since.entry(instance.clone()).or_insert(sent);
            }
        }
    }

    /// Reports whether the host of an instance was missing from all reads for at least `period`
    /// until now.
    #[must_use]
    pub fn is_missing(&self, instance: &Instance, period: Duration, now: Instant) -> bool {
        let (Some(since), Some(last_read)) = (self.missing_since.get(instance), self.last_read)
        else {
            return false;
        };
        now <= last_read + MAX_READ_GAP && last_read >= *since + period
    }
}
