//! Messages that the front end sends on its own behalf.

use crate::{error::Failure, variable::Variable};
use bytes::{BufMut, Bytes, BytesMut};
use fulmargw_backend::{connection::TransactionState, frame};
use pgwire::messages::{
    Message,
    data::{DataRow, FieldDescription, NoData, ParameterDescription, RowDescription},
    extendedquery::{BindComplete, CloseComplete, ParseComplete},
    response::{
        CommandComplete, EmptyQueryResponse, NoticeResponse, ReadyForQuery, TransactionStatus,
    },
    startup::{
        Authentication, BackendKeyData, NegotiateProtocolVersion, ParameterStatus, SecretKey,
        Startup,
    },
};

/// Type of `text` columns.
const TEXT_OID: u32 = 25;

/// Messages that wait to be written to a caller.
#[derive(Debug, Default)]
pub struct Output {
    buffer: BytesMut,
}

impl Output {
    /// Appends a message. Every message of this host is far below the limits of the encoder.
    fn put(&mut self, message: &impl Message) {
        if let Err(error) = frame::append(&mut self.buffer, message) {
            log::error!("message for a caller cannot be encoded: {error}");
        }
    }

    /// Appends messages of a backend server as they are.
    pub fn relay(&mut self, messages: &Bytes) {
        self.buffer.extend_from_slice(messages);
    }

    /// Takes everything that was appended.
    pub fn take(&mut self) -> BytesMut {
        std::mem::take(&mut self.buffer)
    }

    /// Refuses encryption.
    pub fn no_encryption(&mut self) {
        self.buffer.put_u8(b'N');
    }

    /// Offers the protocol version 3.0 without the given extensions.
    pub fn negotiate(&mut self, extensions: Vec<String>) {
        let version = Startup::PROTOCOL_VERSION_3_0;
        self.put(&NegotiateProtocolVersion::new(version, extensions));
    }

    /// Asks for a clear-text password.
    pub fn ask_password(&mut self) {
        self.put(&Authentication::CleartextPassword);
    }

    /// Accepts the caller.
    pub fn accept(&mut self, number: i32, secret: i32) {
        self.put(&Authentication::Ok);
        self.put(&BackendKeyData::new(number, SecretKey::I32(secret)));
    }

    /// Reports the value of a parameter.
    pub fn parameter(&mut self, name: &str, value: &str) {
        self.put(&ParameterStatus::new(name.into(), value.into()));
    }

    /// Reports that the caller can send its next request.
    pub fn ready(&mut self, transaction: TransactionState) {
        let status = match transaction {
            TransactionState::Idle => TransactionStatus::Idle,
            TransactionState::Open => TransactionStatus::Transaction,
            TransactionState::Failed => TransactionStatus::Error,
        };
        self.put(&ReadyForQuery::new(status));
    }

    /// Reports an error that leaves the connection open.
    pub fn error(&mut self, failure: &Failure) {
        self.put(&failure.response());
    }

    /// Reports an error that ends the connection.
    pub fn fatal(&mut self, failure: &Failure) {
        self.put(&failure.fatal());
    }

    /// Warns that there is no transaction to end.
    pub fn warn_no_transaction(&mut self) {
        self.put(&NoticeResponse::new(vec![
            (b'S', "WARNING".into()),
            (b'V', "WARNING".into()),
            (b'C', "25P01".into()),
            (b'M', "there is no transaction in progress".into()),
        ]));
    }

    /// Answers a completed command.
    pub fn complete(&mut self, tag: &str) {
        self.put(&CommandComplete::new(tag.into()));
    }

    /// Answers a query without a statement.
    pub fn empty_query(&mut self) {
        self.put(&EmptyQueryResponse::new());
    }

    /// Answers a `Parse`.
    pub fn parse_complete(&mut self) {
        self.put(&ParseComplete::new());
    }

    /// Answers a `Bind`.
    pub fn bind_complete(&mut self) {
        self.put(&BindComplete::new());
    }

    /// Answers a `Close`.
    pub fn close_complete(&mut self) {
        self.put(&CloseComplete::new());
    }

    /// Describes a statement without parameters.
    pub fn no_parameters(&mut self) {
        self.put(&ParameterDescription::new(Vec::new()));
    }

    /// Describes a statement without rows.
    pub fn no_data(&mut self) {
        self.put(&NoData::new());
    }

    /// Describes the row that shows a setting.
    pub fn describe(&mut self, variable: Variable) {
        let name = variable.name().into();
        let column = FieldDescription::new(name, 0, 0, TEXT_OID, -1, -1, 0);
        self.put(&RowDescription::new(vec![column]));
    }

    /// Sends the row that shows a setting.
    pub fn row(&mut self, value: &str) {
        let mut data = BytesMut::new();
        data.put_i32(i32::try_from(value.len()).unwrap_or(i32::MAX));
        data.put_slice(value.as_bytes());
        self.put(&DataRow::new(data, 1));
    }
}
