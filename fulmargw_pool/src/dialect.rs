//! What the pool needs of a wire protocol.

use crate::message::{Command, Request, Response};
use fulmargw_model::execution::Text;
use std::{fmt::Debug, io};
use tokio_util::codec::{Decoder, Encoder};

/// A wire protocol, as the codecs of its two sides.
pub trait Dialect: Debug + Send + Sync + 'static {
    /// Codec of callers' connections.
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

    /// Returns the text that runs a prepared name with arguments.
    fn encode_execute(name: &Text, arguments: &Text) -> Text;

    /// Reads the answer to a question for the state of a server.
    fn decode_status(row: &Text) -> Option<crate::backend::Status>;
}
