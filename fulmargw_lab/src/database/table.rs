//! The state that results from applying the log.

use super::entry::{Body, Effect, Entry, Record};
use fulmargw_model::position::Position;
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};
use tokio::time::Instant;

/// Time for which records of requests are kept, as design section 2.6 demands.
pub const RECORD_RETENTION: Duration = Duration::from_mins(15);

/// Keys, values and request records after the applied entries.
#[derive(Debug, Default)]
pub struct Table {
    cells: BTreeMap<String, Cell>,
    committed: HashMap<String, Position>,
    cancelled: HashMap<String, Cancellation>,
    retained: VecDeque<(Instant, String, Position)>,
    applied: Position,
}

#[derive(Debug)]
struct Cell {
    value: String,
    changed: u64,
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

    /// Returns a value.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.cells.get(key).map(|cell| cell.value.as_str())
    }

    /// Returns the index of the entry that last changed a key; 0 if it does not exist.
    pub fn changed(&self, key: &str) -> u64 {
        self.cells.get(key).map_or(0, |cell| cell.changed)
    }

    /// Returns all keys and values.
    pub fn scan(&self) -> impl Iterator<Item = (&str, &str)> {
        self.cells
            .iter()
            .map(|(key, cell)| (key.as_str(), cell.value.as_str()))
    }

    /// Returns the position at which a request committed.
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
                    self.change(effect, position.index);
                }
                if let Some(record) = record {
                    self.committed.insert(record.id.clone(), position);
                    self.retained.push_back((now, record.id.clone(), position));
                }
            }
            Body::Cancel(record) => self.cancel(record, position, now),
        }
        self.applied = position;
        self.prune(now);
    }

    fn change(&mut self, effect: &Effect, index: u64) {
        let key = effect.key().to_owned();
        let old = self.cells.remove(&key).map(|cell| cell.value);
        if let Some(value) = effect.apply(old) {
            let changed = index;
            self.cells.insert(key, Cell { value, changed });
        }
    }

    fn cancel(&mut self, record: &Record, position: Position, now: Instant) {
        let attempt = record.attempt;
        let cancellation = Cancellation { attempt, position };
        self.cancelled.insert(record.id.clone(), cancellation);
        self.retained.push_back((now, record.id.clone(), position));
    }

    fn prune(&mut self, now: Instant) {
        while let Some((at, id, position)) = self.retained.front()
            && now.duration_since(*at) > RECORD_RETENTION
        {
            if self.committed.get(id) == Some(position) {
                self.committed.remove(id);
            }
            if self.cancelled.get(id).map(|entry| entry.position) == Some(*position) {
                self.cancelled.remove(id);
            }
            self.retained.pop_front();
        }
    }
}
