//! Runs tasks as pipelines of statements.

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
            self.append_query(&mut request, &wait)?;
            segments.push(Segment::wrapping(Step::Execute));
        }
        request.extend_from_slice(&body.messages);
        segments.push(self.segment(Step::Execute, body));
        if with_status {
            self.append_query(&mut request, group::STATUS)?;
            segments.push(Segment::wrapping(Step::Execute));
        }
        self.exchange(&request, &mut segments).await?;
        let mut segments = segments.into_iter();
        if let Some(wait) = min_position.and_then(|_| segments.next()) {
            self.check_wrapping(&wait)?;
        }
        let body = segments
            .next()
            .ok_or_else(|| self.malformed_row(Step::Execute))?;
        let mut reply = self.reply(body, None)?;
        // After a body that left a failed transaction open, the status query fails as well; the
        // reply then has no status.
        let row = segments.next().and_then(|mut status| status.take_row());
        reply.status = row.and_then(|mut row| row.status());
        Ok(reply)
    }

    async fn write(&mut self, id: &Id, attempt: u64, body: &Batch) -> Result<Reply<Answer>, Error> {
        let mut request = BytesMut::new();
        self.append_query(&mut request, "BEGIN")?;
        self.append_query(&mut request, &group::record(id, attempt))?;
        request.extend_from_slice(&body.messages);
        self.append_query(&mut request, "COMMIT")?;
        self.append_query(&mut request, group::POSITION)?;
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
        self.check_wrapping(&record)?;
        if commit.is_commit() {
            let position = self.read_position(position)?;
            return self.reply(body, Some(position));
        }
        self.rolled_back(body, commit)
    }

    /// Fails if `BEGIN` failed. The statements after it may then have run, each in a transaction of
    /// its own, so the error must not count as "not run". The exception is a wrong term, with which
    /// the server refuses all of them.
    fn check_begin(&self, begin: &Segment) -> Result<(), Error> {
        match &begin.error {
            Some(error) if error.kind() != Some(Kind::WrongTerm) => {
                Err(self.error(begin.step, Kind::Protocol(error.to_string())))
            }
            _ => self.check_wrapping(begin),
        }
    }

    /// Returns the reply to a write that was rolled back.
    fn rolled_back(&self, body: Segment, commit: Segment) -> Result<Reply<Answer>, Error> {
        let transaction = commit.transaction;
        if body.error.is_some() {
            return self.reply(body.with_transaction(transaction), None);
        }
        if commit.error.is_some() {
            return self.reply(commit, None);
        }
        let kind = Kind::Refused("the transaction was rolled back".into());
        Err(self.error(Step::Commit, kind))
    }

    /// Begins a transaction, and records the request in it. The record is sent only after the
    /// response to the body: if the body began no transaction, the record would commit by itself.
    async fn begin(
        &mut self,
        record: Option<(&Id, u64)>,
        body: &Batch,
    ) -> Result<Reply<Answer>, Error> {
        let reply = self.run_body(body).await?;
        let (Some((id, attempt)), TransactionState::Open) = (record, reply.transaction) else {
            return Ok(reply);
        };
        self.query_row(&group::record(id, attempt)).await?;
        self.has_record = true;
        Ok(reply)
    }

    async fn run_body(&mut self, body: &Batch) -> Result<Reply<Answer>, Error> {
        let mut segments = [self.segment(Step::Execute, body)];
        self.exchange(&body.messages, &mut segments).await?;
        let [body] = segments;
        self.reply(body, None)
    }

    async fn end(&mut self, body: &Batch) -> Result<Reply<Answer>, Error> {
        if !self.has_record {
            return self.run_body(body).await;
        }
        let mut request = BytesMut::from(&body.messages[..]);
        self.append_query(&mut request, group::POSITION)?;
        let mut segments = [
            self.segment(Step::Commit, body),
            Segment::wrapping(Step::Commit),
        ];
        self.exchange(&request, &mut segments).await?;
        let [body, position] = segments;
        self.has_record = body.transaction != TransactionState::Idle;
        if body.is_commit() {
            let position = self.read_position(position)?;
            return self.reply(body, Some(position));
        }
        self.reply(body, None)
    }

    /// Rolls back an open transaction, so that the connection can serve another caller.
    async fn roll_back(&mut self) -> Result<(), Error> {
        self.has_record = false;
        if self.transaction != TransactionState::Idle {
            self.query_row("ROLLBACK").await?;
        }
        Ok(())
    }

    fn segment(&self, step: Step, body: &Batch) -> Segment {
        Segment::body(step, self.max_response_bytes, body.replayed)
    }

    /// Returns the reply to a body. An error of the group functions becomes an error of the task,
    /// except on a connection without a term: there it tells the caller that the statement must not
    /// write.
    fn reply(&self, segment: Segment, committed: Option<Position>) -> Result<Reply<Answer>, Error> {
        let kind = segment.error.as_ref().and_then(group::ServerError::kind);
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

    fn read_position(&self, mut segment: Segment) -> Result<Position, Error> {
        let row = segment.take_row();
        row.and_then(|mut row| row.position())
            .ok_or_else(|| self.malformed_row(segment.step))
    }

    async fn query_status(&mut self, statement: &str) -> Result<Status, Error> {
        let row = self.query_row(statement).await?;
        row.and_then(|mut row| row.status())
            .ok_or_else(|| self.malformed_row(Step::Execute))
    }
}

/// Sets the transaction state of a reply whose transaction was rolled back.
fn with_idle_state(mut reply: Reply<Answer>) -> Reply<Answer> {
    reply.transaction = TransactionState::Idle;
    reply.answer.transaction = TransactionState::Idle;
    reply
}

impl connection::Connection for Connection {
    type Body = Batch;
    type Answer = Answer;

    async fn run(&mut self, task: Task<'_, Batch>) -> Result<Reply<Answer>, Error> {
        let must_end_idle = matches!(task, Task::Read { .. } | Task::Write { .. });
        let result = match task {
            Task::Read {
                min_position,
                with_status,
                body,
            } => self.read(min_position, with_status, body).await,
            Task::Write { id, attempt, body } => self.write(id, attempt, body).await,
            Task::Begin { record, body } => self.begin(record, body).await,
            Task::InTransaction { body } => self.run_body(body).await,
            Task::End { body } => self.end(body).await,
        };
        match result {
            // A transaction that the body opened must not be left to the next caller.
            Ok(reply) if must_end_idle && reply.transaction != TransactionState::Idle => {
                self.roll_back().await?;
                Ok(with_idle_state(reply))
            }
            Err(error) if error.is_reusable() => {
                self.roll_back().await?;
                Err(error)
            }
            result => result,
        }
    }

    async fn status(&mut self) -> Result<Status, Error> {
        self.query_status(group::STATUS).await
    }

    async fn fence(&mut self, term: Term) -> Result<Status, Error> {
        self.query_status(&group::fence(term)).await
    }

    async fn promote(&mut self, term: Term) -> Result<Status, Error> {
        self.query_status(&group::promote(term)).await
    }

    async fn wait(
        &mut self,
        level: Level,
        position: Position,
        timeout: Duration,
    ) -> Result<Status, Error> {
        self.query_status(&group::wait(level, position, timeout))
            .await
    }

    async fn cancel(&mut self, id: &Id, attempt: u64) -> Result<Cancellation, Error> {
        let row = self.query_row(&group::cancel(id, attempt)).await?;
        row.and_then(|mut row| row.cancellation())
            .ok_or_else(|| self.malformed_row(Step::Resolve))
    }
}
