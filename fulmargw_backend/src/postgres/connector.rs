//! Opening of connections.

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

/// How connections are opened and bounded.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address of this host to connect from; `None` leaves the choice to the system.
    pub source: Option<IpAddr>,
    /// User name of this deployment at the backend servers.
    pub user: String,
    /// Database name at the backend servers.
    pub database: String,
    /// Time in which a connection must be open.
    pub connect_timeout: Duration,
    /// Greatest length of one answer, in bytes.
    pub answer_limit_bytes: usize,
}

/// Opens connections over TCP without a key, as accounts are checked by this host.
#[derive(Debug, Clone)]
pub struct Connector {
    settings: Arc<Settings>,
}

impl Connector {
    /// Makes a connector.
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
        // Also bounds the memory for one message, so no message exceeds an answer.
        let limit = self.settings.answer_limit_bytes;
        let mut reader = FramedRead::new(read, frame::Codec::new(limit));
        let startup = self.startup(term)?;
        write
            .write_all(&startup)
            .await
            .map_err(|error| Kind::Closed(error.to_string()))?;
        negotiate(&mut reader).await?;
        Ok(Connection::new(
            server.name.clone(),
            term,
            reader,
            write,
            limit,
        ))
    }

    fn startup(&self, term: Term) -> Result<BytesMut, Kind> {
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
            .map_err(|kind| error(&server.name, kind))
    }
}

fn error(server: &Name, kind: Kind) -> Error {
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

/// Reads up to the first `ReadyForQuery`.
async fn negotiate(reader: &mut FramedRead<OwnedReadHalf, frame::Codec>) -> Result<(), Kind> {
    loop {
        let frame = match reader.next().await {
            Some(Ok(frame)) => frame,
            Some(Err(error)) => return Err(Kind::Closed(error.to_string())),
            None => return Err(Kind::Closed("end of stream".into())),
        };
        match frame.tag {
            b'R' if frame.payload().try_get_i32() == Ok(0) => {}
            b'R' => return Err(Kind::Refused("authentication is not supported".into())),
            b'E' => return Err(segment::fault(&frame).connect_kind()),
            b'Z' => return Ok(()),
            b'S' | b'K' | b'N' | b'v' => {}
            tag => return Err(Kind::Protocol(format!("message type {tag:#04x}"))),
        }
    }
}
