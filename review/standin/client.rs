//! A client of the line protocol.

use crate::record;
use std::{
    io::{BufRead as _, BufReader, Write as _},
    net::{SocketAddr, TcpStream},
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

/// Time after which a client gives up an answer.
const TIMEOUT: Duration = Duration::from_secs(6);

static LAST_ID: AtomicU64 = AtomicU64::new(0x5c0e_7a21_d94b_0000);

/// A session.
#[derive(Debug)]
pub struct Client {
    name: String,
    reader: BufReader<TcpStream>,
    write: TcpStream,
}

/// Answer to a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    pub id: String,
    pub rows: Vec<String>,
    pub end: End,
    pub state: String,
}

/// How an answer ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// Success with a signature.
    Complete(String),
    /// Error code and text.
    Error(String, String),
    /// The connection ended, or there was no answer in time.
    Lost,
}

impl Reply {
    /// Reports whether the statement succeeded with the signature of a server.
    pub fn is_signed(&self) -> bool {
        matches!(&self.end, End::Complete(signature) if signature != "-")
    }

    pub fn is_complete(&self) -> bool {
        matches!(self.end, End::Complete(_))
    }

    /// Reports whether the key was refused.
    pub fn is_denied(&self) -> bool {
        matches!(&self.end, End::Error(code, _) if code == "DENIED")
    }
}

impl Client {
    /// Opens a session.
    ///
    /// # Errors
    ///
    /// Returns the answer, or an empty text if there is none.
    pub fn open(
        name: &str,
        address: SocketAddr,
        database: &str,
        key: &str,
    ) -> Result<Self, String> {
        let lost = |_| String::new();
        let stream = TcpStream::connect_timeout(&address, TIMEOUT).map_err(lost)?;
        stream.set_nodelay(true).map_err(lost)?;
        stream.set_read_timeout(Some(TIMEOUT)).map_err(lost)?;
        stream.set_write_timeout(Some(TIMEOUT)).map_err(lost)?;
        let mut write = stream.try_clone().map_err(lost)?;
        let start = format!("START {database} {key}\r\n");
        write.write_all(start.as_bytes()).map_err(lost)?;
        let mut client = Self {
            name: name.to_owned(),
            reader: BufReader::new(stream),
            write,
        };
        let line = client.read_line().unwrap_or_default();
        record::line(&format!(
            "client {name} to {address}: START {database}: {line}"
        ));
        if line.starts_with("READY") {
            Ok(client)
        } else {
            Err(line)
        }
    }

    fn read_line(&mut self) -> Option<String> {
        let mut line = String::new();
        let read = self.reader.read_line(&mut line).ok()?;
        (read > 0).then(|| line.trim_end().to_owned())
    }

    /// Sends a statement without waiting for the answer. Returns its identifier.
    pub fn send(&mut self, text: &str) -> String {
        let id = format!("{:016x}", LAST_ID.fetch_add(1, Ordering::Relaxed));
        let shown: String = text.chars().take(80).collect();
        record::line(&format!("client {} sends {id} {shown}", self.name));
        // A lost connection shows when the answer is read.
        let _ = self
            .write
            .write_all(format!("QUERY {id} {text}\r\n").as_bytes());
        id
    }

    /// Reads the answer to a statement.
    pub fn receive(&mut self, id: String) -> Reply {
        let mut rows = Vec::new();
        let mut end = End::Lost;
        let mut state = String::new();
        while let Some(line) = self.read_line() {
            let (verb, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match verb {
                "ROW" => rows.push(rest.to_owned()),
                "COMPLETE" => end = End::Complete(rest.to_owned()),
                "ERROR" => {
                    let (code, text) = rest.split_once(' ').unwrap_or((rest, ""));
                    end = End::Error(code.to_owned(), text.to_owned());
                }
                "READY" => {
                    state = rest.to_owned();
                    break;
                }
                _ => break,
            }
        }
        if state.is_empty() {
            end = End::Lost;
        }
        record::line(&format!(
            "client {} gets for {id}: {end:?}, READY {state}",
            self.name
        ));
        Reply {
            id,
            rows,
            end,
            state,
        }
    }

    /// Runs a statement.
    pub fn run(&mut self, text: &str) -> Reply {
        let id = self.send(text);
        self.receive(id)
    }
}
