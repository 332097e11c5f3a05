//! Term, promised term and log of one backend server of a database group.
//!
//! A server keeps everything in memory. After a restart it is empty and has lost its promised
//! term, so it must not count towards a majority before it holds again what it may have
//! confirmed. It is recovering until as many other servers as make a majority of the group have
//! sent it their promised terms, and a primary of at least the greatest of these terms has
//! replicated its whole log to it. Until then it refuses connections with `57P03`, because its
//! status and its promised term mean nothing; `fence` fails, and a wait for a received position
//! does not complete.

use super::{
    entry::{Body, Entry, Log, Record},
    error::Error,
    table::Table,
    transaction::Transaction,
};
use fulmargw_model::{
    backend_server::{Role, Status},
    position::{Position, Term},
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Replicated state of one backend server. All methods are short and do no I/O.
#[derive(Debug)]
pub struct State {
    role: Role,
    term: Term,
    promised: Term,
    log: Log,
    table: Table,
    /// Time of the last message from a primary; the start of the server or the end of its own
    /// term if there was none since.
    last_contact: Instant,
    recovery: Option<Recovery>,
    /// Greatest index that each replica confirmed in the current term.
    match_indexes: BTreeMap<String, u64>,
}

/// Progress of the recovery after a restart.
#[derive(Debug)]
struct Recovery {
    /// Promised terms of the other servers that are not recovering themselves.
    promised_terms: BTreeMap<String, Term>,
    majority: usize,
}

/// A message from the primary to a replica; without entries it is a heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Append {
    /// Number of the message on its connection.
    pub sequence: u64,
    /// Term of the primary.
    pub term: Term,
    /// Position of the entry before the first of `entries`.
    pub previous: Position,
    /// Entries to append.
    pub entries: Vec<Entry>,
    /// Index of the last entry in the primary's log.
    pub last: u64,
}

/// The response of a replica to an [`Append`] message.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Acknowledgement {
    /// Number of the message that is acknowledged.
    pub sequence: u64,
    /// Whether the entries are in the replica's log.
    pub accepted: bool,
    /// Greatest promised term.
    pub promised: Term,
    /// If accepted, the last index that matches the primary's log; otherwise, the index after
    /// which the primary should send entries next.
    pub index: u64,
}

/// The response of a server to a recovering server that asks for its promised term.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Promise {
    /// Greatest promised term.
    pub promised: Term,
    /// Whether the sender is recovering too; its promised term then means nothing.
    pub recovering: bool,
}

/// The initial state of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Start {
    /// Primary of term 1 of a new group.
    Primary,
    /// Replica of a new group, which has nothing to recover.
    Replica,
    /// Empty server in a group that may hold data; the value is the number of servers in the
    /// group.
    Restarted(usize),
}

impl State {
    /// Creates the state of a server that starts now.
    #[must_use]
    pub fn new(start: Start, now: Instant) -> Self {
        let mut state = Self {
            role: Role::Replica,
            term: Term(0),
            promised: Term(0),
            log: Log::default(),
            table: Table::default(),
            last_contact: now,
            recovery: None,
            match_indexes: BTreeMap::new(),
        };
        match start {
            Start::Primary => {
                state.promised = Term(1);
                state.become_primary(Term(1), now);
            }
            Start::Replica => {}
            Start::Restarted(group_size) => {
                state.recovery = Some(Recovery {
                    promised_terms: BTreeMap::new(),
                    majority: group_size / 2 + 1,
                });
            }
        }
        state
    }

    /// Returns the status that `group_status` reports.
    #[must_use]
    pub fn status(&self, now: Instant) -> Status {
        let silence = match self.role {
            Role::Primary => Duration::ZERO,
            Role::Replica => now.duration_since(self.last_contact),
        };
        Status {
            role: self.role,
            term: self.term,
            promised: self.promised,
            received: self.log.last(),
            applied: self.table.applied(),
            silence,
        }
    }

    /// Returns the applied state.
    #[must_use]
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the log.
    #[must_use]
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Reports whether the server still waits for data that it lost in a restart.
    #[must_use]
    pub fn is_recovering(&self) -> bool {
        self.recovery.is_some()
    }

    /// Returns the term of which this server is the primary; `None` if it is a replica or has
    /// promised a greater term.
    #[must_use]
    pub fn primary_term(&self) -> Option<Term> {
        (self.role == Role::Primary && self.promised == self.term).then_some(self.term)
    }

    /// Checks that a connection that is bound to `connection_term` may be opened. Terms only
    /// grow, so a connection to a term that has ended is refused permanently.
    ///
    /// # Errors
    ///
    /// `57P03` if the server is recovering, `GR001` if it is not in that term.
    pub fn check_connect(&self, connection_term: Term) -> Result<(), Error> {
        if self.is_recovering() {
            return Err(Error::starting_up());
        }
        self.check_term(connection_term)
    }

