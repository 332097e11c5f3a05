//! One backend server of a group: last status, load and idle connections.

use fulmargw_backend::connection::{Cancellation, Error, Kind};
use fulmargw_decision::{
    promotion::{self, Reachability},
    queue::Urgency,
};
use fulmargw_model::{
    backend_server::{Server, Status},
    position::Term,
    request::Id,
};
use std::{mem, sync::Arc};
use tokio::{
    sync::{Notify, mpsc, oneshot},
    time::Instant,
};
use tokio_util::sync::CancellationToken;

/// A status of a server. The server took it at some time between the request and the response.
#[derive(Debug, Clone, Copy)]
pub struct Observation {
    /// Status that the server returned.
    pub status: Status,
    /// Time at which the request was sent.
    pub requested_at: Instant,
    /// Time at which the response arrived.
    pub responded_at: Instant,
}

/// Command for the control connection of a server. A dropped reply means that the server cannot
/// be reached.
#[derive(Debug)]
pub enum Command {
    /// Requests a status that is taken after the command was sent.
    Status(oneshot::Sender<Observation>),
    /// Requests the promise of a term.
    Fence(Term, oneshot::Sender<Result<Observation, Error>>),
    /// Makes the server the primary of a term.
    Promote(Term, oneshot::Sender<Result<Observation, Error>>),
    /// Cancels an attempt of a request, unless it committed.
    Cancel(Id, u64, oneshot::Sender<Result<Cancellation, Error>>),
}

/// An idle work connection.
#[derive(Debug)]
pub struct Idle<K> {
    /// The connection.
    pub connection: K,
    /// Term to which the connection is bound; 0 only allows reads.
    pub term: Term,
    /// Time of the last response on the connection.
    pub responded_at: Instant,
}

/// Number of connections and slots in use.
#[derive(Debug, Clone, Copy, Default)]
pub struct Load {
    /// Statements that run.
    pub running: u32,
    /// Connections that workers and open transactions use.
    pub checked_out: u32,
    /// Connections that are pinned by open transactions or run a begin; they are included in
    /// `checked_out`.
    pub pinned: u32,
    /// Connections that are being opened.
    pub opening: u32,
    /// Closed connections that the server may still count.
    pub closing: u32,
}

/// A backend server of a group.
#[derive(Debug)]
pub struct Backend<K> {
    /// Configuration of the server.
    pub server: Server,
    /// Last status.
    pub observation: Option<Observation>,
    /// How the server responds to the probes.
    pub reachability: Reachability,
    /// Time at which the current failure was noticed.
    pub failing_since: Option<Instant>,
    /// Time at which a read last waited in vain for the server to apply its position.
    pub lagged_at: Option<Instant>,
    /// Idle work connections.
    pub idle: Vec<Idle<K>>,
    /// Connections and slots in use.
    pub load: Load,
    /// Maximum number of connections of this host, including the control connection.
    pub connection_cap: u32,
    /// Term in which the server is, or is about to become, the primary; 0 for a replica. New
    /// work connections are bound to it.
    pub primary_term: Term,
    /// Cancelled to abort the statements that run, when they can no longer succeed or this host
    /// has lost its share.
    pub abort: CancellationToken,
    /// Cancelled when the server leaves the configuration.
    pub stop: CancellationToken,
    /// Sends commands to the monitor.
    pub commands: mpsc::UnboundedSender<Command>,
    /// Wakes the monitor.
    pub wake_monitor: Arc<Notify>,
    /// Wakes the pool.
    pub wake_pool: Arc<Notify>,
}

/// Next changes to the pool of a server.
#[derive(Debug)]
pub struct Plan<K> {
    /// Connections to close; they are already counted as closing.
    pub close: Vec<K>,
    /// Number of connections to open; they are already counted as opening.
    pub open: u32,
    /// Term to which the new connections are bound.
    pub term: Term,
}

