//! One connection to a backend server.

use crate::{
    backend::Server,
    dialect::Dialect,
    message::{Command, Response},
};
use fulmargw_model::{
    execution::{Code, Reply, Template, Text, TransactionState, Variables},
    name::Name,
    position::Position,
};
use futures::{SinkExt as _, StreamExt as _};
use socket2::{SockRef, TcpKeepalive};
use std::{collections::HashSet, io, time::Duration};
use tokio::{net::TcpStream, time::Instant};
use tokio_util::codec::Framed;

/// Time after which unacknowledged bytes close a connection to a dark server.
const USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle time before the first keep-alive probe, and time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 3;

/// An open connection. After an error it must be dropped.
#[derive(Debug)]
pub struct Connection<D: Dialect> {
    framed: Framed<TcpStream, D::BackendCodec>,
    /// Account on whose behalf it was opened.
    pub account: Name,
    /// Time of the last answer.
    pub used: Instant,
    /// Position that the server told last.
    pub position: Option<Position>,
    values: Variables,
    prepared: HashSet<Text>,
}

/// What a server said when it was asked whether it leads.
#[derive(Debug, Clone, Copy)]
pub struct PrimaryCheck {
    /// Whether it led when it was asked.
    pub is_primary: bool,
    /// Last position of its log.
    pub position: Option<Position>,
}

/// Failures to open a connection.
#[derive(Debug)]
pub enum Error {
    /// The server gave this code.
    Refused(Code),
    /// The server cannot be reached.
    Unreachable(io::Error),
    /// The server accepted the stream and dropped it, as it does with too many connections.
    Dropped(io::Error),
}

impl<D: Dialect> Connection<D> {
    /// Opens a connection to a server on behalf of an account.
    ///
    /// # Errors
    ///
    /// The stream cannot be opened, or the server refuses.
    pub async fn open(server: &Server, account: Name) -> Result<Self, Error> {
        let stream = TcpStream::connect(server.address).await;
        let stream = stream.map_err(Error::Unreachable)?;
        set_socket_options(&stream).map_err(Error::Unreachable)?;
        let start = Command::Start {
            service: server.service.clone(),
            account: account.clone(),
            server: server.id.clone(),
        };
        let mut connection = Self {
            framed: Framed::new(stream, D::BackendCodec::default()),
            account,
            used: Instant::now(),
            position: None,
            values: Variables::new(),
            prepared: HashSet::new(),
        };
        let sent = connection.framed.send(start).await;
        sent.map_err(Error::Dropped)?;
        match connection.next().await.map_err(Error::Dropped)? {
            Response::Ready(TransactionState::Idle, position) => {
                connection.position = position;
                Ok(connection)
            }
            Response::Error(code, _) => Err(Error::Refused(code)),
            other => Err(Error::Dropped(unexpected(&other))),
        }
    }

    /// Runs commands in order and reads the whole answer to each.
    ///
    /// # Errors
    ///
    /// The stream failed; what the server ran of the commands is unknown.
    pub async fn run(&mut self, commands: Vec<Command>) -> io::Result<Vec<Reply>> {
        let count = commands.len();
        for command in commands {
            self.framed.feed(command).await?;
        }
        self.framed.flush().await?;
        let mut replies = Vec::with_capacity(count);
        for _ in 0..count {
            replies.push(self.reply().await?);
        }
        Ok(replies)
    }

    /// Begins and ends a transaction, which a server that has lost the lead refuses.
    ///
    /// # Errors
    ///
    /// The stream failed, or the connection is left in a transaction.
    pub async fn verify_primary(&mut self) -> io::Result<PrimaryCheck> {
        let begin = Command::Begin {
            read_only: false,
            after: None,
        };
        let replies = self.run(vec![begin, Command::Rollback]).await?;
        match replies.as_slice() {
            [first, ended] if ended.state == TransactionState::Idle => Ok(PrimaryCheck {
                is_primary: first.result.is_ok() && first.state == TransactionState::Open,
                position: first.position,
            }),
            _ => Err(io::ErrorKind::InvalidData.into()),
        }
    }

    /// Returns the commands that give the connection a session's values and a shape.
    #[must_use]
    pub fn adapt(&self, values: &Variables, shape: Option<&Template>) -> Vec<Command> {
        let mut commands = Vec::new();
        let is_foreign = |name: &Text| !values.contains_key(name);
        let reset = self.values.keys().any(is_foreign);
        if reset {
            commands.push(Command::Reset);
        }
        let differs =
            |(name, value): &(&Text, &Text)| reset || self.values.get(*name) != Some(*value);
        let set = values.iter().filter(differs);
        commands.extend(set.map(|(name, value)| Command::Set(name.clone(), value.clone())));
        let shape = shape.filter(|shape| reset || !self.prepared.contains(&shape.shared_name));
        commands.extend(
            shape.map(|shape| Command::Prepare(shape.shared_name.clone(), shape.text.clone())),
        );
        commands
    }

    /// Notes that the commands of [`Self::adapt`] were answered with success.
    pub fn adapted(&mut self, values: &Variables, shape: Option<&Template>, commands: &[Command]) {
        if commands.contains(&Command::Reset) {
            self.prepared.clear();
        }
        self.values.clone_from(values);
        if let Some(shape) = shape {
            self.prepared.insert(shape.shared_name.clone());
        }
    }

    /// Reports whether the far end has closed the connection or sent something unasked.
    #[must_use]
    pub fn is_stale(&self) -> bool {
        let mut byte = [0];
        !matches!(
            self.framed.get_ref().try_read(&mut byte),
            Err(cause) if cause.kind() == io::ErrorKind::WouldBlock
        )
    }

    async fn reply(&mut self) -> io::Result<Reply> {
        let mut rows = Vec::new();
        let mut result = None;
        loop {
            match self.next().await? {
                Response::Row(row) if result.is_none() => rows.push(row),
                Response::Complete(signature) if result.is_none() => result = Some(Ok(signature)),
                Response::Error(code, text) if result.is_none() => result = Some(Err((code, text))),
                Response::Ready(state, position) if result.is_some() => {
                    self.used = Instant::now();
                    self.position = position;
                    let result = result.unwrap_or(Ok(Text::new()));
                    return Ok(Reply {
                        rows,
                        result,
                        state,
                        position,
                    });
                }
                other => return Err(unexpected(&other)),
            }
        }
    }

    async fn next(&mut self) -> io::Result<Response> {
        let next = self.framed.next().await;
        next.unwrap_or_else(|| Err(io::ErrorKind::UnexpectedEof.into()))
    }
}

fn unexpected(answer: &Response) -> io::Error {
    let kind = match answer {
        Response::Row(_) => "row",
        Response::Complete(_) => "completion",
        Response::Error(..) => "error",
        Response::Ready(..) => "ready",
    };
    io::Error::new(
        io::ErrorKind::InvalidData,
        format!("unexpected message: {kind}"),
    )
}

/// Makes a stream notice a far end that is gone without a word.
///
/// # Errors
///
/// The operating system refuses an option.
pub fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}
