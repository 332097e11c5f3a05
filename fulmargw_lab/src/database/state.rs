//! Terms, promises and the log of one member of the group.
//!
//! A member keeps everything in memory. After a restart it is empty and has forgotten its
//! promises, so it must not help to make a majority before it holds again what it may have
//! confirmed. It is `recovering` until a majority of the group (not counting itself) told it
//! their promises and a primary of at least the greatest of these terms replicated its whole
//! log to it. Until then it refuses connections with `57P03`, because its status and its
//! promises say nothing; `fence` and `received` waits are refused here as well.

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

/// State of one member. All calls are short and do no I/O.
#[derive(Debug)]
pub struct State {
    role: Role,
    term: Term,
    promised: Term,
    log: Log,
    table: Table,
    heard: Instant,
    recovery: Option<Recovery>,
    /// Greatest index that each follower confirmed in this term.
    matched: BTreeMap<String, u64>,
}

/// What a restarted member still has to learn.
#[derive(Debug)]
struct Recovery {
    /// Promises of other members that are not recovering themselves.
    promises: BTreeMap<String, Term>,
    majority: usize,
}

/// A message of the primary to a follower; empty `entries` make a heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Append {
    /// Number of the message on its connection.
    pub sequence: u64,
    /// Term of the primary.
    pub term: Term,
    /// Position of the entry before `entries`.
    pub previous: Position,
    /// Entries that follow.
    pub entries: Vec<Entry>,
    /// Last index of the primary's log.
    pub last: u64,
}

/// The answer of a follower.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Acknowledgement {
    /// Number of the message that it answers.
    pub sequence: u64,
    /// Whether the entries are in the follower's log.
    pub accepted: bool,
    /// Greatest promised term.
    pub promised: Term,
    /// If accepted, the last index that matches; otherwise, where to try next.
    pub index: u64,
}

/// What a member tells a recovering member.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Promise {
    /// Greatest promised term.
    pub promised: Term,
    /// Whether the member recovers itself; its promise then means nothing.
    pub recovering: bool,
}

/// How a member starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Start {
    /// As the primary of term 1 of a new group.
    Primary,
    /// As a replica of a new group, which has nothing to recover.
    Replica,
    /// Empty, as a member of a group with this many members that may hold data.
    Restarted(usize),
}

impl State {
    /// Makes a member.
    #[must_use]
    pub fn new(start: Start, now: Instant) -> Self {
        let mut member = Self {
            role: Role::Replica,
            term: Term(0),
            promised: Term(0),
            log: Log::default(),
            table: Table::default(),
            heard: now,
            recovery: None,
            matched: BTreeMap::new(),
        };
        match start {
            Start::Primary => {
                member.promised = Term(1);
                member.lead(Term(1), now);
            }
            Start::Replica => {}
            Start::Restarted(members) => {
                member.recovery = Some(Recovery {
                    promises: BTreeMap::new(),
                    majority: members / 2 + 1,
                });
            }
        }
        member
    }

