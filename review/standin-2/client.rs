//! A client of the line protocol.

use crate::record::Record;
use std::{
    io::{self, BufRead as _, BufReader, Write as _},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

/// Longest time to wait for a part of a reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(8);

static LAST_ID: AtomicU64 = AtomicU64::new(0x5c0e_0000);

/// Returns a request identifier that no client has used.
pub fn new_id() -> String {
    format!("{:016x}", LAST_ID.fetch_add(1, Ordering::Relaxed))
}

#[derive(Debug, Clone)]
pub struct Reply {
    pub id: String,
    pub rows: Vec<String>,
    /// Signature, or error code and text.
    pub result: Result<String, (String, String)>,
    pub state: String,
}

#[derive(Debug)]
pub struct Client {
    pub name: String,
    input: BufReader<TcpStream>,
    output: TcpStream,
    record: Arc<Record>,
}

impl Client {
    /// Opens a session.
    pub fn open(
        name: &str,
        address: SocketAddr,
        database: &str,
        key: &str,
        record: &Arc<Record>,
    ) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(REPLY_TIMEOUT))?;
        let mut client = Self {
            name: name.to_owned(),
            output: stream.try_clone()?,
            input: BufReader::new(stream),
            record: Arc::clone(record),
        };
        write!(client.output, "START {database} {key}\r\n")?;
        let line = client.read_line()?;
        if line.starts_with("READY") {
            return Ok(client);
        }
        Err(io::Error::other(line))
    }

    fn read_line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        if self.input.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end_matches(['\r', '\n']).to_owned())
    }

    /// Runs a statement, and records what was sent and answered.
    pub fn run(&mut self, text: &str) -> io::Result<Reply> {
        let id = new_id();
        self.record
            .line(&format!("{} sends {id} {text}", self.name));
        let reply = self.exchange(&id, text);
        match &reply {
            Ok(reply) => {
                let result = match &reply.result {
                    Ok(signature) => format!("COMPLETE {signature}"),
                    Err((code, text)) => format!("ERROR {code} {text}"),
                };
                let rows = reply.rows.len();
                let state = &reply.state;
                self.record.line(&format!(
                    "{} gets {id} {rows} rows, {result}, READY {state}",
                    self.name
                ));
            }
            Err(cause) => self
                .record
                .line(&format!("{} gets {id} no answer: {cause}", self.name)),
        }
        reply
    }

    fn exchange(&mut self, id: &str, text: &str) -> io::Result<Reply> {
        write!(self.output, "QUERY {id} {text}\r\n")?;
        let mut rows = Vec::new();
        let mut result = Ok(String::new());
        loop {
            let line = self.read_line()?;
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "ROW" => rows.push(rest.to_owned()),
                "COMPLETE" => result = Ok(rest.to_owned()),
                "ERROR" => {
                    let (code, text) = rest.split_once(' ').unwrap_or((rest, ""));
                    result = Err((code.to_owned(), text.to_owned()));
                }
                "READY" => {
                    let state = rest.split(' ').next().unwrap_or_default().to_owned();
                    return Ok(Reply {
                        id: id.to_owned(),
                        rows,
                        result,
                        state,
                    });
                }
                _ => return Err(io::Error::other(line)),
            }
        }
    }
}
