//! A backend server as this host sees it, with its connections.

use super::{adaptive::Adaptation, exclusion::ColdState};
use crate::{
    backend::Server,
    connection::Connection,
    dialect::Dialect,
    health::Health,
    process::Proof,
    routing::Availability,
    scheduling::{Hold, Holds},
};
use fulmargw_decision::hold::Connections;
use fulmargw_model::name::Name;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// A backend server with this host's connections to it.
#[derive(Debug)]
pub struct Backend<D: Dialect> {
    /// Its registry entry.
    pub server: Server,
    /// Its health, from its responses to this host.
    pub health: Health,
    /// Time since which it has been registered as draining.
    pub draining_since: Option<Instant>,
    /// Number of statements of this host that run there.
    pub running: u32,
    /// Number of connections that are open or being opened.
    pub open: u32,
    /// This host's shares of it.
    pub shares: Shares,
    /// Time of the last statement outside of an open transaction that this host ran as the holder of
    /// the server; `None` if it is not the holder.
    pub(super) last_used: Option<Instant>,
    /// Cancelled while the server gets nothing because its zone is evacuated.
    pub(super) gate: CancellationToken,
    /// Limit of the requests while the server is cold.
    pub(super) cold: Option<ColdState>,
    /// Time at which this host read its registry entry.
    pub(super) entered_at: Instant,
    /// What its responses say about its speed and failures, while limits follow them.
    pub(super) adaptation: Option<Adaptation>,
    /// What its responses say of the process that runs there.
    pub process: Proof,
    /// Idle connections, the least recently used one first.
    idle: Vec<Connection<D>>,
    /// Connections that open transactions hold.
    holds: Holds,
}

/// This host's shares of a server, by whether it is the holder of the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shares {
    /// Share while it is the holder.
    pub holder: Share,
    /// Share while another host is the holder.
    pub standby: Share,
}

/// The part of a server's connections and slots that one host may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// Maximum number of connections.
    pub connections: u32,
    /// Maximum number of statements at the same time.
    pub running: u32,
}

impl Share {
    /// Reports whether a connection that is no longer in use should stay open, out of `open` ones.
    ///
    /// While slots are free, only half of the share stays open: a server counts the connections of
    /// a host that lost power for some seconds, and the host needs new ones as soon as it is back.
    #[must_use]
    pub fn should_keep(&self, open: u32, has_free_slot: bool) -> bool {
        !has_free_slot || open <= self.connections.div_ceil(2)
    }
}

/// A connection that was checked out, or the permission to open one.
#[derive(Debug)]
pub enum Checkout<D: Dialect> {
    /// An idle connection.
    Idle(Box<Connection<D>>),
    /// A connection has to be opened; the idle one that it replaces, if any, is closed first.
    Open(Option<Box<Connection<D>>>),
}

impl<D: Dialect> Backend<D> {
    /// Creates the entry of a server whose registry entry is at most this old.
    pub(super) fn new(server: Server, age: Duration, shares: Shares) -> Self {
        Self {
            draining_since: server.is_draining.then(|| time_ago(age)),
            server,
            health: Health::new(),
            running: 0,
            open: 0,
            shares,
            last_used: None,
            gate: CancellationToken::new(),
            cold: None,
            entered_at: Instant::now(),
            adaptation: None,
            process: Proof::default(),
            idle: Vec::new(),
            holds: Holds::default(),
        }
    }

    /// Applies a newer registry entry, which is at most this old. If the server has restarted or its
    /// address has changed, closes the idle connections and resets the health.
    pub(super) fn replace(&mut self, server: Server, age: Duration) {
        let is_other_process = server.address != self.server.address
            || server.born_unix_ms != self.server.born_unix_ms;
        if is_other_process {
            self.close_idle();
            self.health = Health::new();
            self.adaptation = None;
            self.process = Proof::default();
        }
        if server.is_draining {
            self.draining_since.get_or_insert_with(|| time_ago(age));
        } else {
            self.draining_since = None;
        }
        self.entered_at = Instant::now();
        self.server = server;
    }

