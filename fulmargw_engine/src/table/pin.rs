//! Connections that open transactions pin to their callers.

use crate::table::server::ServerId;
use fulmargw_model::{name::Name, position::Term, request::Id};
use std::{collections::BTreeMap, mem, time::Duration};
use tokio::time::Instant;

/// Callers and the connections that their open transactions pin.
#[derive(Debug)]
pub struct Pins<K> {
    callers: BTreeMap<u64, State<K>>,
    next_caller: u64,
}

/// Transaction state of a caller.
#[derive(Debug)]
enum State<K> {
    /// No transaction is open.
    NotOpen,
    /// The transaction waits for the caller's next statement.
    Idle(Pin, K),
    /// A worker runs a statement of the transaction.
    Running(Pin),
    /// The transaction was aborted, and the caller was not notified yet.
    Aborted,
}

/// An open transaction, which pins its connection to the caller.
#[derive(Debug, Clone)]
pub struct Pin {
    /// Server on which the transaction is open.
    pub server_id: ServerId,
    /// Term to which the connection is bound.
    pub term: Term,
    /// Identifier of the request that began the transaction.
    pub id: Id,
    /// Attempt number under which the server records the request; `None` if the transaction is
    /// read-only.
    pub attempt: Option<u64>,
    /// Client account of the caller.
    pub account: Name,
    /// Time of the begin.
    pub started_at: Instant,
}

/// Transaction state that the next request of a caller finds.
#[derive(Debug, Clone)]
pub enum Lookup {
    /// No transaction is open.
    NotOpen,
    /// A transaction is open.
    Open(Pin),
    /// The transaction was aborted since the last request.
    Aborted,
}

impl<K> Pins<K> {
    /// Creates a table without callers.
    pub fn new() -> Self {
        Self {
            callers: BTreeMap::new(),
            next_caller: 1,
        }
    }

    /// Adds a caller and returns its number.
    pub fn add_caller(&mut self) -> u64 {
        let caller = self.next_caller;
        self.next_caller += 1;
        self.callers.insert(caller, State::NotOpen);
        caller
    }

    /// Removes a caller and returns the connection of its open transaction, unless a worker uses
    /// it.
    pub fn remove_caller(&mut self, caller: u64) -> Option<(Pin, K)> {
        pinned(self.callers.remove(&caller)?)
    }

    /// Returns the transaction state of a caller, and resets it if the transaction was aborted.
    pub fn lookup(&mut self, caller: u64) -> Lookup {
        let Some(state) = self.callers.get_mut(&caller) else {
            return Lookup::NotOpen;
        };
        match state {
            State::NotOpen => Lookup::NotOpen,
            State::Idle(pin, _) | State::Running(pin) => Lookup::Open(pin.clone()),
            State::Aborted => {
                *state = State::NotOpen;
                Lookup::Aborted
            }
        }
    }

    /// Checks out the pinned connection of a caller for a statement.
    pub fn check_out(&mut self, caller: u64) -> Option<(Pin, K)> {
        let state = self.callers.get_mut(&caller)?;
        let State::Idle(pin, _) = state else {
            return None;
        };
        let pin = pin.clone();
        pinned(mem::replace(state, State::Running(pin)))
    }

    /// Pins a connection with an open transaction; `was_pinned` states whether it was pinned
    /// before the statement, and is false for the begin.
    ///
    /// Returns the connection if the caller was removed or its transaction ended meanwhile.
    pub fn check_in(
        &mut self,
        caller: u64,
        pin: Pin,
        connection: K,
        was_pinned: bool,
    ) -> Option<K> {
        let Some(state) = self.callers.get_mut(&caller) else {
            return Some(connection);
        };
        let running = matches!(state, State::Running(_));
        if running != was_pinned || matches!(state, State::Idle(..)) {
            return Some(connection);
        }
        *state = State::Idle(pin, connection);
        None
    }

    /// Marks the transaction of a caller as ended, and returns its connection unless a worker
    /// uses it.
    pub fn clear(&mut self, caller: u64) -> Option<(Pin, K)> {
        let state = self.callers.get_mut(&caller)?;
        pinned(mem::replace(state, State::NotOpen))
    }

    /// Aborts the idle transactions on a server and returns their connections.
    pub fn abort_on_server(&mut self, server_id: &ServerId) -> Vec<(Pin, K)> {
        self.abort_where(|pin| pin.server_id == *server_id)
    }

    /// Aborts the idle transactions that have lasted for `limit`, and returns their connections.
    pub fn abort_expired(&mut self, now: Instant, limit: Duration) -> Vec<(Pin, K)> {
        self.abort_where(|pin| now.saturating_duration_since(pin.started_at) >= limit)
    }

    /// Returns the open transactions by caller.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &Pin)> {
        self.callers
            .iter()
            .filter_map(|(caller, state)| match state {
                State::Idle(pin, _) | State::Running(pin) => Some((*caller, pin)),
                State::NotOpen | State::Aborted => None,
            })
    }

    fn abort_where(&mut self, mut matches: impl FnMut(&Pin) -> bool) -> Vec<(Pin, K)> {
        let mut aborted = Vec::new();
        for state in self.callers.values_mut() {
            if matches!(state, State::Idle(pin, _) if matches(pin)) {
                aborted.extend(pinned(mem::replace(state, State::Aborted)));
            }
        }
        aborted
    }
}

fn pinned<K>(state: State<K>) -> Option<(Pin, K)> {
    match state {
        State::Idle(pin, connection) => Some((pin, connection)),
        State::NotOpen | State::Running(_) | State::Aborted => None,
    }
}
