//! Treatment of the messages of a caller.

use super::{End, Session, request::Work};
use crate::{
    batch::{Collected, Operation},
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
    /// Treats one message.
    pub(super) async fn treat(&mut self, frame: &Frame) -> Result<(), End> {
        match frame.tag {
            b'X' => Err(End::Closed),
            b'S' => self.sync(frame).await,
            _ if self.skipping => Ok(()),
            b'Q' => self.query(frame).await,
            b'P' | b'B' | b'D' | b'C' | b'E' => self.collect(frame).await,
            b'H' if self.collector.is_empty() => Ok(()),
            b'H' => {
                self.skip(&Failure::unsupported("Flush before a Sync"))
                    .await
            }
            b'F' => {
                self.channel
                    .output
                    .error(&Failure::unsupported("a function call"));
                self.ready().await
            }
            // Data of a COPY that was refused; PostgreSQL ignores it as well.
            b'd' | b'c' | b'f' => Ok(()),
            tag => Err(Failure::protocol(&format!("message type {tag:#04x}")).into()),
        }
    }

    async fn collect(&mut self, frame: &Frame) -> Result<(), End> {
        match Operation::read(frame) {
            Ok(Some(operation)) => {
                self.collector.add(frame, operation, &self.host.settings)?;
                Ok(())
            }
            Ok(None) => Err(Failure::protocol("message of another kind").into()),
            Err(failure) if failure.code == Failure::PROTOCOL => Err(failure.into()),
            Err(failure) => self.skip(&failure).await,
        }
    }

    /// Answers the batch with an error; its messages were not run.
    async fn skip(&mut self, failure: &Failure) -> Result<(), End> {
        self.collector.clear();
        self.skipping = true;
        self.fail(failure);
        self.channel.flush().await
    }

    /// Reports an error of a request that was not submitted.
    pub(super) fn fail(&mut self, failure: &Failure) {
        self.channel.output.error(failure);
        self.fail_transaction();
    }

    async fn sync(&mut self, frame: &Frame) -> Result<(), End> {
        if std::mem::take(&mut self.skipping) {
            return self.ready().await;
        }
        let collected = self.collector.take(frame);
        let (count, bytes) = collected.growth();
        let fits = self.statements.check(count, bytes);
        let plan = Plan::new(&collected.operations, &self.statements, |kind| {
            self.is_local(kind)
        });
        match fits.and(plan) {
            Err(failure) => self.fail(&failure),
            Ok(Plan::Local) => self.answer_locally(collected.operations),
            Ok(Plan::Remote { part, executes }) => {
                self.relay(collected, part, executes).await?;
            }
        }
        self.ready().await
    }

    async fn relay(&mut self, collected: Collected, part: Part, executes: bool) -> Result<(), End> {
        let body = collected.batch(&self.statements);
        let work = Work {
            part,
            executes,
            body,
        };
        match self.run_work(work).await? {
            Ok(answer) => {
                let (parsed, closed) = completions(&collected, &answer);
                self.statements.apply(collected.operations, parsed, closed);
                self.channel.output.relay(&answer.messages);
            }
            Err(failure) => self.channel.output.error(&failure),
        }
        Ok(())
    }

    async fn query(&mut self, frame: &Frame) -> Result<(), End> {
        if !self.collector.is_empty() {
            return Err(Failure::protocol("query before a Sync").into());
        }
        // A simple query drops the unnamed statement.
        self.statements.remove(b"");
        match recognise(frame)? {
            Err(failure) => self.fail(&failure),
            Ok(Kind::Empty) => self.channel.output.empty_query(),
            Ok(kind) if self.is_local(&kind) => self.execute_locally(&kind),
            Ok(kind) => {
                let work = Work {
                    part: part(&kind),
                    executes: true,
                    body: Batch {
                        messages: frame.bytes.clone(),
                        replayed: 0,
                    },
                };
                match self.run_work(work).await? {
                    Ok(answer) => self.channel.output.relay(&answer.messages),
                    Err(failure) => self.channel.output.error(&failure),
                }
            }
        }
        self.ready().await
    }
}

/// Counts the messages that prepared and closed something.
fn completions(collected: &Collected, answer: &Answer) -> (usize, usize) {
    if !collected.changes_names() {
        return (0, 0);
    }
    frame::split(&answer.messages).fold((0, 0), |(parsed, closed), frame| match frame.tag {
        b'1' => (parsed + 1, closed),
        b'3' => (parsed, closed + 1),
        _ => (parsed, closed),
    })
}

fn part(kind: &Kind) -> Part {
    match kind {
        Kind::Begin => Part::Begin,
        Kind::Commit | Kind::Rollback => Part::End,
        _ => Part::Statement,
    }
}

/// Recognises the statement of a simple query; the outer error ends the session.
fn recognise(frame: &Frame) -> Result<Result<Kind, Failure>, End> {
    let text = frame::split_string(&mut frame.payload());
    let text = text.ok_or_else(|| Failure::protocol("query without an end"))?;
    Ok(match std::str::from_utf8(&text) {
        Ok(text) => statement::recognise(text),
        Err(_) => Err(Failure::encoding()),
    })
}