    /// Reports whether this host is the holder of the server.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.last_used.is_some()
    }

    /// Returns this host's current share of the server.
    #[must_use]
    pub fn share(&self) -> Share {
        if self.is_held() {
            self.shares.holder
        } else {
            self.shares.standby
        }
    }

    pub(super) fn availability(&self, account: &Name, now: Instant) -> Availability {
        if self.idle.iter().any(|idle| idle.account == *account) {
            Availability::Idle
        } else if !self.health.can_open(now) {
            Availability::Exhausted
        } else if self.open < self.share().connections || !self.idle.is_empty() {
            Availability::Openable
        } else {
            Availability::Exhausted
        }
    }

    /// Checks out a connection of an account, or the permission to open one.
    pub fn check_out(&mut self, account: &Name) -> Option<Checkout<D>> {
        while let Some(index) = self.idle.iter().rposition(|idle| idle.account == *account) {
            let connection = self.idle.remove(index);
            if !connection.is_stale() {
                self.running += 1;
                return Some(Checkout::Idle(Box::new(connection)));
            }
            self.open = self.open.saturating_sub(1);
        }
        let replaced = if self.open < self.share().connections {
            self.open += 1;
            None
        } else if self.idle.is_empty() {
            return None;
        } else {
            Some(Box::new(self.idle.remove(0)))
        };
        self.running += 1;
        Some(Checkout::Open(replaced))
    }

    /// Counts a connection as held by an open transaction of an account until the returned value is
    /// dropped.
    pub fn hold(&mut self, account: &Name) -> Hold {
        self.holds.add(account)
    }

    /// Returns how many connections there are, and how many of them an account holds.
    #[must_use]
    pub fn connections(&self, account: &Name) -> Connections {
        Connections {
            limit: self.share().connections,
            open: self.open,
            held: self.holds.count(account),
        }
    }

    /// Returns the number of connections that each account holds.
    #[must_use]
    pub fn held(&self) -> BTreeMap<Name, u32> {
        self.holds.counts()
    }

    /// Counts a connection that is about to be opened. Returns `false` if none may be opened now.
    pub fn reserve_connection(&mut self, now: Instant) -> bool {
        let may_open = self.health.can_open(now) && self.open < self.share().connections;
        self.open += u32::from(may_open);
        may_open
    }

    /// Takes an idle connection of any account.
    pub fn take_idle(&mut self) -> Option<Connection<D>> {
        while let Some(connection) = self.idle.pop() {
            if !connection.is_stale() {
                return Some(connection);
            }
            self.open = self.open.saturating_sub(1);
        }
        None
    }

    /// Takes the idle connection that has been open for the longest time, of any account.
    pub fn take_oldest_idle(&mut self) -> Option<Connection<D>> {
        let count = self.idle.len();
        self.idle.retain(|connection| !connection.is_stale());
        let closed = u32::try_from(count - self.idle.len()).unwrap_or(u32::MAX);
        self.open = self.open.saturating_sub(closed);
        let idle = self.idle.iter().enumerate();
        let (oldest, _) = idle.min_by_key(|(_, connection)| connection.tenure.since())?;
        Some(self.idle.remove(oldest))
    }

    /// Checks in a connection that was opened without being counted.
    pub fn adopt(&mut self, connection: Connection<D>) {
        self.open += 1;
        self.check_in(connection);
    }

    /// Checks in a connection, or closes the least recently used one if too many are open.
    ///
    /// Opening a connection takes a slot, so none is closed while all slots are in use.
    pub fn check_in(&mut self, mut connection: Connection<D>) {
        connection.hold = None;
        self.process.compare(&mut connection.tenure);
        let has_free_slot = self.running < self.server.slots;
        if connection.is_closed() {
            self.connection_closed();
            return;
        }
        if self.share().should_keep(self.open, has_free_slot) {
            self.idle.push(connection);
            return;
        }
        self.open = self.open.saturating_sub(1);
        if !self.idle.is_empty() {
            // Closes the least recently used connection.
            self.idle.remove(0);
            self.idle.push(connection);
        }
    }

    /// Records that a connection was closed.
    pub fn connection_closed(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Records that a statement no longer runs.
    pub fn statement_finished(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Closes the idle connections.
    pub fn close_idle(&mut self) {
        let closed = u32::try_from(self.idle.len()).unwrap_or(u32::MAX);
        self.idle.clear();
        self.open = self.open.saturating_sub(closed);
    }
}

/// Returns the time this long ago, or the present one if that is before the clock begins.
fn time_ago(age: Duration) -> Instant {
    let now = Instant::now();
    now.checked_sub(age).unwrap_or(now)
}
