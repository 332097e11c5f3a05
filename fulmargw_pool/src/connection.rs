//! Connections to backend servers.

use crate::{
    backend::Server,
    dialect::Dialect,
    message::{Command, Response},
    process::Tenure,
    scheduling::Hold,
};
use bytes::BytesMut;
use fulmargw_model::{
    execution::{Code, Reply, Template, Text, TransactionState, Variables},
    name::Name,
    position::Position,
};
use futures::{SinkExt as _, StreamExt as _};
use socket2::{SockRef, TcpKeepalive};
use std::{
    collections::HashSet,
    fmt::{self, Display, Formatter},
    io,
    time::Duration,
};
use tokio::{net::TcpStream, time::Instant};
use tokio_util::{codec::Framed, sync::CancellationToken};

/// Time for which sent bytes may stay unacknowledged before the connection is closed, for example
/// because the server lost power.
const USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle time before the first TCP keep-alive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unacknowledged keep-alive probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 3;

/// Buffers of a connection that held more than this are released after the statement, in bytes.
const MAX_IDLE_BUFFER_BYTES: usize = 64 * 1024;
/// Variables of a connection are remembered up to this size, in bytes. Others are reset before the
/// next statement, so that an idle connection does not keep the values of a session.
const MAX_KNOWN_VARIABLE_BYTES: usize = 16 * 1024;
/// Number of prepared statements of a connection after which all are removed.
const MAX_PREPARED: usize = 1_024;

/// An open connection to a backend server. It must be dropped after an error.
#[derive(Debug)]
pub struct Connection<D: Dialect> {
    framed: Framed<TcpStream, D::BackendCodec>,
    /// Client account on whose behalf it was opened.
    pub account: Name,
    /// What is known of the process that responds on it.
    pub tenure: Tenure,
    /// Time of the last response.
    pub last_response_at: Instant,
    /// Log position that the server reported last.
    pub position: Option<Position>,
    /// Counts the connection as held by its account while a transaction is open on it.
    pub hold: Option<Hold>,
    /// Whether the last transaction began as a read-only one, whose commit changes nothing.
    pub is_read_only: bool,
    variables: Variables,
    prepared: HashSet<Text>,
    /// Cancelled once nothing may be sent to the server any more.
    gate: CancellationToken,
    /// Whether the connection has state that is not remembered.
    must_reset: bool,
}

/// The zone of the server is evacuated, so nothing was sent.
#[derive(Debug, Clone, Copy)]
struct Evacuated;

impl Display for Evacuated {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("the zone of the server is evacuated")
    }
}

impl std::error::Error for Evacuated {}

/// Reports whether commands were not sent because the zone of the server is evacuated.
#[must_use]
pub fn is_evacuated(error: &io::Error) -> bool {
    let Some(inner) = error.get_ref() else {
        return false;
    };
    inner.is::<Evacuated>()
}

/// Result of checking whether a server is the primary.
#[derive(Debug, Clone, Copy)]
pub struct PrimaryCheck {
    /// Whether the server proved to be the primary.
    pub is_primary: bool,
    /// Last position of the server's log.
    pub position: Option<Position>,
}

/// Reasons why a connection could not be opened.
#[derive(Debug)]
pub enum Error {
    /// The server refused the connection with this code.
    Refused(Code),
    /// The TCP connection could not be established.
    Unreachable(io::Error),
    /// The server accepted the TCP connection and closed it, as it does when it has too many
    /// connections.
    Dropped(io::Error),
    /// The zone of the server is evacuated.
    Evacuated,
}

impl<D: Dialect> Connection<D> {
    /// Opens a connection to a server on behalf of a client account. It sends nothing once `gate` is
    /// cancelled.
    ///
    /// # Errors
    ///
    /// Returns an error if the TCP connection fails, the server refuses the connection, or `gate` is
    /// cancelled.
    pub async fn open(
        server: &Server,
        account: Name,
        gate: &CancellationToken,
    ) -> Result<Self, Error> {
        let opened = gate.run_until_cancelled(Self::open_gated(server, account, gate));
        opened.await.unwrap_or(Err(Error::Evacuated))
    }

