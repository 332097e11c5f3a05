//! Interface between the pool and a wire protocol.

use crate::message::{Command, Request, Response};
use fulmargw_model::execution::Text;
use std::{fmt::Debug, io};
use tokio_util::codec::{Decoder, Encoder};

/// A wire protocol, given by its codecs for callers and for backend servers.
pub trait Dialect: Debug + Send + Sync + 'static {
    /// Codec of connections from callers.
    type FrontendCodec: Decoder<Item = Request, Error = io::Error>
        + Encoder<Response, Error = io::Error>
        + Debug
        + Default
        + Send
        + Sync;
    /// Codec of connections to backend servers.
    type BackendCodec: Decoder<Item = Response, Error = io::Error>
        + Encoder<Command, Error = io::Error>
        + Debug
        + Default
        + Send
        + Sync;

    /// Returns the statement text that executes a prepared statement with arguments.
    fn encode_execute(name: &Text, arguments: &Text) -> Text;

    /// Parses the row that a server returns for [`Command::Status`].
    fn decode_status(row: &Text) -> Option<crate::backend::Status>;
}
