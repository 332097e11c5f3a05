//! The platform's data, without I/O.

use bytes::Bytes;
use fulmargw_platform::message::{Commit, Hosts, Read, Row, Rows, Transaction};
use serde::{Deserialize, Serialize};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};
use tokio::time::Instant;

/// Tables, objects and the history of the host list.
#[derive(Debug, Default)]
pub struct State {
    rows: HashMap<String, Row>,
    objects: HashMap<String, Bytes>,
    lists: VecDeque<(Instant, Hosts)>,
    counts: Counts,
    second: Option<(Instant, Counts)>,
}

/// Calls to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Reads of the table service, the object store and the host list.
    pub reads: u64,
    /// Writes to the table service and the object store.
    pub writes: u64,
    /// Greatest number of reads within a second.
    pub peak_reads: u64,
    /// Greatest number of writes within a second.
    pub peak_writes: u64,
}

impl State {
    /// Reads rows at one point in time.
    #[must_use]
    pub fn read(&self, read: &Read) -> Rows {
        let row = |key| self.rows.get(key).cloned();
        Rows {
            rows: read.keys.iter().map(row).collect(),
        }
    }

    /// Commits a transaction if all its conditions hold.
    pub fn commit(&mut self, transaction: Transaction) -> Commit {
        let holds = transaction.conditions.iter().all(|condition| {
            let revision = self.rows.get(&condition.key).map_or(0, |row| row.revision);
            revision == condition.revision
        });
        if !holds {
            return Commit::Conflict;
        }
        for write in transaction.writes {
            let revision = self.rows.get(&write.key).map_or(0, |row| row.revision) + 1;
            let value = write.value;
            self.rows.insert(write.key, Row { revision, value });
        }
        Commit::Done
    }

    /// Returns an object.
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
        self.lists.push_back((now, hosts));
    }

    /// Returns the host list as it was `lag` ago.
    #[must_use]
    pub fn hosts(&self, now: Instant, lag: Duration) -> Hosts {
        let past = self.lists.iter().rev().find(|(at, _)| *at + lag <= now);
        let empty = || Hosts {
            live: Vec::new(),
            leaving: Vec::new(),
        };
        past.or(self.lists.front())
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
