//! Opens connections to backend servers.

use super::{exchange::Connection, segment};
use crate::{
    connection::{self, Error, Kind},
    frame,
};
use bytes::{Buf, BytesMut};
use fulmargw_model::{backend_server::Server, name::Name, outcome::Step, position::Term};
use futures::StreamExt;
use pgwire::messages::startup::Startup;
use std::{
    io,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpSocket, TcpStream, tcp::OwnedReadHalf},
    time,
};
use tokio_util::codec::FramedRead;

/// Parameters and limits of connections to backend servers.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Local address of the connections; `None` leaves the choice to the operating system.
    pub source: Option<IpAddr>,
    /// User name of this deployment on the backend servers.
    pub user: String,
    /// Database name on the backend servers.
    pub database: String,
    /// Time within which a connection must be open and ready.
    pub connect_timeout: Duration,
    /// Maximum length of one response, in bytes.
    pub answer_limit_bytes: usize,
}

/// Opens TCP connections without a password; the hosts authenticate the client accounts.
#[derive(Debug, Clone)]
pub struct Connector {
    settings: Arc<Settings>,
}

impl Connector {
    /// Creates a connector.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings: Arc::new(settings),
        }
    }

    async fn open(&self, server: &Server, term: Term) -> Result<Connection, Kind> {
        let stream = dial(self.settings.source, server.address)
            .await
            .map_err(|error| Kind::Refused(error.to_string()))?;
        let (read, mut write) = stream.into_split();
        // The same limit applies to each message, which bounds the memory for reading it.
        let max_response_bytes = self.settings.answer_limit_bytes;
        let mut reader = FramedRead::new(read, frame::Codec::new(max_response_bytes));
        let startup = self.startup_message(term)?;
        write
            .write_all(&startup)
            .await
            .map_err(|error| Kind::Closed(error.to_string()))?;
        read_until_ready(&mut reader).await?;
        Ok(Connection::new(
            server.name.clone(),
            term,
            reader,
            write,
            max_response_bytes,
        ))
    }

    fn startup_message(&self, term: Term) -> Result<BytesMut, Kind> {
        let mut startup = Startup::new();
        let mut put = |name: &str, value: String| startup.parameters.insert(name.into(), value);
        put("user", self.settings.user.clone());
        put("database", self.settings.database.clone());
        put("client_encoding", "UTF8".into());
        if term > Term::default() {
            put("options", format!("-c group.term={}", term.0));
        }
        let mut buffer = BytesMut::new();
        frame::append(&mut buffer, &startup).map_err(|error| Kind::Protocol(error.to_string()))?;
        Ok(buffer)
    }
}

impl connection::Connector for Connector {
    type Connection = Connection;

    async fn connect(&self, server: &Server, term: Term) -> Result<Connection, Error> {
        time::timeout(self.settings.connect_timeout, self.open(server, term))
            .await
            .unwrap_or(Err(Kind::Timeout))
            .map_err(|kind| connect_error(&server.name, kind))
    }
}

fn connect_error(server: &Name, kind: Kind) -> Error {
    metrics::counter!("fulmargw_backend_connect_errors_total").increment(1);
    Error {
        step: Step::Connect,
        server: server.clone(),
        kind,
    }
}

async fn dial(source: Option<IpAddr>, address: SocketAddr) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    if let Some(source) = source {
        socket.bind(SocketAddr::new(source, 0))?;
    }
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Reads the responses to the start-up message up to the first `ReadyForQuery`.
async fn read_until_ready(
    reader: &mut FramedRead<OwnedReadHalf, frame::Codec>,
) -> Result<(), Kind> {
    loop {
        let frame = match reader.next().await {
            Some(Ok(frame)) => frame,
            Some(Err(error)) => return Err(Kind::Closed(error.to_string())),
            None => return Err(Kind::Closed("end of stream".into())),
        };
        match frame.tag {
            b'R' if frame.payload().try_get_i32() == Ok(0) => {}
            b'R' => {
                return Err(Kind::Refused(
                    "the server requires authentication, which is not supported".into(),
                ));
            }
            b'E' => return Err(segment::decode_error(&frame).connect_kind()),
            b'Z' => return Ok(()),
            b'S' | b'K' | b'N' | b'v' => {}
            tag => return Err(Kind::Protocol(format!("message type {tag:#04x}"))),
        }
    }
}