    /// Checks that statements may run on a connection that is bound to `connection_term`; 0
    /// means that the connection is not bound to a term.
    ///
    /// # Errors
    ///
    /// `GR001` if the connection is bound to another term than the current one.
    pub fn check_term(&self, connection_term: Term) -> Result<(), Error> {
        let current = connection_term == self.term && self.promised == self.term;
        (connection_term == Term(0) || current)
            .then_some(())
            .ok_or_else(Error::wrong_term)
    }

    /// Checks that this server is the primary of the connection's term.
    ///
    /// # Errors
    ///
    /// `GR001` if it is not.
    pub fn check_primary(&self, connection_term: Term) -> Result<(), Error> {
        (self.primary_term() == Some(connection_term))
            .then_some(())
            .ok_or_else(Error::wrong_term)
    }

    /// Promises to refuse replication and commits of terms below `term`.
    ///
    /// # Errors
    ///
    /// `GR002` if a greater or equal term is already promised, or if the server is recovering.
    pub fn fence(&mut self, term: Term, now: Instant) -> Result<(), Error> {
        if term <= self.promised || self.is_recovering() {
            return Err(Error::promised(self.promised));
        }
        self.promised = term;
        if self.role == Role::Primary {
            self.role = Role::Replica;
            self.last_contact = now;
        }
        Ok(())
    }

    /// Becomes the primary of the promised term.
    ///
    /// # Errors
    ///
    /// `GR002` if `term` is not the promised term or is not greater than the current one, or if
    /// the server is recovering.
    pub fn promote(&mut self, term: Term, now: Instant) -> Result<(), Error> {
        if self.primary_term() == Some(term) {
            return Ok(());
        }
        if term != self.promised || term <= self.term || self.is_recovering() {
            return Err(Error::promised(self.promised));
        }
        self.become_primary(term, now);
        Ok(())
    }

    fn become_primary(&mut self, term: Term, now: Instant) {
        self.role = Role::Primary;
        self.term = term;
        self.match_indexes.clear();
        self.append_local(Body::Start, now);
    }

    fn append_local(&mut self, body: Body, now: Instant) -> Position {
        let term = self.term;
        let position = self.log.push(Entry { term, body }, now);
        self.apply_up_to(position.index, now);
        position
    }

    /// Applies the entries of the log up to `index`, or to its end if it is shorter.
    pub fn apply_up_to(&mut self, index: u64, now: Instant) {
        while self.table.applied().index < index {
            let position = self.log.position(self.table.applied().index + 1);
            let Some((entry, _)) = self.log.get(position.index) else {
                return;
            };
            self.table.apply(entry, position, now);
        }
    }

    /// Commits a transaction on a connection that is bound to `connection_term`.
    ///
    /// Returns the position of the commit; `None` if there is nothing to store.
    ///
    /// # Errors
    ///
    /// `GR001` if the server is not the primary of that term, `GR004` if the recorded request is
    /// already committed, `GR005` if the recorded attempt is cancelled, and `40001` if a key that
    /// the transaction writes has changed since the transaction read it.
    pub fn commit(
        &mut self,
        transaction: Transaction,
        connection_term: Term,
        now: Instant,
    ) -> Result<Option<Position>, Error> {
        if transaction.is_empty() {
            return Ok(None);
        }
        self.check_primary(connection_term)?;
        if let Some(record) = &transaction.record {
            self.check_record(record)?;
        }
        transaction.check_reads(&self.table)?;
        let Transaction {
            effects, record, ..
        } = transaction;
        Ok(Some(
            self.append_local(Body::Commit { effects, record }, now),
        ))
    }

    /// Checks that an attempt of a request may still commit.
    ///
    /// # Errors
    ///
    /// `GR004` if the request is already committed, `GR005` if the attempt is cancelled.
    pub fn check_record(&self, record: &Record) -> Result<(), Error> {
        if let Some(position) = self.table.committed(&record.id) {
            return Err(Error::duplicate(self.to_current_term(position)));
        }
        match self.table.cancelled(&record.id) {
            Some(cancelled) if cancelled.attempt >= record.attempt => {
                Err(Error::cancelled(cancelled.attempt))
            }
            _ => Ok(()),
        }
    }

    /// Returns a position in the current term that includes `position`, because servers that
    /// promised the current term refuse to wait for a position of an earlier one.
    fn to_current_term(&self, position: Position) -> Position {
        if position.term == self.term {
            return position;
        }
        let index = position.index.max(self.log.start_of(self.term));
        let term = self.term;
        Position { term, index }
    }

