//! A client, as PROTOCOL.md describes it.

use super::record;
use std::{
    io::{BufRead as _, BufReader, Write as _},
    net::{SocketAddr, TcpStream},
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

static IDS: AtomicU64 = AtomicU64::new(1);

pub struct Client {
    reader: BufReader<TcpStream>,
    tenant: String,
    host: String,
}

/// Reply to a statement.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    Success(Vec<String>),
    /// Code and text.
    Error(String),
    /// The connection ended, or there was no answer.
    Lost,
}

impl Client {
    pub fn open(
        front: SocketAddr,
        host: &str,
        database: &str,
        tenant: &str,
        key: &str,
    ) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        stream.set_nodelay(true).ok()?;
        let mut client = Self {
            reader: BufReader::new(stream),
            tenant: tenant.to_owned(),
            host: host.to_owned(),
        };
        client.write(&format!("START {database} {key}\r\n"))?;
        let line = client.read()?;
        line.starts_with("READY").then_some(client)
    }

    fn write(&mut self, line: &str) -> Option<()> {
        self.reader.get_mut().write_all(line.as_bytes()).ok()
    }

    fn read(&mut self) -> Option<String> {
        let mut line = String::new();
        let count = self.reader.read_line(&mut line).ok()?;
        (count > 0).then(|| line.trim_end().to_owned())
    }

    pub fn run(&mut self, text: &str) -> Reply {
        let id = format!("{:016x}", IDS.fetch_add(1, Ordering::Relaxed));
        record::sent(&id, &self.tenant, &self.host, text);
        let reply = self.exchange(&id, text);
        record::line(&format!(
            "answered {id} tenant={} host={} {reply:?}",
            self.tenant, self.host
        ));
        reply
    }

    fn exchange(&mut self, id: &str, text: &str) -> Reply {
        if self.write(&format!("QUERY {id} {text}\r\n")).is_none() {
            return Reply::Lost;
        }
        let mut rows = Vec::new();
        let mut error = None;
        while let Some(line) = self.read() {
            match line.split_once(' ').unwrap_or((&line, "")) {
                ("ROW", row) => rows.push(row.to_owned()),
                ("ERROR", rest) => error = Some(rest.to_owned()),
                ("READY", _) => return error.map_or(Reply::Success(rows), Reply::Error),
                _ => {}
            }
        }
        Reply::Lost
    }
}
