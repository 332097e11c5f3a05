//! Statements that the front end executes without a backend server.

use super::Session;
use crate::{batch::Operation, error::Failure, plan::Scope, prepared::Store, statement::Kind};
use fulmargw_backend::{
    batch::{Answer, Batch},
    connection::TransactionState,
};
use fulmargw_engine::submit::Submit;

impl<S> Session<S>
where
    S: Submit<Body = Batch, Answer = Answer>,
{
    /// Returns whether the front end executes a statement itself: a session setting, or the end of
    /// a transaction if none is open on a backend server.
    pub(super) fn is_local(&self, kind: &Kind) -> bool {
        let no_remote_transaction = self.is_aborted || self.transaction == TransactionState::Idle;
        kind.is_setting() || (kind.ends_transaction() && no_remote_transaction)
    }

    /// Aborts an open transaction after an error that the backend server did not see. Otherwise the
    /// caller could commit the transaction without the refused statement.
    pub(super) fn fail_transaction(&mut self) {
        if self.transaction != TransactionState::Idle && !self.is_aborted {
            self.caller.abort_transaction();
            self.is_aborted = true;
            self.transaction = TransactionState::Failed;
        }
    }

    /// Executes one statement of a simple query.
    pub(super) fn execute_query_locally(&mut self, kind: &Kind) {
        if let Kind::Show(variable) = kind {
            self.channel.output.row_description(*variable);
        }
        if let Err(failure) = self.execute_statement_locally(kind) {
            self.fail(&failure);
        }
    }

    fn execute_statement_locally(&mut self, kind: &Kind) -> Result<(), Failure> {
        if self.transaction == TransactionState::Failed && !kind.ends_transaction() {
            return Err(Failure::failed_transaction());
        }
        match kind {
            Kind::Set(variable, value) => {
                self.variables.set(*variable, value)?;
                self.channel.output.command_complete("SET");
            }
            Kind::IgnoredSetting => self.channel.output.command_complete("SET"),
            Kind::Show(variable) => {
                let value = self.variables.show(*variable);
                self.channel.output.data_row(&value);
                self.channel.output.command_complete("SHOW");
            }
            Kind::Commit | Kind::Rollback => self.end_transaction_locally(kind),
            Kind::Empty | Kind::Begin | Kind::Other => {}
        }
        Ok(())
    }

    fn end_transaction_locally(&mut self, kind: &Kind) {
        if std::mem::take(&mut self.is_aborted) {
            self.transaction = TransactionState::Idle;
            self.channel.output.command_complete("ROLLBACK");
            return;
        }
        self.channel.output.warn_no_transaction();
        let tag = if *kind == Kind::Commit {
            "COMMIT"
        } else {
            "ROLLBACK"
        };
        self.channel.output.command_complete(tag);
    }

    /// Executes the messages of a batch, up to the first error.
    pub(super) fn execute_batch_locally(&mut self, operations: Vec<Operation>) {
        let empty = Store::new(&self.context.settings);
        let store = std::mem::replace(&mut self.statements, empty);
        let mut scope = Scope::new(&store);
        let (mut parsed, mut closed) = (0, 0);
        for operation in &operations {
            let kind = scope.track(operation);
            if let Err(failure) = self.respond_to(operation, kind) {
                self.fail(&failure);
                break;
            }
            match operation {
                Operation::Parse { .. } => parsed += 1,
                Operation::CloseStatement(_) | Operation::ClosePortal(_) => closed += 1,
                _ => {}
            }
        }
        self.statements = store;
        self.statements.apply(operations, parsed, closed);
    }

    fn respond_to(&mut self, operation: &Operation, kind: Option<Kind>) -> Result<(), Failure> {
        let output = &mut self.channel.output;
        match operation {
            Operation::Parse { .. } => output.parse_complete(),
            Operation::Bind { .. } => output.bind_complete(),
            Operation::CloseStatement(_) | Operation::ClosePortal(_) => output.close_complete(),
            Operation::DescribeStatement(_) => {
                output.no_parameters();
                self.describe(kind.as_ref());
            }
            Operation::DescribePortal(_) => self.describe(kind.as_ref()),
            Operation::Execute(_) => {
                let kind = kind.ok_or_else(|| Failure::unknown_name("the portal"))?;
                self.execute_statement_locally(&kind)?;
            }
        }
        Ok(())
    }

    fn describe(&mut self, kind: Option<&Kind>) {
        match kind {
            Some(Kind::Show(variable)) => self.channel.output.row_description(*variable),
            _ => self.channel.output.no_data(),
        }
    }
}