    /// Resolves an attempt: returns `true` and the position of the commit if the request is
    /// committed; otherwise cancels this and all earlier attempts permanently and returns `false`
    /// and the position of the cancellation.
    ///
    /// # Errors
    ///
    /// `GR001` if this server is not the primary, or not of `connection_term`, unless that is 0.
    pub fn cancel(
        &mut self,
        record: Record,
        connection_term: Term,
        now: Instant,
    ) -> Result<(bool, Position), Error> {
        let term = self.primary_term().ok_or_else(Error::wrong_term)?;
        if connection_term != Term(0) && connection_term != term {
            return Err(Error::wrong_term());
        }
        if let Some(position) = self.table.committed(&record.id) {
            return Ok((true, self.to_current_term(position)));
        }
        if let Some(cancelled) = self.table.cancelled(&record.id)
            && cancelled.attempt >= record.attempt
        {
            return Ok((false, self.to_current_term(cancelled.position)));
        }
        Ok((false, self.append_local(Body::Cancel(record), now)))
    }

    /// Reports whether the server has received (if `received`) or else applied the log up to
    /// `wanted`.
    ///
    /// # Errors
    ///
    /// `GR002` if a term greater than that of the position is promised.
    pub fn has_reached(&self, received: bool, wanted: Position) -> Result<bool, Error> {
        if self.promised > wanted.term {
            return Err(Error::promised(self.promised));
        }
        if received {
            return Ok(!self.is_recovering() && self.log.last().satisfies(wanted));
        }
        Ok(self.table.applied().satisfies(wanted))
    }

    /// Appends entries that a primary sent, unless a greater term is promised or its log and
    /// this one differ before them.
    pub fn append(&mut self, append: Append, now: Instant) -> Acknowledgement {
        let sequence = append.sequence;
        if append.term < self.promised || self.primary_term() == Some(append.term) {
            return self.acknowledge(sequence, false, 0);
        }
        self.become_replica(append.term, now);
        let previous = append.previous;
        if self.log.position(previous.index) != previous {
            return self.acknowledge(sequence, false, self.retry_index(previous.index));
        }
        let mut index = previous.index;
        for entry in append.entries {
            index += 1;
            self.store_entry(entry, index, now);
        }
        self.check_recovery(index, append.last);
        self.acknowledge(sequence, true, index)
    }

    /// Returns the index after which the primary should send entries next: the end of this log
    /// if it ends before `previous`, otherwise the entry before the term that diverges.
    fn retry_index(&self, previous: u64) -> u64 {
        let last = self.log.last().index;
        if last < previous {
            return last;
        }
        let diverging = self.log.position(previous).term;
        self.log.start_of(diverging) - 1
    }

    fn acknowledge(&self, sequence: u64, accepted: bool, index: u64) -> Acknowledgement {
        Acknowledgement {
            sequence,
            accepted,
            promised: self.promised,
            index,
        }
    }

    fn become_replica(&mut self, term: Term, now: Instant) {
        self.promised = term;
        self.term = term;
        self.role = Role::Replica;
        self.last_contact = now;
    }

    fn store_entry(&mut self, entry: Entry, index: u64, now: Instant) {
        match self.log.get(index) {
            Some((known, _)) if known.term == entry.term => return,
            Some(_) => self.truncate(index - 1, now),
            None => {}
        }
        self.log.push(entry, now);
    }

    /// Removes the entries after `index`. If some of them were applied, the table is rebuilt from
    /// the remaining log.
    fn truncate(&mut self, index: u64, now: Instant) {
        self.log.truncate(index);
        let applied = self.table.applied().index;
        if applied > index {
            self.table = Table::default();
            self.apply_up_to(index, now);
        }
    }

    /// Ends the recovery if the log up to `index` is the whole log of the primary, whose last
    /// index is `last`, and the primary's term is not below any promised term of a majority.
    fn check_recovery(&mut self, index: u64, last: u64) {
        let caught_up = self.recovery.as_ref().is_some_and(|recovery| {
            let greatest = recovery.promised_terms.values().max().copied();
            recovery.promised_terms.len() >= recovery.majority
                && greatest.is_some_and(|greatest| self.term >= greatest)
                && index >= last
        });
        if caught_up {
            self.recovery = None;
        }
    }

    /// Returns the promised term as sent to a recovering server.
    #[must_use]
    pub fn promise(&self) -> Promise {
        Promise {
            promised: self.promised,
            recovering: self.is_recovering(),
        }
    }

    /// Records the promised term of another server if this one is recovering.
    pub fn record_promise(&mut self, peer: &str, promise: Promise) {
        if let Some(recovery) = &mut self.recovery
            && !promise.recovering
        {
            recovery
                .promised_terms
                .insert(peer.to_owned(), promise.promised);
        }
    }

    /// Records up to which index a replica has confirmed the log of `term`.
    pub fn record_match(&mut self, replica: &str, term: Term, index: u64) {
        if self.primary_term() == Some(term) {
            let match_index = self.match_indexes.entry(replica.to_owned()).or_default();
            *match_index = index.max(*match_index);
        }
    }

    /// Reports whether at least one replica has confirmed `index` in the current term.
    #[must_use]
    pub fn is_replicated(&self, index: u64) -> bool {
        self.match_indexes
            .values()
            .any(|match_index| *match_index >= index)
    }
}
