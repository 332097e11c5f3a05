//! Decides what a session does with a statement, by its state and the configuration in force.

use super::{
    access::{self, Denial},
    failure::Failure,
    state::Session,
};
use crate::{configuration::Configuration, dialect::Dialect, statement::Statement};
use fulmargw_model::{
    abort,
    execution::{Code, Kind, Template, Text},
};

/// What a session does with a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Reports that the open transaction was rolled back, which is done first if it still has to be.
    ReportAbort(abort::Cause),
    /// Refuses the statement.
    Refuse(Failure),
    /// Refuses the statement and ends the session.
    RefuseSession(Failure),
    /// Responds with success without a backend server.
    Complete,
    /// Admits a transaction.
    Begin {
        /// Whether the transaction is read-only.
        read_only: bool,
    },
    /// Ends the open transaction.
    End(Kind),
    /// Runs a read or write.
    Execute {
        /// Whether it writes.
        writes: bool,
        /// Prepared statement and arguments, unless the statement is given as text.
        prepared: Option<(Template, Text)>,
    },
    /// Keeps a session variable.
    Set {
        /// Name of the variable.
        name: Text,
        /// New value.
        value: Text,
    },
    /// Keeps a prepared statement.
    Prepare {
        /// Name that the caller chose.
        name: Text,
        /// What the name stands for.
        template: Template,
    },
    /// Removes a prepared statement.
    Deallocate {
        /// Name that the caller chose.
        name: Text,
    },
}

/// Returns what a session does with a statement.
pub fn decide<D: Dialect>(
    session: &Session<D>,
    configuration: &Configuration,
    statement: &Statement,
) -> Step {
    if let Some(cause) = abort_cause(session, configuration) {
        return Step::ReportAbort(cause);
    }
    let transaction = session.transaction.as_ref();
    let has_failed = transaction.is_some_and(|transaction| transaction.has_failed);
    if has_failed && !matches!(statement, Statement::Commit | Statement::Rollback) {
        return Step::Refuse(malformed());
    }
    if is_local(session, statement) && is_key_withdrawn(session, configuration) {
        return Step::RefuseSession(Denial::InvalidKey.of_statement());
    }
    match statement {
        Statement::Unknown => Step::Refuse(malformed()),
        Statement::Set { name, value } => Step::Set {
            name: name.clone(),
            value: value.clone(),
        },
        Statement::Prepare { name, template } => Step::Prepare {
            name: name.clone(),
            template: template.clone(),
        },
        Statement::Deallocate { name } => Step::Deallocate { name: name.clone() },
        Statement::Begin { .. } if transaction.is_some() => Step::Refuse(malformed()),
        Statement::Begin { read_only } => Step::Begin {
            read_only: *read_only,
        },
        Statement::Commit if transaction.is_none() => Step::Refuse(malformed()),
        Statement::Commit => Step::End(Kind::Commit),
        Statement::Rollback if transaction.is_none() => Step::Complete,
        Statement::Rollback => Step::End(Kind::Rollback),
        Statement::Read => Step::Execute {
            writes: false,
            prepared: None,
        },
        Statement::Write => Step::Execute {
            writes: true,
            prepared: None,
        },
        Statement::Execute { name, arguments } => match session.prepared.get(name) {
            Some(template) => Step::Execute {
                writes: template.writes,
                prepared: Some((template.clone(), arguments.clone())),
            },
            None => Step::Refuse(unknown_name()),
        },
    }
}

/// Returns why the open transaction was or has to be rolled back.
fn abort_cause<D: Dialect>(
    session: &Session<D>,
    configuration: &Configuration,
) -> Option<abort::Cause> {
    let transaction = session.transaction.as_ref()?;
    let is_withdrawn = !session.may_continue(&configuration.keys);
    transaction
        .abort_cause
        .or(is_withdrawn.then_some(abort::Cause::KeyWithdrawn))
}

/// Reports whether this host responds to a statement itself, outside of a transaction. Others are
/// admitted, or belong to a transaction that was.
fn is_local<D: Dialect>(session: &Session<D>, statement: &Statement) -> bool {
    let needs_no_server = matches!(
        statement,
        Statement::Set { .. }
            | Statement::Prepare { .. }
            | Statement::Deallocate { .. }
            | Statement::Rollback
    );
    needs_no_server && session.transaction.is_none()
}

/// Reports whether the configuration no longer allows the key of a session. A route that is removed
/// ends the session with its next operation.
fn is_key_withdrawn<D: Dialect>(session: &Session<D>, configuration: &Configuration) -> bool {
    let authorized = access::authorize(configuration, &session.database, &session.key_digest);
    matches!(authorized, Err(Denial::InvalidKey))
}

/// Returns the refusal of a statement that is not valid now.
pub(super) fn malformed() -> Failure {
    Failure::new(
        Code::Malformed,
        "the message is malformed or not allowed in the current state",
    )
}

/// Returns the refusal of a statement whose prepared name is unknown.
pub(super) fn unknown_name() -> Failure {
    Failure::new(Code::UnknownName, "no prepared statement has this name")
}
