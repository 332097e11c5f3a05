//! The messages of one exchange on an open connection.

use crate::{connection::Connection, dialect::Dialect, job::Job, message::Command};
use fulmargw_model::{
    execution::{Code, Kind, Reply, Trace, TransactionState},
    position::Position,
};
use std::io;

/// What ended an exchange without an answer to the statement.
pub(super) enum Failure {
    /// The statement was not sent; the server gave this code.
    Turned(Code),
    /// The statement was sent, or may have been.
    Lost(io::Error),
    /// The statement was not sent, and the connection failed.
    Unsent,
}

/// Brings the connection into the session's state and runs the statement.
pub(super) async fn speak<D: Dialect>(
    connection: &mut Connection<D>,
    job: &Job<D>,
    place: &Trace,
) -> Result<Reply, Failure> {
    let commands = connection.adapt(&job.order.variables, job.order.statement.template.as_ref());
    if !commands.is_empty() {
        let replies = connection.run(commands.clone()).await;
        let replies = replies.map_err(|_| Failure::Unsent)?;
        if replies.iter().any(|reply| reply.result.is_err()) {
            return Err(Failure::Unsent);
        }
        connection.adapted(
            &job.order.variables,
            job.order.statement.template.as_ref(),
            &commands,
        );
    }
    match job.order.statement.kind {
        // Without a position only a server that provably leads has what the read must see.
        Kind::Read if place.min_position.is_none() => led_read(connection, job).await,
        Kind::Read => last(connection, vec![statement(job, place.min_position)]).await,
        Kind::FirstInTransaction { read_only } => {
            // Without a position the transaction is a plain one even if it only reads, because only
            // such a one fails once the server has lost the lead.
            let read_only = read_only && place.min_position.is_some();
            begin(connection, read_only, place.min_position).await?;
            last(connection, vec![statement(job, None)]).await
        }
        Kind::Write | Kind::InTransaction | Kind::Commit | Kind::Rollback => {
            last(connection, vec![statement(job, None)]).await
        }
    }
}

fn statement<D: Dialect>(job: &Job<D>, after: Option<Position>) -> Command {
    Command::Run {
        id: job.order.statement.id.clone(),
        after,
        text: job.order.statement.text.clone(),
    }
}

/// Reads inside a transaction of its own, which fails on a server that has lost the lead.
async fn led_read<D: Dialect>(
    connection: &mut Connection<D>,
    job: &Job<D>,
) -> Result<Reply, Failure> {
    begin(connection, false, None).await?;
    let commands = vec![statement(job, None), Command::Rollback];
    let replies = connection.run(commands).await.map_err(Failure::Lost)?;
    let mut replies = replies.into_iter();
    let (Some(read), Some(end)) = (replies.next(), replies.next()) else {
        return Err(Failure::Lost(io::ErrorKind::InvalidData.into()));
    };
    if end.state != TransactionState::Idle {
        return Err(Failure::Lost(io::ErrorKind::InvalidData.into()));
    }
    Ok(Reply {
        state: TransactionState::Idle,
        ..read
    })
}

async fn begin<D: Dialect>(
    connection: &mut Connection<D>,
    read_only: bool,
    after: Option<Position>,
) -> Result<(), Failure> {
    let begin = Command::Begin { read_only, after };
    let replies = connection.run(vec![begin]).await;
    let reply = replies.map_err(|_| Failure::Unsent)?.into_iter().next();
    match reply {
        Some(Reply {
            result: Ok(_),
            state: TransactionState::Open,
            ..
        }) => Ok(()),
        Some(Reply {
            result: Err((cause_code, _)),
            state: TransactionState::Idle,
            ..
        }) => Err(Failure::Turned(cause_code)),
        _ => Err(Failure::Unsent),
    }
}

async fn last<D: Dialect>(
    connection: &mut Connection<D>,
    commands: Vec<Command>,
) -> Result<Reply, Failure> {
    let replies = connection.run(commands).await.map_err(Failure::Lost)?;
    replies
        .into_iter()
        .next_back()
        .ok_or_else(|| Failure::Lost(io::ErrorKind::InvalidData.into()))
}
