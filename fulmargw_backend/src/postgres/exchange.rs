//! An open connection: sends requests and reads their whole responses.

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
    pub(super) max_response_bytes: usize,
    /// Whether the open transaction contains the record of a request.
    pub(super) has_record: bool,
    /// Transaction state after the last exchange.
    pub(super) transaction: TransactionState,
    reader: Reader,
    writer: OwnedWriteHalf,
    /// Set before a request is written and cleared after its last `ReadyForQuery`. It stays set
    /// if the future of a call is dropped; every later call then fails.
    has_unread_response: bool,
}

impl Connection {
    pub(super) fn new(
        server: Name,
        term: Term,
        reader: Reader,
        writer: OwnedWriteHalf,
        max_response_bytes: usize,
    ) -> Self {
        Self {
            server,
            term,
            max_response_bytes,
            has_record: false,
            transaction: TransactionState::Idle,
            reader,
            writer,
            has_unread_response: false,
        }
    }

    /// Writes a request and reads the response to each of its segments.
    ///
    /// It reads while it writes: a server may stop reading a long request until the client has
    /// read the responses to its first statements.
    pub(super) async fn exchange(
        &mut self,
        request: &[u8],
        segments: &mut [Segment],
    ) -> Result<(), Error> {
        if self.has_unread_response {
            let kind = Kind::Closed("the response to an earlier call was not read".into());
            return Err(self.error(Step::Execute, kind));
        }
        self.has_unread_response = true;
        let (reader, writer) = (&mut self.reader, &mut self.writer);
        let write = async {
            let written = writer.write_all(request).await;
            written.map_err(|error| (Step::Execute, Kind::Closed(error.to_string())))
        };
        let read = async {
            for segment in segments.iter_mut() {
                let step = segment.step;
                read_segment(reader, segment)
                    .await
                    .map_err(|kind| (step, kind))?;
            }
            Ok(())
        };
        tokio::try_join!(write, read).map_err(|(step, kind)| self.error(step, kind))?;
        if let Some(last) = segments.last() {
            self.transaction = last.transaction;
        }
        self.has_unread_response = false;
        Ok(())
    }

    /// Runs one statement of this host and returns the first row of its result.
    pub(super) async fn query_row(&mut self, statement: &str) -> Result<Option<Row>, Error> {
        let mut request = BytesMut::new();
        self.append_query(&mut request, statement)?;
        let mut segments = [Segment::wrapping(Step::Execute)];
        self.exchange(&request, &mut segments).await?;
        let [mut segment] = segments;
        self.check_wrapping(&segment)?;
        Ok(segment.take_row())
    }

    /// Fails if a statement that this host added to a task failed. Such a statement runs nothing of
    /// the caller.
    pub(super) fn check_wrapping(&self, segment: &Segment) -> Result<(), Error> {
        let Some(error) = &segment.error else {
            return Ok(());
        };
        let kind = error
            .kind()
            .unwrap_or_else(|| Kind::Refused(error.to_string()));
        Err(self.error(segment.step, kind))
    }

    pub(super) fn append_query(
        &self,
        request: &mut BytesMut,
        statement: &str,
    ) -> Result<(), Error> {
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

    pub(super) fn malformed_row(&self, step: Step) -> Error {
        self.error(
            step,
            Kind::Protocol("malformed row of a group function".into()),
        )
    }
}

/// Reads the response of one segment, up to its `ReadyForQuery`.
async fn read_segment(reader: &mut Reader, segment: &mut Segment) -> Result<(), Kind> {
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

/// Describes the end of the stream by the last error that the server sent, if any.
fn end_of_stream(segment: &Segment) -> String {
    match &segment.error {
        Some(error) => error.to_string(),
        None => "end of stream".into(),
    }
}
