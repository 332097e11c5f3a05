//! Data of the platform, without I/O.

use bytes::Bytes;
use fulmargw_platform::message::{Commit, Hosts, Read, Row, Rows, Transaction};
use serde::{Deserialize, Serialize};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};
use tokio::time::Instant;

/// Rows, objects, the history of the host list and counts of calls.
#[derive(Debug, Default)]
pub struct State {
    rows: HashMap<String, Row>,
    objects: HashMap<String, Bytes>,
    /// Host lists with the times at which they were set, oldest first.
    host_lists: VecDeque<(Instant, Hosts)>,
    counts: Counts,
    /// Start of the current second of the peak counts, and the counts at that time.
    second: Option<(Instant, Counts)>,
}

/// Counts of calls to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Number of reads of the table service, the object store and the host list.
    pub reads: u64,
    /// Number of writes to the table service and the object store.
    pub writes: u64,
    /// Greatest number of reads within a second.
    pub peak_reads: u64,
    /// Greatest number of writes within a second.
    pub peak_writes: u64,
}

impl State {
    /// Reads rows, all at the same point in time; a row that does not exist is `None`.
    #[must_use]
    pub fn read(&self, read: &Read) -> Rows {
        let row = |key| self.rows.get(key).cloned();
        Rows {
            rows: read.keys.iter().map(row).collect(),
        }
    }

    /// Commits a transaction if the rows of its conditions have the expected revisions.
    pub fn commit(&mut self, transaction: Transaction) -> Commit {
        let is_met = transaction.conditions.iter().all(|condition| {
            let revision = self.rows.get(&condition.key).map_or(0, |row| row.revision);
            revision == condition.revision
        });
        if !is_met {
            return Commit::Conflict;
        }
        for write in transaction.writes {
            let revision = self.rows.get(&write.key).map_or(0, |row| row.revision) + 1;
            let value = write.value;
            self.rows.insert(write.key, Row { revision, value });
        }
        Commit::Done
    }

    /// Returns the object with a key.
    #[must_use]
    pub fn object(&self, key: &str) -> Option<Bytes> {
        self.objects.get(key).cloned()
    }

    /// Stores an object.
    pub fn put_object(&mut self, key: String, value: Bytes) {
        self.objects.insert(key, value);
    }

    /// Sets the host list.
    pub fn set_hosts(&mut self, hosts: Hosts, now: Instant) {
        self.host_lists.push_back((now, hosts));
    }

    /// Returns the host list as it was `lag` ago, or the first one if none had been set by then.
    #[must_use]
    pub fn hosts(&self, now: Instant, lag: Duration) -> Hosts {
        let lagging = self
            .host_lists
            .iter()
            .rev()
            .find(|(at, _)| *at + lag <= now);
        let empty = || Hosts {
            live: Vec::new(),
            leaving: Vec::new(),
        };
        lagging
            .or(self.host_lists.front())
            .map_or_else(empty, |(_, hosts)| hosts.clone())
    }

    /// Counts a call.
    pub fn count(&mut self, is_write: bool, now: Instant) {
        self.counts.reads += u64::from(!is_write);
        self.counts.writes += u64::from(is_write);
        let (start, before) = *self.second.get_or_insert((now, Counts::default()));
        let reads = self.counts.reads - before.reads;
        let writes = self.counts.writes - before.writes;
        self.counts.peak_reads = self.counts.peak_reads.max(reads);
        self.counts.peak_writes = self.counts.peak_writes.max(writes);
        if now.duration_since(start) >= Duration::from_secs(1) {
            self.second = Some((now, self.counts));
        }
    }

    /// Returns the counts of calls.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }
}