    async fn open_gated(
        server: &Server,
        account: Name,
        gate: &CancellationToken,
    ) -> Result<Self, Error> {
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
            tenure: Tenure::new(Instant::now()),
            last_response_at: Instant::now(),
            position: None,
            hold: None,
            is_read_only: false,
            variables: Variables::new(),
            prepared: HashSet::new(),
            gate: gate.clone(),
            must_reset: false,
        };
        let sent = connection.framed.send(start).await;
        sent.map_err(Error::Dropped)?;
        match connection.next().await.map_err(Error::Dropped)? {
            Response::Ready(TransactionState::Idle, position) => {
                connection.position = position;
                connection.tenure = Tenure::new(Instant::now());
                Ok(connection)
            }
            Response::Error(code, _) => Err(Error::Refused(code)),
            other => Err(Error::Dropped(unexpected(&other))),
        }
    }

    /// Sends commands in order and reads the complete reply to each.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream fails. It is then unknown which commands the server ran, unless
    /// [`is_evacuated`] reports that none was sent.
    pub async fn run(&mut self, commands: Vec<Command>) -> io::Result<Vec<Reply>> {
        if self.gate.is_cancelled() {
            return Err(io::Error::other(Evacuated));
        }
        let count = commands.len();
        let sent_at = Instant::now();
        let mut sent = 0;
        for command in commands {
            self.framed.feed(command).await?;
            sent = sent.max(self.framed.write_buffer().len());
        }
        self.framed.flush().await?;
        let mut replies = Vec::with_capacity(count);
        for _ in 0..count {
            replies.push(self.reply().await?);
        }
        self.tenure.record_response(sent_at);
        let rows = replies.iter().flat_map(|reply| &reply.rows);
        let received: usize = rows.map(Text::len).sum();
        self.release_buffers(sent, received);
        Ok(replies)
    }

    /// Releases the buffers after a large statement or large rows. Their capacity does not tell, as
    /// it shrinks while they are read and written.
    fn release_buffers(&mut self, sent: usize, received: usize) {
        if sent > MAX_IDLE_BUFFER_BYTES {
            *self.framed.write_buffer_mut() = BytesMut::new();
        }
        if received > MAX_IDLE_BUFFER_BYTES {
            let input = self.framed.read_buffer_mut();
            *input = BytesMut::from(&input[..]);
        }
    }

    /// Checks whether the server is the primary by beginning and rolling back a transaction, which
    /// a server refuses that is no longer the primary.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream fails or the connection remains in a transaction.
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

    /// Returns the commands that set a session's variables and prepare a statement template on the
    /// connection.
    #[must_use]
    pub fn setup_commands(
        &self,
        variables: &Variables,
        template: Option<&Template>,
    ) -> Vec<Command> {
        let mut commands = Vec::new();
        let is_absent = |name: &Text| !variables.contains_key(name);
        let reset = self.must_reset || self.variables.keys().any(is_absent);
        if reset {
            commands.push(Command::Reset);
        }
        let differs =
            |(name, value): &(&Text, &Text)| reset || self.variables.get(*name) != Some(*value);
        let set = variables.iter().filter(differs);
        commands.extend(set.map(|(name, value)| Command::Set(name.clone(), value.clone())));
        let template =
            template.filter(|template| reset || !self.prepared.contains(&template.shared_name));
        commands.extend(
            template.map(|template| {
                Command::Prepare(template.shared_name.clone(), template.text.clone())
            }),
        );
        commands
    }

    /// Records that the commands returned by [`Self::setup_commands`] succeeded.
    pub fn record_setup(
        &mut self,
        variables: &Variables,
        template: Option<&Template>,
        commands: &[Command],
    ) {
        if commands.contains(&Command::Reset) {
            self.prepared.clear();
        }
        self.must_reset = false;
        self.variables.clone_from(variables);
        if let Some(template) = template {
            self.prepared.insert(template.shared_name.clone());
        }
    }

    /// Reports whether nothing may be sent on the connection any more.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.gate.is_cancelled()
    }

    /// Waits until nothing may be sent on the connection any more.
    pub async fn closed(&self) {
        self.gate.cancelled().await;
    }

    /// Forgets large state of a session before the connection becomes idle. The next statement then
    /// resets it.
    pub fn forget_large_state(&mut self) {
        let variables = self.variables.iter();
        let bytes: usize = variables
            .map(|(name, value)| name.len() + value.len())
            .sum();
        if bytes > MAX_KNOWN_VARIABLE_BYTES || self.prepared.len() >= MAX_PREPARED {
            self.variables.clear();
            self.must_reset = true;
        }
    }

    /// Reports whether the server has closed the connection or sent an unexpected message.
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
                    self.last_response_at = Instant::now();
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

fn unexpected(response: &Response) -> io::Error {
    let kind = match response {
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

/// Sets TCP options that detect a remote end which went away without closing the connection.
///
/// # Errors
///
/// Returns an error if the operating system refuses an option.
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
