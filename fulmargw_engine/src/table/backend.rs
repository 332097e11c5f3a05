//! One backend server: status, load and idle connections.

use fulmargw_backend::connection::{Error, Kind, Settlement};
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

/// A status and the times between which it was true.
#[derive(Debug, Clone, Copy)]
pub struct Observation {
    /// Answer of the server.
    pub status: Status,
    /// Time at which the question was sent.
    pub asked: Instant,
    /// Time at which the answer came.
    pub answered: Instant,
}

/// Work for the control connection of a server. A dropped reply means that the server cannot
/// be reached.
#[derive(Debug)]
pub enum Order {
    /// Asks for a status that is begun after the order.
    Status(oneshot::Sender<Observation>),
    /// Asks for the promise of a term.
    Fence(Term, oneshot::Sender<Result<Observation, Error>>),
    /// Makes the server the primary of a term.
    Promote(Term, oneshot::Sender<Result<Observation, Error>>),
    /// Settles an attempt of a request.
    Cancel(Id, u64, oneshot::Sender<Result<Settlement, Error>>),
}

/// An idle connection and the term to which it is bound.
#[derive(Debug)]
pub struct Idle<K> {
    /// The connection.
    pub connection: K,
    /// Its term; 0 only allows reads.
    pub term: Term,
    /// Time of its last answer.
    pub answered: Instant,
}

/// Connections and slots in use.
#[derive(Debug, Clone, Copy, Default)]
pub struct Load {
    /// Statements that run.
    pub running: u32,
    /// Connections of workers and open transactions.
    pub lent: u32,
    /// Connections of open transactions and of their begins, which are part of `lent`.
    pub pinned: u32,
    /// Connections that are being opened.
    pub opening: u32,
    /// Connections that the server may still count although they were closed.
    pub closing: u32,
}

/// A backend server of a group.
#[derive(Debug)]
pub struct Backend<K> {
    /// Configuration of the server.
    pub server: Server,
    /// Last status.
    pub seen: Option<Observation>,
    /// Answers to the probes.
    pub reach: Reachability,
    /// Time at which the present failure was noticed.
    pub failing: Option<Instant>,
    /// Time at which a read last waited for the applied position in vain.
    pub behind: Option<Instant>,
    /// Idle connections for work.
    pub idle: Vec<Idle<K>>,
    /// Connections and slots in use.
    pub load: Load,
    /// Connections that this host may hold, the control connection included.
    pub cap: u32,
    /// Term in which the server is, or is about to become, the primary; 0 for a replica.
    pub term: Term,
    /// Cancelled when work on the server can no longer succeed or may no longer go on.
    pub cut: CancellationToken,
    /// Cancelled when the server leaves the configuration.
    pub stop: CancellationToken,
    /// Receives work for the control connection.
    pub orders: mpsc::UnboundedSender<Order>,
    /// Wakes the monitor.
    pub nudge: Arc<Notify>,
    /// Wakes the pool.
    pub refill: Arc<Notify>,
}

/// What the pool must do next.
#[derive(Debug)]
pub struct Plan<K> {
    /// Connections to close; they are already counted as closing.
    pub close: Vec<K>,
    /// Number of connections to open; they are already counted as opening.
    pub open: u32,
    /// Term of the connections to open.
    pub term: Term,
}

impl<K> Backend<K> {
    /// Makes a server that was not probed yet.
    pub fn new(server: Server, orders: mpsc::UnboundedSender<Order>) -> Self {
        Self {
            server,
            seen: None,
            reach: Reachability::Unknown,
            failing: None,
            behind: None,
            idle: Vec::new(),
            load: Load::default(),
            cap: 0,
            term: Term(0),
            cut: CancellationToken::new(),
            stop: CancellationToken::new(),
            orders,
            nudge: Arc::new(Notify::new()),
            refill: Arc::new(Notify::new()),
        }
    }

    /// Returns the last status.
    pub fn status(&self) -> Option<Status> {
        self.seen.map(|seen| seen.status)
    }

    /// Returns what the promotion decision needs.
    pub fn view(&self) -> promotion::Backend {
        promotion::Backend {
            reach: self.reach,
            status: self.status(),
            draining: self.server.leaving,
        }
    }

    /// Returns the number of open connections, with one for the control connection.
    pub fn open(&self) -> u32 {
        let Load {
            lent,
            opening,
            closing,
            ..
        } = self.load;
        1 + self.idle_count() + lent + opening + closing
    }

    /// Returns how many connections must be closed to hold the limit.
    pub fn surplus(&self) -> u32 {
        let staying = self.open() - self.load.closing;
        staying.saturating_sub(self.cap)
    }

    fn idle_count(&self) -> u32 {
        u32::try_from(self.idle.len()).unwrap_or(u32::MAX)
    }

    /// Stops the work that runs on the server; later work is not affected.
    pub fn cut(&mut self) {
        mem::replace(&mut self.cut, CancellationToken::new()).cancel();
    }

