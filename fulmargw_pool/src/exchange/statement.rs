//! Sends the commands of one statement on an open connection and reads the replies.

use crate::{
    connection::{self, Connection},
    dialect::Dialect,
    job::Job,
    message::Command,
};
use fulmargw_model::{
    execution::{Code, Kind, Reply, Trace, TransactionState},
    position::Position,
};
use std::io;

/// Why there is no reply to a statement.
pub(super) enum Failure {
    /// The server rejected the transaction's begin with this code; the statement was not sent.
    Rejected(Code),
    /// The connection failed after the statement was sent, or may have been sent.
    Lost(io::Error),
    /// The connection failed, or could not be set up, before the statement was sent.
    NotSent,
    /// The zone of the server is evacuated, so the statement was not sent.
    Evacuated,
}

impl Failure {
    /// Returns the failure of a command that precedes the statement.
    fn before(cause: &io::Error) -> Self {
        if connection::is_evacuated(cause) {
            Self::Evacuated
        } else {
            Self::NotSent
        }
    }

    /// Returns the failure of the statement itself.
    fn of(cause: io::Error) -> Self {
        if connection::is_evacuated(&cause) {
            Self::Evacuated
        } else {
            Self::Lost(cause)
        }
    }
}

/// Sets the session's variables on the connection, prepares the statement template and runs the
/// statement.
pub(super) async fn run_statement<D: Dialect>(
    connection: &mut Connection<D>,
    job: &Job<D>,
    trace: &Trace,
) -> Result<Reply, Failure> {
    let commands = connection.setup_commands(
        &job.request.variables,
        job.request.statement.template.as_ref(),
    );
    if !commands.is_empty() {
        let replies = connection.run(commands.clone()).await;
        let replies = replies.map_err(|cause| Failure::before(&cause))?;
        if replies.iter().any(|reply| reply.result.is_err()) {
            return Err(Failure::NotSent);
        }
        connection.record_setup(
            &job.request.variables,
            job.request.statement.template.as_ref(),
            &commands,
        );
    }
    match job.request.statement.kind {
        // Without a minimum position the read must see every commit, which only a server that
        // proves to be the primary has for certain.
        Kind::Read if trace.min_position.is_none() => read_on_primary(connection, job).await,
        Kind::Read => run_last(connection, vec![run_command(job, trace.min_position)]).await,
        Kind::FirstInTransaction { read_only } => {
            // Without a minimum position even a read-only transaction begins as a read-write one,
            // because only that fails if the server is no longer the primary.
            let read_only = read_only && trace.min_position.is_some();
            begin(connection, read_only, trace.min_position).await?;
            run_last(connection, vec![run_command(job, None)]).await
        }
        Kind::Write | Kind::InTransaction | Kind::Commit | Kind::Rollback => {
            run_last(connection, vec![run_command(job, None)]).await
        }
    }
}

fn run_command<D: Dialect>(job: &Job<D>, after: Option<Position>) -> Command {
    Command::Run {
        id: job.request.statement.id.clone(),
        after,
        text: job.request.statement.text.clone(),
    }
}

/// Runs a read in a transaction of its own, which fails on a server that is no longer the primary.
async fn read_on_primary<D: Dialect>(
    connection: &mut Connection<D>,
    job: &Job<D>,
) -> Result<Reply, Failure> {
    begin(connection, false, None).await?;
    let commands = vec![run_command(job, None), Command::Rollback];
    let replies = connection.run(commands).await.map_err(Failure::of)?;
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
    connection.is_read_only = read_only;
    let begin = Command::Begin { read_only, after };
    let replies = connection.run(vec![begin]).await;
    let replies = replies.map_err(|cause| Failure::before(&cause))?;
    let reply = replies.into_iter().next();
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
        }) => Err(Failure::Rejected(cause_code)),
        _ => Err(Failure::NotSent),
    }
}

async fn run_last<D: Dialect>(
    connection: &mut Connection<D>,
    commands: Vec<Command>,
) -> Result<Reply, Failure> {
    let replies = connection.run(commands).await.map_err(Failure::of)?;
    replies
        .into_iter()
        .next_back()
        .ok_or_else(|| Failure::Lost(io::ErrorKind::InvalidData.into()))
}
