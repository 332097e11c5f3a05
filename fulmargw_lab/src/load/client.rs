//! A client connection that keeps track of the log positions of its session.

use crate::history::{check::Data, event};
use futures::FutureExt as _;
use std::{future::poll_fn, net::SocketAddr, task::Poll};
use tokio_postgres::{Config, Connection, NoTls, SimpleQueryMessage, Socket, tls};

/// Name of the parameter in which a host reports the log positions of a session.
pub const POSITION_PARAMETER: &str = "fulmar.position";

/// Error of a failed query.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// {0}
    Database(tokio_postgres::Error),
    /// the connection ended without a response
    Closed,
}

impl std::error::Error for Error {}

impl From<tokio_postgres::Error> for Error {
    fn from(error: tokio_postgres::Error) -> Self {
        Self::Database(error)
    }
}

/// Parameters with which a caller connects.
#[derive(Debug, Clone, Copy)]
pub struct Caller<'a> {
    /// Client account.
    pub account: &'a str,
    /// API key of the account.
    pub key: &'a str,
    /// Name of the route.
    pub route: &'a str,
}

/// A connection to one host on one route.
pub struct Client {
    queries: tokio_postgres::Client,
    connection: Connection<Socket, tls::NoTlsStream>,
    position: String,
}

impl Client {
    /// Connects to a host.
    ///
    /// # Errors
    ///
    /// Returns an error if the host cannot be reached or rejects the connection.
    pub async fn connect(host: SocketAddr, caller: Caller<'_>) -> Result<Self, Error> {
        let mut config = Config::new();
        config.host(host.ip().to_string()).port(host.port());
        config.user(caller.account).password(caller.key);
        config.dbname(caller.route);
        let (queries, connection) = config.connect(NoTls).await?;
        Ok(Self {
            queries,
            connection,
            position: String::new(),
        })
    }

    /// Returns the log positions that the host reported last.
    #[must_use]
    pub fn position(&self) -> &str {
        &self.position
    }

    /// Sends the log positions of the session, unless the host reported the same ones last.
    ///
    /// # Errors
    ///
    /// Returns an error if the host rejects them or the connection ends.
    pub async fn set_position(&mut self, position: &str) -> Result<(), Error> {
        if self.position != position && !position.is_empty() {
            self.query(&format!("SET {POSITION_PARAMETER} = '{position}'"))
                .await?;
        }
        Ok(())
    }

    /// Runs a simple query and returns its rows.
    ///
    /// # Errors
    ///
    /// Returns an error if the query fails or the connection ends.
    pub async fn query(&mut self, text: &str) -> Result<Vec<Vec<String>>, Error> {
        let Self {
            queries,
            connection,
            position,
        } = self;
        let query = queries.simple_query(text);
        tokio::pin!(query);
        // The connection is polled in this task and before the query, so that the reported
        // position is stored before the query completes.
        let messages = loop {
            let poll_connection = poll_fn(|context| {
                let state = connection.poll_message(context);
                if let Some(reported) = connection.parameter(POSITION_PARAMETER) {
                    reported.clone_into(position);
                }
                match state {
                    Poll::Ready(Some(Ok(_))) => Poll::Ready(false),
                    Poll::Ready(_) => Poll::Ready(true),
                    Poll::Pending => Poll::Pending,
                }
            });
            tokio::select! {
                biased;
                ended = poll_connection => if ended {
                    // The response may have arrived together with the end of the connection.
                    break query.now_or_never().ok_or(Error::Closed)??;
                },
                result = &mut query => break result?,
            }
        };
        Ok(messages.iter().filter_map(row).collect())
    }
}

fn row(message: &SimpleQueryMessage) -> Option<Vec<String>> {
    let SimpleQueryMessage::Row(row) = message else {
        return None;
    };
    let column = |index| row.get(index).unwrap_or_default().to_owned();
    Some((0..row.len()).map(column).collect())
}

/// Reads all keys through a host.
///
/// # Errors
///
/// Returns an error if the read fails.
pub async fn read_all(host: SocketAddr, caller: Caller<'_>) -> Result<Data, Error> {
    let mut client = Client::connect(host, caller).await?;
    let rows = client.query("SELECT key, value FROM kv").await?;
    let entry = |row: Vec<String>| match <[String; 2]>::try_from(row) {
        Ok([key, value]) => Some((key, event::split_values(&value))),
        Err(_) => None,
    };
    Ok(rows.into_iter().filter_map(entry).collect())
}
