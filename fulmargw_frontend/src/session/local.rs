//! Statements that the front end answers itself.

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
    /// Reports whether the front end answers a statement: a session setting, or the end of a
    /// transaction that no backend server has open.
    pub(super) fn is_local(&self, kind: &Kind) -> bool {
        let no_transaction = self.broken || self.transaction == TransactionState::Idle;
        kind.is_setting() || (kind.is_end() && no_transaction)
    }

    /// Marks an open transaction as failed after an error that the server did not see, so the
    /// caller cannot commit without the refused statement.
    pub(super) fn fail_transaction(&mut self) {
        if self.transaction != TransactionState::Idle && !self.broken {
            self.caller.renew();
            self.broken = true;
            self.transaction = TransactionState::Failed;
        }
    }

    /// Answers one statement.
    pub(super) fn execute_locally(&mut self, kind: &Kind) {
        if let Kind::Show(variable) = kind {
            self.channel.output.describe(*variable);
        }
        if let Err(failure) = self.try_locally(kind) {
            self.fail(&failure);
        }
    }

    fn try_locally(&mut self, kind: &Kind) -> Result<(), Failure> {
        if self.transaction == TransactionState::Failed && !kind.is_end() {
            return Err(Failure::failed_transaction());
        }
        match kind {
            Kind::Set(variable, value) => {
                self.variables.set(*variable, value)?;
                self.channel.output.complete("SET");
            }
            Kind::Ignored => self.channel.output.complete("SET"),
            Kind::Show(variable) => {
                let value = self.variables.show(*variable);
                self.channel.output.row(&value);
                self.channel.output.complete("SHOW");
            }
            Kind::Commit | Kind::Rollback => self.end_locally(kind),
            Kind::Empty | Kind::Begin | Kind::Other => {}
        }
        Ok(())
    }

    fn end_locally(&mut self, kind: &Kind) {
        if std::mem::take(&mut self.broken) {
            self.transaction = TransactionState::Idle;
            self.channel.output.complete("ROLLBACK");
            return;
        }
        self.channel.output.warn_no_transaction();
        let tag = if *kind == Kind::Commit {
            "COMMIT"
        } else {
            "ROLLBACK"
        };
        self.channel.output.complete(tag);
    }

    /// Answers the messages of a batch, up to the first error.
    pub(super) fn answer_locally(&mut self, operations: Vec<Operation>) {
        let empty = Store::new(&self.host.settings);
        let store = std::mem::replace(&mut self.statements, empty);
        let mut scope = Scope::new(&store);
        let (mut parsed, mut closed) = (0, 0);
        for operation in &operations {
            let kind = scope.follow(operation);
            if let Err(failure) = self.answer_operation(operation, kind) {
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

    fn answer_operation(
        &mut self,
        operation: &Operation,
        kind: Option<Kind>,
    ) -> Result<(), Failure> {
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
                self.try_locally(&kind)?;
            }
        }
        Ok(())
    }

    fn describe(&mut self, kind: Option<&Kind>) {
        match kind {
            Some(Kind::Show(variable)) => self.channel.output.describe(*variable),
            _ => self.channel.output.no_data(),
        }
    }
}