impl<K> Backend<K> {
    /// Creates a server that was not probed yet.
    pub fn new(server: Server, commands: mpsc::UnboundedSender<Command>) -> Self {
        Self {
            server,
            observation: None,
            reachability: Reachability::Unknown,
            failing_since: None,
            lagged_at: None,
            idle: Vec::new(),
            load: Load::default(),
            connection_cap: 0,
            primary_term: Term(0),
            abort: CancellationToken::new(),
            stop: CancellationToken::new(),
            commands,
            wake_monitor: Arc::new(Notify::new()),
            wake_pool: Arc::new(Notify::new()),
        }
    }

    /// Returns the last status.
    pub fn status(&self) -> Option<Status> {
        self.observation.map(|observation| observation.status)
    }

    /// Returns the input of the promotion decision.
    pub fn promotion_backend(&self) -> promotion::Backend {
        promotion::Backend {
            reachability: self.reachability,
            status: self.status(),
            draining: self.server.leaving,
        }
    }

    /// Returns the number of connections that count against the cap. One is always counted for
    /// the control connection.
    pub fn open(&self) -> u32 {
        let Load {
            checked_out,
            opening,
            closing,
            ..
        } = self.load;
        1 + self.idle_count() + checked_out + opening + closing
    }

    /// Returns how many connections must be closed to stay within the cap.
    pub fn surplus(&self) -> u32 {
        let staying = self.open() - self.load.closing;
        staying.saturating_sub(self.connection_cap)
    }

    fn idle_count(&self) -> u32 {
        u32::try_from(self.idle.len()).unwrap_or(u32::MAX)
    }

    /// Aborts the statements that run on the server; later ones are not affected.
    pub fn abort_running(&mut self) {
        mem::replace(&mut self.abort, CancellationToken::new()).cancel();
    }

    /// Returns the index of an idle connection for a request, if the request may use one now.
    ///
    /// One work connection is reserved for urgent requests, and one is not given to
    /// transactions, which may pin it for long.
    pub fn find_idle(&self, term: Option<Term>, urgency: Urgency, begins: bool) -> Option<usize> {
        if self.load.running >= self.server.slots {
            return None;
        }
        let total = self.idle_count() + self.load.checked_out;
        let is_last = self.idle.len() < 2 && total > 1;
        if is_last && urgency == Urgency::Browse {
            return None;
        }
        if begins && total > 1 && self.load.pinned + 1 >= total {
            return None;
        }
        if let Some(term) = term {
            return self.idle.iter().rposition(|idle| idle.term == term);
        }
        // Reads prefer connections that are not bound to a term, to keep the others for writes.
        let unbound = self.idle.iter().rposition(|idle| idle.term == Term(0));
        unbound.or(self.idle.len().checked_sub(1))
    }

    /// Checks out an idle connection and takes a slot; `begins` states whether a transaction may
    /// pin the connection afterwards.
    pub fn check_out(&mut self, index: usize, begins: bool) -> Idle<K> {
        self.load.running += 1;
        self.load.checked_out += 1;
        self.load.pinned += u32::from(begins);
        self.idle.remove(index)
    }

    /// Records what the failure of a task shows about the server, and requests a new status.
    pub fn record_error(&mut self, kind: &Kind, term: Term) {
        if *kind == Kind::Lagging {
            self.lagged_at = Some(Instant::now());
        }
        let replaced = self.status().is_some_and(|status| status.term <= term);
        if *kind == Kind::WrongTerm && term != Term(0) && replaced {
            // The last status is outdated, so it must not be used to choose the primary.
            self.observation = None;
        }
        self.request_probe();
    }

    /// Has the monitor request a new status at once.
    pub fn request_probe(&self) {
        let (reply, _) = oneshot::channel();
        // The monitor has ended if the server left the configuration.
        let _ = self.commands.send(Command::Status(reply));
    }

    /// Frees the slot of a finished statement.
    pub fn free_slot(&mut self) {
        self.load.running = self.load.running.saturating_sub(1);
    }

