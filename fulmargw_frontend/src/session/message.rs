//! Handles the messages of a caller.

use super::{End, Session, request::Submission};
use crate::{
    batch::{Operation, Pipeline},
    error::Failure,
    plan::Plan,
    statement::{self, Kind},
};
use fulmargw_backend::{
    batch::{Answer, Batch},
    frame::{self, Frame},
};
use fulmargw_engine::submit::Submit;
use fulmargw_model::request::Part;

impl<S> Session<S>
where
    S: Submit<Body = Batch, Answer = Answer>,
{
    /// Handles one message.
    pub(super) async fn handle_message(&mut self, frame: &Frame) -> Result<(), End> {
        match frame.tag {
            b'X' => Err(End::Closed),
            b'S' => self.sync(frame).await,
            _ if self.skips_to_sync => Ok(()),
            b'Q' => self.query(frame).await,
            b'P' | b'B' | b'D' | b'C' | b'E' => self.collect(frame).await,
            b'H' if self.collector.is_empty() => Ok(()),
            b'H' => {
                self.reject_batch(&Failure::unsupported("Flush before a Sync"))
                    .await
            }
            b'F' => {
                self.channel
                    .output
                    .error(&Failure::unsupported("a function call"));
                self.ready().await
            }
            // Data of a refused COPY; PostgreSQL ignores it, too.
            b'd' | b'c' | b'f' => Ok(()),
            tag => Err(
                Failure::protocol_violation(&format!("unexpected message type {tag:#04x}")).into(),
            ),
        }
    }

    async fn collect(&mut self, frame: &Frame) -> Result<(), End> {
        match Operation::decode(frame) {
            Ok(Some(operation)) => {
                self.collector
                    .add(frame, operation, &self.context.settings)?;
                Ok(())
            }
            Ok(None) => Err(Failure::protocol_violation(
                "message type is not part of the extended protocol",
            )
            .into()),
            Err(failure) if failure.code == Failure::PROTOCOL_VIOLATION => Err(failure.into()),
            Err(failure) => self.reject_batch(&failure).await,
        }
    }

    /// Rejects a batch: reports an error and ignores its messages up to the `Sync`.
    async fn reject_batch(&mut self, failure: &Failure) -> Result<(), End> {
        self.collector.clear();
        self.skips_to_sync = true;
        self.fail(failure);
        self.channel.flush().await
    }

    /// Reports an error of a request that was not submitted, and fails an open transaction.
    pub(super) fn fail(&mut self, failure: &Failure) {
        self.channel.output.error(failure);
        self.fail_transaction();
    }

    async fn sync(&mut self, frame: &Frame) -> Result<(), End> {
        if std::mem::take(&mut self.skips_to_sync) {
            return self.ready().await;
        }
        let pipeline = self.collector.take(frame);
        let (count, bytes) = pipeline.added_statements();
        let within_limits = self.statements.check_limits(count, bytes);
        let plan = Plan::new(&pipeline.operations, &self.statements, |kind| {
            self.is_local(kind)
        });
        match within_limits.and(plan) {
            Err(failure) => self.fail(&failure),
            Ok(Plan::Local) => self.execute_batch_locally(pipeline.operations),
            Ok(Plan::Remote { part, executes }) => {
                self.relay(pipeline, part, executes).await?;
            }
        }
        self.ready().await
    }

    async fn relay(&mut self, pipeline: Pipeline, part: Part, executes: bool) -> Result<(), End> {
        let body = pipeline.to_batch(&self.statements);
        let submission = Submission {
            part,
            executes,
            body,
        };
        match self.submit_batch(submission).await? {
            Ok(answer) => {
                let (parsed, closed) = count_completions(&pipeline, &answer);
                self.statements.apply(pipeline.operations, parsed, closed);
                self.channel.output.relay(&answer.messages);
            }
            Err(failure) => self.channel.output.error(&failure),
        }
        Ok(())
    }

    async fn query(&mut self, frame: &Frame) -> Result<(), End> {
        if !self.collector.is_empty() {
            return Err(Failure::protocol_violation("Query before the Sync of a batch").into());
        }
        // As in PostgreSQL, a simple query removes the unnamed statement.
        self.statements.remove(b"");
        match classify_query(frame)? {
            Err(failure) => self.fail(&failure),
            Ok(Kind::Empty) => self.channel.output.empty_query(),
            Ok(kind) if self.is_local(&kind) => self.execute_query_locally(&kind),
            Ok(kind) => {
                let submission = Submission {
                    part: transaction_part(&kind),
                    executes: true,
                    body: Batch {
                        messages: frame.bytes.clone(),
                        replayed: 0,
                    },
                };
                match self.submit_batch(submission).await? {
                    Ok(answer) => self.channel.output.relay(&answer.messages),
                    Err(failure) => self.channel.output.error(&failure),
                }
            }
        }
        self.ready().await
    }
}

/// Counts the successful `Parse` messages and the successful `Close` messages of a batch.
fn count_completions(pipeline: &Pipeline, answer: &Answer) -> (usize, usize) {
    if !pipeline.parses_or_closes() {
        return (0, 0);
    }
    frame::split(&answer.messages).fold((0, 0), |(parsed, closed), frame| match frame.tag {
        b'1' => (parsed + 1, closed),
        b'3' => (parsed, closed + 1),
        _ => (parsed, closed),
    })
}

fn transaction_part(kind: &Kind) -> Part {
    match kind {
        Kind::Begin => Part::Begin,
        Kind::Commit | Kind::Rollback => Part::End,
        _ => Part::Statement,
    }
}

/// Classifies the statement of a simple query. An outer error ends the session, an inner one only
/// rejects the query.
fn classify_query(frame: &Frame) -> Result<Result<Kind, Failure>, End> {
    let text = frame::split_string(&mut frame.payload());
    let text =
        text.ok_or_else(|| Failure::protocol_violation("Query without a terminating NUL byte"))?;
    Ok(match std::str::from_utf8(&text) {
        Ok(text) => statement::classify(text),
        Err(_) => Err(Failure::invalid_encoding()),
    })
}
