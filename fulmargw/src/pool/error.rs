//! Failures of the start of a pooling process.

use crate::recorder::Recorder;
use metrics::SetRecorderError;
use std::{io, net::SocketAddr};

/// A step of the start that failed.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// install the logger: {0}
    Log(log::SetLoggerError),
    /// install the metrics recorder: {0}
    Metrics(SetRecorderError<Recorder>),
    /// install signal handlers: {0}
    Signals(io::Error),
    /// make an HTTP client: {0}
    Client(reqwest::Error),
    /// listen for {listener} on {address}: {cause}
    Bind {
        /// Who connects there.
        listener: &'static str,
        /// Address of the settings.
        address: SocketAddr,
        /// Reason given by the operating system.
        cause: io::Error,
    },
}

impl std::error::Error for Error {}
