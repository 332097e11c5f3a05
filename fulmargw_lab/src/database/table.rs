//! Data of a server: the result of applying the log.

use super::entry::{Body, Effect, Entry, Record};
use fulmargw_model::position::Position;
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};
use tokio::time::Instant;

/// Time for which records of requests are kept, as section 2.6 of `docs/design.md` requires.
pub const RECORD_RETENTION: Duration = Duration::from_mins(15);

/// Keys with their values, and the records of requests.
#[derive(Debug, Default)]
pub struct Table {
    cells: BTreeMap<String, Cell>,
    committed: HashMap<String, Position>,
    cancelled: HashMap<String, Cancellation>,
    /// Records of requests in the order in which they expire: time of application, identifier of
    /// the request and position of the entry.
    expiry_queue: VecDeque<(Instant, String, Position)>,
    applied: Position,
}

#[derive(Debug)]
struct Cell {
    value: String,
    /// Index of the entry that last changed the value.
    last_change: u64,
}

/// The greatest cancelled attempt of a request.
#[derive(Debug, Clone, Copy)]
pub struct Cancellation {
    /// Number of the attempt.
    pub attempt: u64,
    /// Position of the cancelling entry.
    pub position: Position,
}

impl Table {
    /// Returns the position of the last applied entry.
    pub fn applied(&self) -> Position {
        self.applied
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.cells.get(key).map(|cell| cell.value.as_str())
    }

    /// Returns the index of the entry that last changed a key; 0 if it does not exist.
    pub fn last_change(&self, key: &str) -> u64 {
        self.cells.get(key).map_or(0, |cell| cell.last_change)
    }

    /// Returns all keys and values.
    pub fn scan(&self) -> impl Iterator<Item = (&str, &str)> {
        self.cells
            .iter()
            .map(|(key, cell)| (key.as_str(), cell.value.as_str()))
    }

    /// Returns the position at which a request was committed.
    pub fn committed(&self, id: &str) -> Option<Position> {
        self.committed.get(id).copied()
    }

    /// Returns the greatest cancelled attempt of a request.
    pub fn cancelled(&self, id: &str) -> Option<Cancellation> {
        self.cancelled.get(id).copied()
    }

    /// Applies the entry at `position`, which follows the last applied one.
    pub fn apply(&mut self, entry: &Entry, position: Position, now: Instant) {
        match &entry.body {
            Body::Start => {}
            Body::Commit { effects, record } => {
                for effect in effects {
                    self.apply_effect(effect, position.index);
                }
                if let Some(record) = record {
                    self.committed.insert(record.id.clone(), position);
                    self.expiry_queue
                        .push_back((now, record.id.clone(), position));
                }
            }
            Body::Cancel(record) => self.apply_cancel(record, position, now),
        }
        self.applied = position;
        self.remove_expired(now);
    }

    fn apply_effect(&mut self, effect: &Effect, index: u64) {
        let key = effect.key().to_owned();
        let old = self.cells.remove(&key).map(|cell| cell.value);
        if let Some(value) = effect.apply(old) {
            let last_change = index;
            self.cells.insert(key, Cell { value, last_change });
        }
    }

    fn apply_cancel(&mut self, record: &Record, position: Position, now: Instant) {
        let attempt = record.attempt;
        let cancellation = Cancellation { attempt, position };
        self.cancelled.insert(record.id.clone(), cancellation);
        self.expiry_queue
            .push_back((now, record.id.clone(), position));
    }

    fn remove_expired(&mut self, now: Instant) {
        while let Some((applied_at, id, position)) = self.expiry_queue.front()
            && now.duration_since(*applied_at) > RECORD_RETENTION
        {
            if self.committed.get(id) == Some(position) {
                self.committed.remove(id);
            }
            if self
                .cancelled
                .get(id)
                .map(|cancellation| cancellation.position)
                == Some(*position)
            {
                self.cancelled.remove(id);
            }
            self.expiry_queue.pop_front();
        }
    }
}
