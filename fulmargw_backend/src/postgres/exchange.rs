//! One request and its whole answer on a connection.

use super::segment::Segment;
use crate::{
    connection::{Error, Kind, TransactionState},
    frame,
    group::Row,
};
use bytes::BytesMut;
use fulmargw_model::{name::Name, outcome::Step, position::Term};
use futures::StreamExt;
use pgwire::messages::simplequery::Query;
use tokio::{
    io::AsyncWriteExt,
    net::tcp::{OwnedReadHalf, OwnedWriteHalf},
};
use tokio_util::codec::FramedRead;

type Reader = FramedRead<OwnedReadHalf, frame::Codec>;

/// An open connection to one backend server.
#[derive(Debug)]
pub struct Connection {
    pub(super) server: Name,
    pub(super) term: Term,
    pub(super) answer_limit: usize,
    /// True while the open transaction holds a record.
    pub(super) recorded: bool,
    /// Transaction state after the last exchange.
    pub(super) transaction: TransactionState,
    reader: Reader,
    writer: OwnedWriteHalf,
    /// Set before a request is written and cleared after its last `ReadyForQuery`. It stays
    /// set if the future of a call is dropped, and then no later call uses the connection.
    unfinished: bool,
}

impl Connection {
    pub(super) fn new(
        server: Name,
        term: Term,
        reader: Reader,
        writer: OwnedWriteHalf,
        answer_limit: usize,
    ) -> Self {
        Self {
            server,
            term,
            answer_limit,
            recorded: false,
            transaction: TransactionState::Idle,
            reader,
            writer,
            unfinished: false,
        }
    }

    /// Writes a request and reads one answer for each segment.
    ///
    /// Reading starts together with writing: a server that answers the first statements of a
    /// long request may not read the rest until its answers are taken.
    pub(super) async fn exchange(
        &mut self,
        request: &[u8],
        segments: &mut [Segment],
    ) -> Result<(), Error> {
        if self.unfinished {
            let kind = Kind::Closed("an earlier call was not finished".into());
            return Err(self.error(Step::Execute, kind));
        }
        self.unfinished = true;
        let (reader, writer) = (&mut self.reader, &mut self.writer);
        let write = async {
            let written = writer.write_all(request).await;
            written.map_err(|error| (Step::Execute, Kind::Closed(error.to_string())))
        };
        let read = async {
            for segment in segments.iter_mut() {
                let step = segment.step;
                read(reader, segment).await.map_err(|kind| (step, kind))?;
            }
            Ok(())
        };
        tokio::try_join!(write, read).map_err(|(step, kind)| self.error(step, kind))?;
        if let Some(last) = segments.last() {
            self.transaction = last.transaction;
        }
        self.unfinished = false;
        Ok(())
    }

    /// Runs one statement of this host and returns its first row.
    pub(super) async fn call(&mut self, statement: &str) -> Result<Option<Row>, Error> {
        let mut request = BytesMut::new();
        self.put_query(&mut request, statement)?;
        let mut segments = [Segment::wrapping(Step::Execute)];
        self.exchange(&request, &mut segments).await?;
        let [mut segment] = segments;
        self.accept(&segment)?;
        Ok(segment.take_row())
    }

    /// Turns the error of a wrapping statement, which ran nothing, into an error of the task.
    pub(super) fn accept(&self, segment: &Segment) -> Result<(), Error> {
        let Some(fault) = &segment.fault else {
            return Ok(());
        };
        let kind = fault
            .kind()
            .unwrap_or_else(|| Kind::Refused(fault.to_string()));
        Err(self.error(segment.step, kind))
    }

    pub(super) fn put_query(&self, request: &mut BytesMut, statement: &str) -> Result<(), Error> {
        frame::append(request, &Query::new(statement.into()))
            .map_err(|error| self.error(Step::Execute, Kind::Protocol(error.to_string())))
    }

    pub(super) fn error(&self, step: Step, kind: Kind) -> Error {
        Error {
            step,
            server: self.server.clone(),
            kind,
        }
    }

    pub(super) fn malformed(&self, step: Step) -> Error {
        self.error(step, Kind::Protocol("row of a group function".into()))
    }
}

/// Reads up to the next `ReadyForQuery`.
async fn read(reader: &mut Reader, segment: &mut Segment) -> Result<(), Kind> {
    loop {
        match reader.next().await {
            Some(Ok(frame)) => {
                if segment.add(&frame)? {
                    return Ok(());
                }
            }
            Some(Err(frame::Error::Io(error))) => return Err(Kind::Closed(error.to_string())),
            Some(Err(error)) => return Err(Kind::Protocol(error.to_string())),
            None => return Err(Kind::Closed(end_of_stream(segment))),
        }
    }
}

fn end_of_stream(segment: &Segment) -> String {
    match &segment.fault {
        Some(fault) => fault.to_string(),
        None => "end of stream".into(),
    }
}
