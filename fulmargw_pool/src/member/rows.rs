//! Member rows of the store, and what they mean after the store was restored from a copy.

use crate::store::{Era, Revision};
use fulmargw_model::name::Name;
use fulmargw_peer::report::Endpoint;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Prefix of the keys of member rows.
pub const KEY_PREFIX: &str = "member/";

/// Content of a member row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Addresses at which its peers reach it.
    pub endpoint: Endpoint,
    /// Identifier of this run of its process.
    pub incarnation: u64,
}

/// Time for which a removed host is remembered. It is longer than the age of the copies from which
/// the store is restored.
const REMOVED_RETENTION: Duration = Duration::from_mins(10);

/// Member row of a peer as this host last read it.
#[derive(Debug, Clone, Copy)]
pub struct Row {
    /// Identifier of the run of the peer's process that wrote it.
    pub incarnation: u64,
    /// Revision at which it was written.
    pub revision: Revision,
    /// Time at which this host first read this revision.
    pub read_at: Instant,
}

impl Row {
    /// Reports whether a row of the same host is not newer than this one, but comes from a copy from
    /// which the store was restored.
    fn is_copied_by(&self, record: &Record, revision: Revision) -> bool {
        record.incarnation == self.incarnation
            && revision.era > self.revision.era
            && revision.number <= self.revision.number
    }
}

/// What the member rows have shown across restorations of the store.
#[derive(Debug, Default)]
pub(super) struct Rows {
    /// Era of the store in which the rows were last read, and since when.
    era: Option<(Era, Instant)>,
    /// Last rows of removed hosts, and when they were removed.
    removed: BTreeMap<Name, (Row, Instant)>,
    /// Rows of removed hosts that a restoration brought back, with their revisions.
    brought_back: BTreeMap<Name, Revision>,
}

impl Rows {
    /// Returns since when this host has read the rows in the present era of the store.
    pub(super) fn era_since(&self) -> Option<Instant> {
        self.era.map(|(_, since)| since)
    }

    /// Starts to apply rows that were read, which include that of this host.
    pub(super) fn start(&mut self, rows: &BTreeMap<Name, (Record, Revision)>, now: Instant) {
        self.brought_back.clear();
        let era = rows.values().map(|(_, revision)| revision.era).max();
        let known = self.era.map(|(era, _)| era);
        if let Some(era) = era.filter(|_| era > known) {
            self.era = Some((era, now));
        }
    }

    /// Reports whether a row was copied before its host was removed, and came back when the store
    /// was restored.
    pub(super) fn is_brought_back(
        &mut self,
        name: &Name,
        record: &Record,
        revision: Revision,
    ) -> bool {
        let removed = self.removed.get(name);
        let is_copy = removed.is_some_and(|(last, _)| last.is_copied_by(record, revision));
        if is_copy {
            self.brought_back.insert(name.clone(), revision);
        }
        is_copy
    }

    /// Returns the hosts whose rows a restoration brought back, with the revisions of the rows.
    pub(super) fn brought_back(&self) -> impl Iterator<Item = (Name, Revision)> {
        let rows = self.brought_back.iter();
        rows.map(|(name, revision)| (name.clone(), *revision))
    }

    /// Reports whether a row that is missing may have been lost in a restoration within the last
    /// `within`.
    pub(super) fn may_be_lost(&self, row: Row, within: Duration, now: Instant) -> bool {
        self.era.is_some_and(|(era, since)| {
            row.revision.era < era && now.saturating_duration_since(since) < within
        })
    }

    /// Records the last rows of hosts that are removed now.
    pub(super) fn record_removed(&mut self, rows: impl Iterator<Item = (Name, Row)>, now: Instant) {
        self.removed
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < REMOVED_RETENTION);
        self.removed
            .extend(rows.map(|(name, row)| (name, (row, now))));
    }
}
