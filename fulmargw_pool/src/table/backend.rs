//! One backend server with its connections.

use crate::{
    backend::Server, connection::Connection, dialect::Dialect, health::Health,
    routing::Availability,
};
use fulmargw_model::name::Name;
use tokio::time::Instant;

/// One backend server.
#[derive(Debug)]
pub struct Backend<D: Dialect> {
    /// What the registry says of it.
    pub server: Server,
    /// What its answers say of it.
    pub health: Health,
    /// Time since which the registry says that it will leave.
    pub draining: Option<Instant>,
    /// Statements of this host that run there.
    pub running: u32,
    /// Connections that are open or about to be.
    pub open: u32,
    /// What this host may use of it.
    pub shares: Shares,
    /// Whether this host holds the service.
    pub(super) is_held: bool,
    idle: Vec<Connection<D>>,
}

/// What this host may use of a server, by whether it holds the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shares {
    /// While it runs statements of the service.
    pub holder: Share,
    /// While another host does.
    pub standby: Share,
}

/// What one host may use of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// Most connections.
    pub connections: u32,
    /// Most statements at the same time.
    pub running: u32,
}

impl Share {
    /// Reports whether a connection that is no longer in use stays open, out of `open` ones.
    ///
    /// Half of the share stays closed while slots are free: a server counts the connections of a
    /// host that lost power for seconds, and the host needs new ones as soon as it is back.
    #[must_use]
    pub fn should_keep(&self, open: u32, has_free_slot: bool) -> bool {
        !has_free_slot || open <= self.connections.div_ceil(2)
    }
}

/// A connection to use, or the permission to open one.
#[derive(Debug)]
pub enum Checkout<D: Dialect> {
    /// An idle connection.
    Idle(Box<Connection<D>>),
    /// A connection has to be opened; the idle one that it replaces is closed first.
    Open(Option<Box<Connection<D>>>),
}

impl<D: Dialect> Backend<D> {
    pub(super) fn new(server: Server, shares: Shares, is_held: bool) -> Self {
        Self {
            draining: server.is_draining.then(Instant::now),
            server,
            health: Health::new(),
            running: 0,
            open: 0,
            shares,
            is_held,
            idle: Vec::new(),
        }
    }

    /// Takes a newer entry of the registry; another life or address closes idle connections.
    pub(super) fn replace(&mut self, server: Server) {
        let is_other = server.address != self.server.address
            || server.born_unix_ms != self.server.born_unix_ms;
        if is_other {
            self.close_idle();
            self.health = Health::new();
        }
        if server.is_draining {
            self.draining.get_or_insert_with(Instant::now);
        } else {
            self.draining = None;
        }
        self.server = server;
    }

    /// Returns what this host may use of the server now.
    #[must_use]
    pub fn share(&self) -> Share {
        if self.is_held {
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

    /// Lends a connection of an account, or the permission to open one.
    pub fn check_out(&mut self, account: &Name) -> Option<Checkout<D>> {
        while let Some(place) = self.idle.iter().rposition(|idle| idle.account == *account) {
            let connection = self.idle.remove(place);
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

    /// Takes a connection that no transaction holds, whoever it was opened for.
    pub fn take_idle(&mut self) -> Option<Connection<D>> {
        while let Some(connection) = self.idle.pop() {
            if !connection.is_stale() {
                return Some(connection);
            }
            self.open = self.open.saturating_sub(1);
        }
        None
    }

    /// Takes back a connection for later use, or drops it if too many are open.
    ///
    /// Openable takes a slot, so no connection is dropped while all slots are in use.
    pub fn check_in(&mut self, connection: Connection<D>) {
        let has_free_slot = self.running < self.server.slots;
        if self.share().should_keep(self.open, has_free_slot) {
            self.idle.push(connection);
            return;
        }
        self.open = self.open.saturating_sub(1);
        if !self.idle.is_empty() {
            // The connection that was not used for the longest time goes.
            self.idle.remove(0);
            self.idle.push(connection);
        }
    }

    /// Counts a connection that is closed.
    pub fn connection_closed(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Counts a statement that no longer runs.
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
