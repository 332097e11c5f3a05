//! Connections that open transactions of callers hold.

use crate::table::server::Key;
use fulmargw_model::{name::Name, position::Term, request::Id};
use std::{collections::BTreeMap, mem, time::Duration};
use tokio::time::Instant;

/// Callers and the connections that their transactions hold.
#[derive(Debug)]
pub struct Pins<K> {
    callers: BTreeMap<u64, State<K>>,
    next: u64,
}

/// Transaction of a caller.
#[derive(Debug)]
enum State<K> {
    /// No transaction is open.
    Free,
    /// The transaction waits for the caller's next statement.
    Held(Hold, K),
    /// A worker runs a statement of the transaction.
    Busy(Hold),
    /// The transaction was rolled back, and the caller does not know yet.
    Lost,
}

/// What is known of an open transaction.
#[derive(Debug, Clone)]
pub struct Hold {
    /// Server on which it is open.
    pub key: Key,
    /// Term of the connection.
    pub term: Term,
    /// Identifier of the request that began it.
    pub id: Id,
    /// Attempt of the record; `None` if the transaction only reads.
    pub attempt: Option<u64>,
    /// Client account of the caller.
    pub account: Name,
    /// Time at which it began.
    pub began: Instant,
}

/// What a caller's next request meets.
#[derive(Debug, Clone)]
pub enum Met {
    /// No open transaction.
    Free,
    /// An open transaction.
    Open(Hold),
    /// A transaction that was rolled back.
    Lost,
}

impl<K> Pins<K> {
    /// Makes a table without callers.
    pub fn new() -> Self {
        Self {
            callers: BTreeMap::new(),
            next: 1,
        }
    }

    /// Registers a caller.
    pub fn open(&mut self) -> u64 {
        let caller = self.next;
        self.next += 1;
        self.callers.insert(caller, State::Free);
        caller
    }

    /// Forgets a caller and returns the connection of its open transaction.
    pub fn close(&mut self, caller: u64) -> Option<(Hold, K)> {
        held(self.callers.remove(&caller)?)
    }

    /// Returns what the caller's next request meets, and forgets a lost transaction.
    pub fn meet(&mut self, caller: u64) -> Met {
        let Some(state) = self.callers.get_mut(&caller) else {
            return Met::Free;
        };
        match state {
            State::Free => Met::Free,
            State::Held(hold, _) | State::Busy(hold) => Met::Open(hold.clone()),
            State::Lost => {
                *state = State::Free;
                Met::Lost
            }
        }
    }

    /// Takes the connection of a caller's transaction for a statement.
    pub fn take(&mut self, caller: u64) -> Option<(Hold, K)> {
        let state = self.callers.get_mut(&caller)?;
        let State::Held(hold, _) = state else {
            return None;
        };
        let hold = hold.clone();
        held(mem::replace(state, State::Busy(hold)))
    }

    /// Puts a connection with an open transaction, which is `known` from its begin on.
    ///
    /// Returns the connection if the caller has gone or ended the transaction meanwhile.
    pub fn put(&mut self, caller: u64, hold: Hold, connection: K, known: bool) -> Option<K> {
        let Some(state) = self.callers.get_mut(&caller) else {
            return Some(connection);
        };
        let busy = matches!(state, State::Busy(_));
        if busy != known || matches!(state, State::Held(..)) {
            return Some(connection);
        }
        *state = State::Held(hold, connection);
        None
    }

    /// Notes that no transaction of the caller is open, and returns its connection.
    pub fn release(&mut self, caller: u64) -> Option<(Hold, K)> {
        let state = self.callers.get_mut(&caller)?;
        held(mem::replace(state, State::Free))
    }

    /// Ends the transactions on a server that wait for their callers.
    pub fn revoke(&mut self, key: &Key) -> Vec<(Hold, K)> {
        self.lose(|hold| hold.key == *key)
    }

    /// Ends the transactions that wait for their callers and began too long ago.
    pub fn expire(&mut self, now: Instant, limit: Duration) -> Vec<(Hold, K)> {
        self.lose(|hold| now.saturating_duration_since(hold.began) >= limit)
    }

    /// Returns the open transactions.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &Hold)> {
        self.callers
            .iter()
            .filter_map(|(caller, state)| match state {
                State::Held(hold, _) | State::Busy(hold) => Some((*caller, hold)),
                State::Free | State::Lost => None,
            })
    }

    fn lose(&mut self, mut matches: impl FnMut(&Hold) -> bool) -> Vec<(Hold, K)> {
        let mut lost = Vec::new();
        for state in self.callers.values_mut() {
            if matches!(state, State::Held(hold, _) if matches(hold)) {
                lost.extend(held(mem::replace(state, State::Lost)));
            }
        }
        lost
    }
}

fn held<K>(state: State<K>) -> Option<(Hold, K)> {
    match state {
        State::Held(hold, connection) => Some((hold, connection)),
        State::Free | State::Busy(_) | State::Lost => None,
    }
}
