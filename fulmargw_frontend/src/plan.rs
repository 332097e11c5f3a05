//! What a batch of extended-protocol messages asks for.

use crate::{batch::Operation, error::Failure, prepared::Store, statement::Kind};
use bytes::Bytes;
use fulmargw_model::request::Part;
use std::collections::{HashMap, HashSet};

/// What a batch asks for.
#[derive(Debug, PartialEq, Eq)]
pub enum Plan {
    /// The front end answers every statement.
    Local,
    /// The backend server runs the statements.
    Remote {
        /// Part of a transaction.
        part: Part,
        /// Whether a statement is executed, and not only prepared or described.
        executes: bool,
    },
}

impl Plan {
    /// Decides what the batch asks for. `is_local` tells which statements the front end
    /// answers in the present state of the session.
    ///
    /// # Errors
    ///
    /// If the batch mixes statements in a way that is not supported.
    pub fn new(
        operations: &[Operation],
        store: &Store,
        is_local: impl Fn(&Kind) -> bool,
    ) -> Result<Self, Failure> {
        let mut summary = Summary::default();
        let mut scope = Scope::new(store);
        for operation in operations {
            let kind = scope.follow(operation);
            summary.add(operation, kind, &is_local)?;
        }
        summary.plan()
    }
}

/// The statements and portals that the messages of a batch refer to, as they change.
#[derive(Debug)]
pub struct Scope<'a> {
    store: &'a Store,
    statements: HashMap<Bytes, Option<Kind>>,
    portals: HashMap<Bytes, Kind>,
}

impl<'a> Scope<'a> {
    /// Starts with the statements of the session.
    #[must_use]
    pub fn new(store: &'a Store) -> Self {
        Self {
            store,
            statements: HashMap::new(),
            portals: HashMap::new(),
        }
    }

    fn statement(&self, name: &Bytes) -> Option<Kind> {
        match self.statements.get(name) {
            Some(kind) => kind.clone(),
            None => self.store.get(name).map(|prepared| prepared.kind.clone()),
        }
    }

    /// Follows one message and returns the kind of the statement that it refers to, if it
    /// exists.
    pub fn follow(&mut self, operation: &Operation) -> Option<Kind> {
        match operation {
            Operation::Parse { name, prepared } => {
                let kind = Some(prepared.kind.clone());
                self.statements.insert(name.clone(), kind.clone());
                kind
            }
            Operation::Bind { portal, statement } => {
                let kind = self.statement(statement)?;
                self.portals.insert(portal.clone(), kind.clone());
                Some(kind)
            }
            Operation::DescribeStatement(name) => self.statement(name),
            Operation::DescribePortal(name) | Operation::Execute(name) => {
                self.portals.get(name).cloned()
            }
            Operation::CloseStatement(name) => {
                self.statements.insert(name.clone(), None);
                None
            }
            Operation::ClosePortal(name) => {
                self.portals.remove(name);
                None
            }
        }
    }
}

/// What the messages of a batch have in common.
#[derive(Debug, Default)]
struct Summary {
    /// Messages about statements that the backend server runs.
    remote: usize,
    /// Messages about statements that the front end answers.
    local: usize,
    /// Executions by the backend server.
    executed: usize,
    /// Portals that control a transaction and are not executed yet.
    bound: HashSet<Bytes>,
    begins: bool,
    ends: bool,
}

impl Summary {
    fn add(
        &mut self,
        operation: &Operation,
        kind: Option<Kind>,
        is_local: impl Fn(&Kind) -> bool,
    ) -> Result<(), Failure> {
        if matches!(
            operation,
            Operation::CloseStatement(_) | Operation::ClosePortal(_)
        ) {
            return Ok(());
        }
        let kind = kind.unwrap_or(Kind::Other);
        if is_local(&kind) {
            self.local += 1;
            return Ok(());
        }
        self.remote += 1;
        match operation {
            Operation::Bind { portal, .. } if is_control(&kind) => {
                self.bound.insert(portal.clone());
            }
            Operation::Execute(portal) => {
                self.bound.remove(portal);
                self.execute(&kind)?;
            }
            _ => {}
        }
        Ok(())
    }

    fn execute(&mut self, kind: &Kind) -> Result<(), Failure> {
        if self.ends || (*kind == Kind::Begin && self.executed > 0) {
            let what = "a batch in which a transaction begins after or ends before a statement";
            return Err(Failure::unsupported(what));
        }
        self.executed += 1;
        self.begins |= *kind == Kind::Begin;
        self.ends |= kind.is_end();
        Ok(())
    }

    fn plan(self) -> Result<Plan, Failure> {
        let unsupported = |what| Err(Failure::unsupported(what));
        if self.remote > 0 && self.local > 0 {
            return unsupported("a batch that mixes statements of fulmargw with others");
        }
        if !self.bound.is_empty() {
            return unsupported("transaction control that is bound and not executed in a batch");
        }
        let part = match (self.begins, self.ends) {
            (false, false) => Part::Statement,
            (true, false) => Part::Begin,
            (false, true) => Part::End,
            (true, true) => return unsupported("a batch that begins and ends a transaction"),
        };
        if self.remote == 0 {
            return Ok(Plan::Local);
        }
        Ok(Plan::Remote {
            part,
            executes: self.executed > 0,
        })
    }
}

fn is_control(kind: &Kind) -> bool {
    *kind == Kind::Begin || kind.is_end()
}
