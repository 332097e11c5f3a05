//! Encoding of responses in the PostgreSQL protocol.

use super::error::Error;
use bytes::{BufMut as _, BytesMut};
use pgwire::messages::{
    PgWireBackendMessage,
    data::{DataRow, FieldDescription, RowDescription},
    response::{CommandComplete, ErrorResponse, ReadyForQuery, TransactionStatus},
};
use std::io;

/// Type identifier (OID) of `text`, the type of all columns and parameters.
pub const TEXT_OID: u32 = 25;

/// Appends an encoded message to `out`.
pub fn put(out: &mut BytesMut, message: &PgWireBackendMessage) -> io::Result<()> {
    message.encode(out).map_err(io::Error::other)
}

/// Encodes the description of text columns in a format: 0 for text, 1 for binary.
pub fn put_columns(out: &mut BytesMut, columns: &[&str], format: i16) -> io::Result<()> {
    let fields = columns
        .iter()
        .map(|name| FieldDescription::new((*name).to_owned(), 0, 0, TEXT_OID, -1, -1, format));
    let description = RowDescription::new(fields.collect());
    put(out, &PgWireBackendMessage::RowDescription(description))
}

/// Encodes a row; a text value has the same bytes in the text and the binary format.
pub fn put_row(out: &mut BytesMut, row: &[String]) -> io::Result<()> {
    let mut data = BytesMut::new();
    for value in row {
        let length = i32::try_from(value.len()).map_err(io::Error::other)?;
        data.put_i32(length);
        data.put_slice(value.as_bytes());
    }
    let count = i16::try_from(row.len()).map_err(io::Error::other)?;
    put(
        out,
        &PgWireBackendMessage::DataRow(DataRow::new(data, count)),
    )
}

/// Encodes the completion of a statement with its command tag.
pub fn put_complete(out: &mut BytesMut, tag: String) -> io::Result<()> {
    let complete = CommandComplete::new(tag);
    put(out, &PgWireBackendMessage::CommandComplete(complete))
}

/// Encodes an error.
pub fn put_error(out: &mut BytesMut, error: &Error) -> io::Result<()> {
    let mut fields = vec![
        (b'S', "ERROR".to_owned()),
        (b'V', "ERROR".to_owned()),
        (b'C', error.code.to_owned()),
        (b'M', error.message.clone()),
    ];
    if !error.detail.is_empty() {
        fields.push((b'D', error.detail.clone()));
    }
    let response = ErrorResponse::new(fields);
    put(out, &PgWireBackendMessage::ErrorResponse(response))
}

/// Encodes that the server is ready for the next query.
pub fn put_ready(out: &mut BytesMut, status: TransactionStatus) -> io::Result<()> {
    let ready = ReadyForQuery::new(status);
    put(out, &PgWireBackendMessage::ReadyForQuery(ready))
}