    /// Checks out the idle connection that has been without a response for longest, if its last
    /// response was not after `since`.
    pub fn check_out_unused(&mut self, since: Instant) -> Option<Idle<K>> {
        let indices = 0..self.idle.len();
        let oldest = indices.min_by_key(|index| self.idle[*index].responded_at)?;
        if self.idle[oldest].responded_at > since {
            return None;
        }
        self.load.checked_out += 1;
        Some(self.idle.remove(oldest))
    }

    /// Checks in a usable connection; returns it, counted as closing, if it must be closed.
    pub fn check_in(&mut self, connection: K, term: Term) -> Option<K> {
        self.load.checked_out = self.load.checked_out.saturating_sub(1);
        let surplus = self.open() >= self.connection_cap;
        let has_current_term = term == Term(0) || term == self.primary_term;
        if surplus || !has_current_term {
            self.load.closing += 1;
            return Some(connection);
        }
        self.idle.push(Idle {
            connection,
            term,
            responded_at: Instant::now(),
        });
        None
    }

    /// Counts a checked-out connection as closing.
    pub fn discard(&mut self) {
        self.load.checked_out = self.load.checked_out.saturating_sub(1);
        self.load.closing += 1;
    }

    /// Returns all idle connections, counted as closing.
    pub fn close_idle(&mut self) -> Vec<K> {
        self.close_where(|_| true, u32::MAX)
    }

    /// Decides which connections to close and how many to open.
    pub fn plan(&mut self) -> Plan<K> {
        let term = self.primary_term;
        if self.connection_cap == 0 {
            return self.plan_close(self.idle_count());
        }
        let mut close = self.close_where(|idle| idle != Term(0) && idle != term, u32::MAX);
        let surplus = self.surplus();
        close.extend(self.close_where(|idle| idle != term, surplus));
        let surplus = self.surplus();
        close.extend(self.close_where(|_| true, surplus));
        let responsive = self.reachability == Reachability::Answering;
        let missing = if responsive { self.missing() } else { 0 };
        let available = self.connection_cap.saturating_sub(self.open());
        let open = missing.min(available);
        if missing > 0 && available == 0 && self.load.closing == 0 && term != Term(0) {
            close.extend(self.close_where(|idle| idle == Term(0), 1));
        }
        self.load.opening += open;
        Plan { close, open, term }
    }

    /// Returns how many connections that are bound to the current term are missing.
    ///
    /// If the cap allows more connections than the slots and a transaction use, a replica leaves
    /// room for one. After its promotion, the first connection of the new term is then opened
    /// before one of the old ones is closed.
    fn missing(&self) -> u32 {
        let is_primary = self.primary_term != Term(0);
        let maximum = self.connection_cap - 1;
        let wanted = if is_primary {
            maximum
        } else {
            maximum.min(
                self.connection_cap
                    .saturating_sub(2)
                    .max(self.server.slots + 1),
            )
        };
        let fits = |idle: &&Idle<K>| !is_primary || idle.term == self.primary_term;
        let ready = self.idle.iter().filter(fits).count();
        let ready = u32::try_from(ready).unwrap_or(u32::MAX);
        wanted.saturating_sub(ready + self.load.checked_out + self.load.opening)
    }

    /// Plans to close at most `maximum` idle connections and to open none.
    fn plan_close(&mut self, maximum: u32) -> Plan<K> {
        Plan {
            close: self.close_where(|_| true, maximum),
            open: 0,
            term: self.primary_term,
        }
    }

    /// Returns at most `maximum` idle connections with matching terms, counted as closing.
    fn close_where(&mut self, matches: impl Fn(Term) -> bool, maximum: u32) -> Vec<K> {
        let mut closed = Vec::new();
        let mut left = maximum;
        let mut index = 0;
        while left > 0 && index < self.idle.len() {
            if matches(self.idle[index].term) {
                closed.push(self.idle.remove(index).connection);
                left -= 1;
            } else {
                index += 1;
            }
        }
        self.load.closing += u32::try_from(closed.len()).unwrap_or(u32::MAX);
        closed
    }
}
