//! Decides where the statements of an extended-protocol batch run.

use crate::{batch::Operation, error::Failure, prepared::Store, statement::Kind};
use bytes::Bytes;
use fulmargw_model::request::Part;
use std::collections::{HashMap, HashSet};

/// Where the statements of a batch run.
#[derive(Debug, PartialEq, Eq)]
pub enum Plan {
    /// The front end executes every statement itself.
    Local,
    /// A backend server runs the statements.
    Remote {
        /// Which part of a transaction the batch is.
        part: Part,
        /// Whether any statement is executed, rather than only prepared or described.
        executes: bool,
    },
}

impl Plan {
    /// Plans a batch. `is_local` returns whether the front end executes a statement itself, in the
    /// current state of the session.
    ///
    /// # Errors
    ///
    /// If the combination of statements in the batch is not supported.
    pub fn new(
        operations: &[Operation],
        store: &Store,
        is_local: impl Fn(&Kind) -> bool,
    ) -> Result<Self, Failure> {
        let mut summary = Summary::default();
        let mut scope = Scope::new(store);
        for operation in operations {
            let kind = scope.track(operation);
            summary.add(operation, kind, &is_local)?;
        }
        summary.plan()
    }
}

/// Names of the statements and portals that are valid at one point of a batch.
#[derive(Debug)]
pub struct Scope<'a> {
    store: &'a Store,
    statements: HashMap<Bytes, Option<Kind>>,
    portals: HashMap<Bytes, Kind>,
}

impl<'a> Scope<'a> {
    /// Starts with the prepared statements of the session and without portals.
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

    /// Updates the names for the effect of a message. Returns the kind of the statement that the
    /// message refers to, if there is such a statement.
    pub fn track(&mut self, operation: &Operation) -> Option<Kind> {
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

/// Summary of the messages of a batch.
#[derive(Debug, Default)]
struct Summary {
    /// Number of messages about statements that a backend server runs.
    remote: usize,
    /// Number of messages about statements that the front end executes.
    local: usize,
    /// Number of executions on a backend server.
    executions: usize,
    /// Portals of transaction control that are bound but not executed yet.
    unexecuted_portals: HashSet<Bytes>,
    begins_transaction: bool,
    ends_transaction: bool,
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
                self.unexecuted_portals.insert(portal.clone());
            }
            Operation::Execute(portal) => {
                self.unexecuted_portals.remove(portal);
                self.execute(&kind)?;
            }
            _ => {}
        }
        Ok(())
    }

    fn execute(&mut self, kind: &Kind) -> Result<(), Failure> {
        if self.ends_transaction || (*kind == Kind::Begin && self.executions > 0) {
            let what =
                "a batch with a statement before the begin or after the end of a transaction";
            return Err(Failure::unsupported(what));
        }
        self.executions += 1;
        self.begins_transaction |= *kind == Kind::Begin;
        self.ends_transaction |= kind.ends_transaction();
        Ok(())
    }

    fn plan(self) -> Result<Plan, Failure> {
        let unsupported = |what| Err(Failure::unsupported(what));
        if self.remote > 0 && self.local > 0 {
            return unsupported(
                "a batch that mixes statements for the proxy with statements for a backend server",
            );
        }
        if !self.unexecuted_portals.is_empty() {
            return unsupported("a batch that binds transaction control without executing it");
        }
        let part = match (self.begins_transaction, self.ends_transaction) {
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
            executes: self.executions > 0,
        })
    }
}

fn is_control(kind: &Kind) -> bool {
    *kind == Kind::Begin || kind.ends_transaction()
}
