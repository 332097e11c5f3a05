//! Encodes the messages of the front end to callers.

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

/// Type OID of `text` columns.
const TEXT_OID: u32 = 25;

/// Messages to be written to a caller.
#[derive(Debug, Default)]
pub struct Output {
    buffer: BytesMut,
}

impl Output {
    /// Appends a message. The messages of this host are far below the length limit of the encoder.
    fn append(&mut self, message: &impl Message) {
        if let Err(error) = frame::append(&mut self.buffer, message) {
            log::error!("cannot encode a message to a caller: {error}");
        }
    }

    /// Appends encoded messages of a backend server without a change.
    pub fn relay(&mut self, messages: &Bytes) {
        self.buffer.extend_from_slice(messages);
    }

    /// Takes all appended messages.
    pub fn take(&mut self) -> BytesMut {
        std::mem::take(&mut self.buffer)
    }

    /// Declines a request for encryption.
    pub fn decline_encryption(&mut self) {
        self.buffer.put_u8(b'N');
    }

    /// Offers protocol version 3.0 without the given extensions.
    pub fn negotiate_version(&mut self, extensions: Vec<String>) {
        let version = Startup::PROTOCOL_VERSION_3_0;
        self.append(&NegotiateProtocolVersion::new(version, extensions));
    }

    /// Requests a clear-text password.
    pub fn request_password(&mut self) {
        self.append(&Authentication::CleartextPassword);
    }

    /// Reports a successful authentication, and the key data for cancel requests.
    pub fn authentication_ok(&mut self, number: i32, secret: i32) {
        self.append(&Authentication::Ok);
        self.append(&BackendKeyData::new(number, SecretKey::I32(secret)));
    }

    /// Reports the value of a parameter.
    pub fn parameter_status(&mut self, name: &str, value: &str) {
        self.append(&ParameterStatus::new(name.into(), value.into()));
    }

    /// Reports that the session is ready for the next request.
    pub fn ready_for_query(&mut self, transaction: TransactionState) {
        let status = match transaction {
            TransactionState::Idle => TransactionStatus::Idle,
            TransactionState::Open => TransactionStatus::Transaction,
            TransactionState::Failed => TransactionStatus::Error,
        };
        self.append(&ReadyForQuery::new(status));
    }

    /// Reports an error that leaves the connection open.
    pub fn error(&mut self, failure: &Failure) {
        self.append(&failure.response());
    }

    /// Reports an error that ends the connection.
    pub fn fatal(&mut self, failure: &Failure) {
        self.append(&failure.fatal());
    }

    /// Warns that there is no transaction in progress.
    pub fn warn_no_transaction(&mut self) {
        self.append(&NoticeResponse::new(vec![
            (b'S', "WARNING".into()),
            (b'V', "WARNING".into()),
            (b'C', "25P01".into()),
            (b'M', "there is no transaction in progress".into()),
        ]));
    }

    /// Reports the completion of a statement.
    pub fn command_complete(&mut self, tag: &str) {
        self.append(&CommandComplete::new(tag.into()));
    }

    /// Responds to a query without a statement.
    pub fn empty_query(&mut self) {
        self.append(&EmptyQueryResponse::new());
    }

    /// Responds to a `Parse`.
    pub fn parse_complete(&mut self) {
        self.append(&ParseComplete::new());
    }

    /// Responds to a `Bind`.
    pub fn bind_complete(&mut self) {
        self.append(&BindComplete::new());
    }

    /// Responds to a `Close`.
    pub fn close_complete(&mut self) {
        self.append(&CloseComplete::new());
    }

    /// Describes a statement without parameters.
    pub fn no_parameters(&mut self) {
        self.append(&ParameterDescription::new(Vec::new()));
    }

    /// Describes a statement without rows.
    pub fn no_data(&mut self) {
        self.append(&NoData::new());
    }

    /// Describes the result of `SHOW` for a setting.
    pub fn row_description(&mut self, variable: Variable) {
        let name = variable.name().into();
        let column = FieldDescription::new(name, 0, 0, TEXT_OID, -1, -1, 0);
        self.append(&RowDescription::new(vec![column]));
    }

    /// Sends the row of the result of `SHOW`.
    pub fn data_row(&mut self, value: &str) {
        let mut data = BytesMut::new();
        data.put_i32(i32::try_from(value.len()).unwrap_or(i32::MAX));
        data.put_slice(value.as_bytes());
        self.append(&DataRow::new(data, 1));
    }
}