    /// Returns the place of an idle connection for a request, if it may have one now.
    ///
    /// One work connection is kept for urgent requests, and one is not given to transactions,
    /// which may hold it for long.
    pub fn lendable(&self, term: Option<Term>, urgency: Urgency, begins: bool) -> Option<usize> {
        if self.load.running >= self.server.slots {
            return None;
        }
        let work = self.idle_count() + self.load.lent;
        let last = self.idle.len() < 2 && work > 1;
        if last && urgency == Urgency::Browse {
            return None;
        }
        if begins && work > 1 && self.load.pinned + 1 >= work {
            return None;
        }
        if let Some(term) = term {
            return self.idle.iter().rposition(|idle| idle.term == term);
        }
        // A connection without a term is used for reads first, to keep the others for writes.
        let free = self.idle.iter().rposition(|idle| idle.term == Term(0));
        free.or(self.idle.len().checked_sub(1))
    }

    /// Takes an idle connection and a slot; `begins` if a transaction may keep the connection.
    pub fn lend(&mut self, place: usize, begins: bool) -> Idle<K> {
        self.load.running += 1;
        self.load.lent += 1;
        self.load.pinned += u32::from(begins);
        self.idle.remove(place)
    }

    /// Notes what the failure of a task tells about the server, and asks for a new status.
    pub fn note(&mut self, kind: &Kind, term: Term) {
        if *kind == Kind::Behind {
            self.behind = Some(Instant::now());
        }
        let replaced = self.status().is_some_and(|status| status.term <= term);
        if *kind == Kind::WrongTerm && term != Term(0) && replaced {
            // The last status is out of date, so it must not be used to choose the primary.
            self.seen = None;
        }
        self.probe();
    }

    /// Asks for a new status at once.
    pub fn probe(&self) {
        let (reply, _) = oneshot::channel();
        // The monitor may have ended with the configuration of the server.
        let _ = self.orders.send(Order::Status(reply));
    }

    /// Frees the slot of a finished statement.
    pub fn free_slot(&mut self) {
        self.load.running = self.load.running.saturating_sub(1);
    }

    /// Takes the idle connection that answered least recently, if that was before `since`.
    pub fn lend_for_check(&mut self, since: Instant) -> Option<Idle<K>> {
        let places = 0..self.idle.len();
        let oldest = places.min_by_key(|place| self.idle[*place].answered)?;
        if self.idle[oldest].answered > since {
            return None;
        }
        self.load.lent += 1;
        Some(self.idle.remove(oldest))
    }

    /// Takes back a connection that is in order; returns it if it must be closed.
    pub fn restore(&mut self, connection: K, term: Term) -> Option<K> {
        self.load.lent = self.load.lent.saturating_sub(1);
        let surplus = self.open() >= self.cap;
        let bound = term == Term(0) || term == self.term;
        if surplus || !bound {
            self.load.closing += 1;
            return Some(connection);
        }
        self.idle.push(Idle {
            connection,
            term,
            answered: Instant::now(),
        });
        None
    }

    /// Notes that a lent connection is closed.
    pub fn discard(&mut self) {
        self.load.lent = self.load.lent.saturating_sub(1);
        self.load.closing += 1;
    }

    /// Moves all idle connections to the closing ones.
    pub fn close_idle(&mut self) -> Vec<K> {
        self.close_where(|_| true, u32::MAX)
    }

    /// Decides which connections to close and how many to open.
    pub fn plan(&mut self) -> Plan<K> {
        let term = self.term;
        if self.cap == 0 {
            return self.closing(self.idle_count());
        }
        let mut close = self.close_where(|idle| idle != Term(0) && idle != term, u32::MAX);
        let surplus = self.surplus();
        close.extend(self.close_where(|idle| idle != term, surplus));
        let surplus = self.surplus();
        close.extend(self.close_where(|_| true, surplus));
        let usable = self.reach == Reachability::Answering;
        let missing = if usable { self.missing() } else { 0 };
        let room = self.cap.saturating_sub(self.open());
        let open = missing.min(room);
        if missing > 0 && room == 0 && self.load.closing == 0 && term != Term(0) {
            close.extend(self.close_where(|idle| idle == Term(0), 1));
        }
        self.load.opening += open;
        Plan { close, open, term }
    }

    /// Returns how many connections of the present term are missing.
    ///
    /// A replica leaves room for one more connection if one is left above those that its slots
    /// and a transaction use. After its promotion the first connection of the new term is then
    /// opened before one of the old ones is closed.
    fn missing(&self) -> u32 {
        let primary = self.term != Term(0);
        let most = self.cap - 1;
        let wanted = if primary {
            most
        } else {
            most.min(self.cap.saturating_sub(2).max(self.server.slots + 1))
        };
        let fits = |idle: &&Idle<K>| !primary || idle.term == self.term;
        let ready = self.idle.iter().filter(fits).count();
        let ready = u32::try_from(ready).unwrap_or(u32::MAX);
        wanted.saturating_sub(ready + self.load.lent + self.load.opening)
    }

    fn closing(&mut self, most: u32) -> Plan<K> {
        Plan {
            close: self.close_where(|_| true, most),
            open: 0,
            term: self.term,
        }
    }

    fn close_where(&mut self, matches: impl Fn(Term) -> bool, most: u32) -> Vec<K> {
        let mut closed = Vec::new();
        let mut left = most;
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
