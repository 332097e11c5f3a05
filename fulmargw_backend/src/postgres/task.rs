//! The tasks of a connection as pipelines of statements.

use super::{exchange::Connection, segment::Segment};
use crate::{
    batch::{Answer, Batch},
    connection::{self, Cancellation, Error, Kind, Level, Reply, Task, TransactionState},
    group,
};
use bytes::BytesMut;
use fulmargw_model::{
    backend_server::Status,
    outcome::Step,
    position::{Position, Term},
    request::Id,
};
use std::time::Duration;

impl Connection {
    async fn read(
        &mut self,
        min_position: Option<(Position, Duration)>,
        with_status: bool,
        body: &Batch,
    ) -> Result<Reply<Answer>, Error> {
        let mut request = BytesMut::new();
        let mut segments = Vec::with_capacity(3);
        if let Some((position, timeout)) = min_position {
            let wait = group::wait(Level::Applied, position, timeout);
            self.put_query(&mut request, &wait)?;
            segments.push(Segment::wrapping(Step::Execute));
        }
        request.extend_from_slice(&body.messages);
        segments.push(self.segment(Step::Execute, body));
        if with_status {
            self.put_query(&mut request, group::STATUS)?;
            segments.push(Segment::wrapping(Step::Execute));
        }
        self.exchange(&request, &mut segments).await?;
        let mut segments = segments.into_iter();
        if let Some(wait) = min_position.and_then(|_| segments.next()) {
            self.accept(&wait)?;
        }
        let body = segments
            .next()
            .ok_or_else(|| self.malformed(Step::Execute))?;
        let mut reply = self.reply(body, None)?;
        // A body that left a failed transaction open makes the question fail, too.
        let row = segments.next().and_then(|mut status| status.take_row());
        reply.status = row.and_then(|mut row| row.status());
        Ok(reply)
    }

    async fn write(&mut self, id: &Id, attempt: u64, body: &Batch) -> Result<Reply<Answer>, Error> {
        let mut request = BytesMut::new();
        self.put_query(&mut request, "BEGIN")?;
        self.put_query(&mut request, &group::record(id, attempt))?;
        request.extend_from_slice(&body.messages);
        self.put_query(&mut request, "COMMIT")?;
        self.put_query(&mut request, group::POSITION)?;
        let mut segments = [
            Segment::wrapping(Step::Execute),
            Segment::wrapping(Step::Execute),
            self.segment(Step::Execute, body),
            Segment::wrapping(Step::Commit),
            Segment::wrapping(Step::Commit),
        ];
        self.exchange(&request, &mut segments).await?;
        let [begin, record, body, commit, position] = segments;
        self.check_begin(&begin)?;
        self.accept(&record)?;
        if commit.is_commit() {
            let position = self.position(position)?;
            return self.reply(body, Some(position));
        }
        self.not_committed(body, commit)
    }

    /// Without a transaction around them, the statements after a failed `BEGIN` can have run
    /// on their own. Only a wrong term excludes that, because it fails them all.
    fn check_begin(&self, begin: &Segment) -> Result<(), Error> {
        match &begin.fault {
            Some(fault) if fault.kind() != Some(Kind::WrongTerm) => {
                Err(self.error(begin.step, Kind::Protocol(fault.to_string())))
            }
            _ => self.accept(begin),
        }
    }

    /// Makes the reply of a write that was rolled back.
    fn not_committed(&self, body: Segment, commit: Segment) -> Result<Reply<Answer>, Error> {
        let transaction = commit.transaction;
        if body.fault.is_some() {
            return self.reply(body.ending(transaction), None);
        }
        if commit.fault.is_some() {
            return self.reply(commit, None);
        }
        let kind = Kind::Refused("the transaction was rolled back".into());
        Err(self.error(Step::Commit, kind))
    }

    /// The record waits for the answer to the body: after a body that began no transaction,
    /// it would commit on its own.
    async fn begin(
        &mut self,
        record: Option<(&Id, u64)>,
        body: &Batch,
    ) -> Result<Reply<Answer>, Error> {
        let reply = self.inside(body).await?;
        let (Some((id, attempt)), TransactionState::Open) = (record, reply.transaction) else {
            return Ok(reply);
        };
        self.call(&group::record(id, attempt)).await?;
        self.recorded = true;
        Ok(reply)
    }

    async fn inside(&mut self, body: &Batch) -> Result<Reply<Answer>, Error> {
        let mut segments = [self.segment(Step::Execute, body)];
        self.exchange(&body.messages, &mut segments).await?;
        let [body] = segments;
        self.reply(body, None)
    }