    /// Returns the status that `group_status` reports.
    #[must_use]
    pub fn status(&self, now: Instant) -> Status {
        let silence = match self.role {
            Role::Primary => Duration::ZERO,
            Role::Replica => now.duration_since(self.heard),
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

    /// Reports whether the member waits for the data that it lost in a restart.
    #[must_use]
    pub fn is_recovering(&self) -> bool {
        self.recovery.is_some()
    }

    /// Returns the term of which this member is the primary, if nothing ended it.
    #[must_use]
    pub fn primary_term(&self) -> Option<Term> {
        (self.role == Role::Primary && self.promised == self.term).then_some(self.term)
    }

    /// Checks that a connection that is bound to `bound` may be opened. Terms only grow, so a
    /// connection of a term that ended is refused for good.
    ///
    /// # Errors
    ///
    /// `57P03` if the member is recovering, `GR001` if it is not in that term.
    pub fn check_connect(&self, bound: Term) -> Result<(), Error> {
        if self.is_recovering() {
            return Err(Error::starting_up());
        }
        self.check_term(bound)
    }

    /// Checks that statements may run on a connection that is bound to `bound`.
    ///
    /// # Errors
    ///
    /// `GR001` if the connection belongs to another term.
    pub fn check_term(&self, bound: Term) -> Result<(), Error> {
        let current = bound == self.term && self.promised == self.term;
        (bound == Term(0) || current)
            .then_some(())
            .ok_or_else(Error::wrong_term)
    }

    /// Checks that this member is the primary of the term of the connection.
    ///
    /// # Errors
    ///
    /// `GR001` if it is not.
    pub fn check_primary(&self, bound: Term) -> Result<(), Error> {
        (self.primary_term() == Some(bound))
            .then_some(())
            .ok_or_else(Error::wrong_term)
    }

    /// Promises to refuse replication and commits of terms below `term`.
    ///
    /// # Errors
    ///
    /// `GR002` if a greater or equal term was promised, or if the member is recovering.
    pub fn fence(&mut self, term: Term, now: Instant) -> Result<(), Error> {
        if term <= self.promised || self.is_recovering() {
            return Err(Error::promised(self.promised));
        }
        self.promised = term;
        if self.role == Role::Primary {
            self.role = Role::Replica;
            self.heard = now;
        }
        Ok(())
    }

    /// Becomes the primary of a promised term.
    ///
    /// # Errors
    ///
    /// `GR002` if another term was promised last.
    pub fn promote(&mut self, term: Term, now: Instant) -> Result<(), Error> {
        if self.primary_term() == Some(term) {
            return Ok(());
        }
        if term != self.promised || term <= self.term || self.is_recovering() {
            return Err(Error::promised(self.promised));
        }
        self.lead(term, now);
        Ok(())
    }

    fn lead(&mut self, term: Term, now: Instant) {
        self.role = Role::Primary;
        self.term = term;
        self.matched.clear();
        self.append_own(Body::Start, now);
    }

    fn append_own(&mut self, body: Body, now: Instant) -> Position {
        let term = self.term;
        let position = self.log.push(Entry { term, body }, now);
        self.apply_up_to(position.index, now);
        position
    }

    /// Applies entries up to `index`.
    pub fn apply_up_to(&mut self, index: u64, now: Instant) {
        while self.table.applied().index < index {
            let position = self.log.position(self.table.applied().index + 1);
            let Some((entry, _)) = self.log.get(position.index) else {
                return;
            };
            self.table.apply(entry, position, now);
        }
    }

    /// Commits a transaction on a connection that is bound to `bound`.
    ///
    /// Returns `None` if there is nothing to store.
    ///
    /// # Errors
    ///
    /// `GR001` if the term ended, `GR004` or `GR005` if the recorded request must not run, and
    /// `40001` if a key changed since the transaction read it.
    pub fn commit(
        &mut self,
        transaction: Transaction,
        bound: Term,
        now: Instant,
    ) -> Result<Option<Position>, Error> {
        if transaction.is_empty() {
            return Ok(None);
        }
        self.check_primary(bound)?;
        if let Some(record) = &transaction.record {
            self.check_record(record)?;
        }
        transaction.check_reads(&self.table)?;
        let Transaction {
            effects, record, ..
        } = transaction;
        Ok(Some(self.append_own(Body::Commit { effects, record }, now)))
    }

    /// Checks that an attempt of a request may still commit.
    ///
    /// # Errors
    ///
    /// `GR004` if the request committed, `GR005` if the attempt was cancelled.
    pub fn check_record(&self, record: &Record) -> Result<(), Error> {
        if let Some(position) = self.table.committed(&record.id) {
            return Err(Error::duplicate(self.raise(position)));
        }
        match self.table.cancelled(&record.id) {
            Some(cancelled) if cancelled.attempt >= record.attempt => {
                Err(Error::cancelled(cancelled.attempt))
            }
            _ => Ok(()),
        }
    }

    /// Returns a later position in the current term, because a wait for a position of an
    /// earlier term is refused by members that promised the current one.
    fn raise(&self, position: Position) -> Position {
        if position.term == self.term {
            return position;
        }
        let index = position.index.max(self.log.start_of(self.term));
        let term = self.term;
        Position { term, index }
    }

    /// Settles an attempt: reports its commit, or cancels it and earlier attempts for good.
    ///
    /// # Errors
    ///
    /// `GR001` if this member is not the primary (of `bound`, unless that is 0).
    pub fn cancel(
        &mut self,
        record: Record,
        bound: Term,
        now: Instant,
    ) -> Result<(bool, Position), Error> {
        let term = self.primary_term().ok_or_else(Error::wrong_term)?;
        if bound != Term(0) && bound != term {
            return Err(Error::wrong_term());
        }
        if let Some(position) = self.table.committed(&record.id) {
            return Ok((true, self.raise(position)));
        }
        if let Some(cancelled) = self.table.cancelled(&record.id)
            && cancelled.attempt >= record.attempt
        {
            return Ok((false, self.raise(cancelled.position)));
        }
        Ok((false, self.append_own(Body::Cancel(record), now)))
    }

    /// Reports whether the member satisfies a wait; `None` means not yet.
    ///
    /// # Errors
    ///
    /// `GR002` if a term greater than that of the position was promised.
    pub fn has_reached(&self, received: bool, wanted: Position) -> Result<bool, Error> {
        if self.promised > wanted.term {
            return Err(Error::promised(self.promised));
        }
        if received {
            return Ok(!self.is_recovering() && self.log.last().satisfies(wanted));
        }
        Ok(self.table.applied().satisfies(wanted))
    }

    /// Takes over entries of a primary, if no greater term was promised.
    pub fn append(&mut self, append: Append, now: Instant) -> Acknowledgement {
        let sequence = append.sequence;
        if append.term < self.promised || self.primary_term() == Some(append.term) {
            return self.acknowledge(sequence, false, 0);
        }
        self.follow(append.term, now);
        let previous = append.previous;
        if self.log.position(previous.index) != previous {
            return self.acknowledge(sequence, false, self.retry_index(previous.index));
        }
        let mut index = previous.index;
        for entry in append.entries {
            index += 1;
            self.store(entry, index, now);
        }
        self.recover(index, append.last);
        self.acknowledge(sequence, true, index)
    }

    /// Returns where the primary should try next: the end of a short log, or the place before
    /// the term that diverges.
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

    fn follow(&mut self, term: Term, now: Instant) {
        self.promised = term;
        self.term = term;
        self.role = Role::Replica;
        self.heard = now;
    }

    fn store(&mut self, entry: Entry, index: u64, now: Instant) {
        match self.log.get(index) {
            Some((known, _)) if known.term == entry.term => return,
            Some(_) => self.truncate(index - 1, now),
            None => {}
        }
        self.log.push(entry, now);
    }

    /// Removes a divergent tail; what was applied of it is undone by applying again.
    fn truncate(&mut self, index: u64, now: Instant) {
        self.log.truncate(index);
        let applied = self.table.applied().index;
        if applied > index {
            self.table = Table::default();
            self.apply_up_to(index, now);
        }
    }

    fn recover(&mut self, index: u64, last: u64) {
        let caught_up = self.recovery.as_ref().is_some_and(|recovery| {
            let greatest = recovery.promises.values().max().copied();
            recovery.promises.len() >= recovery.majority
                && greatest.is_some_and(|greatest| self.term >= greatest)
                && index >= last
        });
        if caught_up {
            self.recovery = None;
        }
    }

    /// Tells this member's promise to a recovering member.
    #[must_use]
    pub fn promise(&self) -> Promise {
        Promise {
            promised: self.promised,
            recovering: self.is_recovering(),
        }
    }

    /// Learns the promise of another member while recovering.
    pub fn record_promise(&mut self, peer: &str, promise: Promise) {
        if let Some(recovery) = &mut self.recovery
            && !promise.recovering
        {
            recovery.promises.insert(peer.to_owned(), promise.promised);
        }
    }

    /// Notes how far a follower has confirmed the log of `term`.
    pub fn record_match(&mut self, follower: &str, term: Term, index: u64) {
        if self.primary_term() == Some(term) {
            let matched = self.matched.entry(follower.to_owned()).or_default();
            *matched = index.max(*matched);
        }
    }

    /// Reports whether any follower has confirmed an index of the current term.
    #[must_use]
    pub fn is_replicated(&self, index: u64) -> bool {
        self.matched.values().any(|matched| *matched >= index)
    }
}