    async fn end(&mut self, body: &Batch) -> Result<Reply<Answer>, Error> {
        if !self.recorded {
            return self.inside(body).await;
        }
        let mut request = BytesMut::from(&body.messages[..]);
        self.put_query(&mut request, group::POSITION)?;
        let mut segments = [
            self.segment(Step::Commit, body),
            Segment::wrapping(Step::Commit),
        ];
        self.exchange(&request, &mut segments).await?;
        let [body, position] = segments;
        self.recorded = body.transaction != TransactionState::Idle;
        if body.is_commit() {
            let position = self.position(position)?;
            return self.reply(body, Some(position));
        }
        self.reply(body, None)
    }

    /// Ends an open transaction, so that the connection can serve another caller.
    async fn reset(&mut self) -> Result<(), Error> {
        self.recorded = false;
        if self.transaction != TransactionState::Idle {
            self.call("ROLLBACK").await?;
        }
        Ok(())
    }

    fn segment(&self, step: Step, body: &Batch) -> Segment {
        Segment::body(step, self.answer_limit, body.replayed)
    }

    /// Makes a reply. An error of the group ends the task instead, except on a connection
    /// without a term, where it tells the caller that the statement may not write.
    fn reply(&self, segment: Segment, committed: Option<Position>) -> Result<Reply<Answer>, Error> {
        let kind = segment.fault.as_ref().and_then(group::Fault::kind);
        if let (Some(kind), None, true) = (kind, committed, self.term > Term::default()) {
            return Err(self.error(segment.step, kind));
        }
        let transaction = match committed {
            Some(_) => TransactionState::Idle,
            None => segment.transaction,
        };
        Ok(Reply {
            answer: segment.into_answer(transaction),
            transaction,
            committed,
            status: None,
        })
    }

    fn position(&self, mut segment: Segment) -> Result<Position, Error> {
        let row = segment.take_row();
        row.and_then(|mut row| row.position())
            .ok_or_else(|| self.malformed(segment.step))
    }

    async fn call_status(&mut self, statement: &str) -> Result<Status, Error> {
        let row = self.call(statement).await?;
        row.and_then(|mut row| row.status())
            .ok_or_else(|| self.malformed(Step::Execute))
    }
}

/// Corrects the state of a reply after its transaction was rolled back.
fn idle(mut reply: Reply<Answer>) -> Reply<Answer> {
    reply.transaction = TransactionState::Idle;
    reply.answer.transaction = TransactionState::Idle;
    reply
}

impl connection::Connection for Connection {
    type Body = Batch;
    type Answer = Answer;

    async fn run(&mut self, task: Task<'_, Batch>) -> Result<Reply<Answer>, Error> {
        let alone = matches!(task, Task::Read { .. } | Task::Write { .. });
        let result = match task {
            Task::Read {
                min_position,
                with_status,
                body,
            } => self.read(min_position, with_status, body).await,
            Task::Write { id, attempt, body } => self.write(id, attempt, body).await,
            Task::Begin { record, body } => self.begin(record, body).await,
            Task::InTransaction { body } => self.inside(body).await,
            Task::End { body } => self.end(body).await,
        };
        match result {
            // The body of a read that opens a transaction must not leave it to other callers.
            Ok(reply) if alone && reply.transaction != TransactionState::Idle => {
                self.reset().await?;
                Ok(idle(reply))
            }
            Err(error) if error.is_reusable() => {
                self.reset().await?;
                Err(error)
            }
            result => result,
        }
    }

    async fn status(&mut self) -> Result<Status, Error> {
        self.call_status(group::STATUS).await
    }

    async fn fence(&mut self, term: Term) -> Result<Status, Error> {
        self.call_status(&group::fence(term)).await
    }

    async fn promote(&mut self, term: Term) -> Result<Status, Error> {
        self.call_status(&group::promote(term)).await
    }

    async fn wait(
        &mut self,
        level: Level,
        position: Position,
        timeout: Duration,
    ) -> Result<Status, Error> {
        self.call_status(&group::wait(level, position, timeout))
            .await
    }

    async fn cancel(&mut self, id: &Id, attempt: u64) -> Result<Cancellation, Error> {
        let row = self.call(&group::cancel(id, attempt)).await?;
        row.and_then(|mut row| row.cancellation())
            .ok_or_else(|| self.malformed(Step::Resolve))
    }
}
