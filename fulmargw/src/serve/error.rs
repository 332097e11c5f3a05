//! Failures of a serving process.

use crate::log;
use crate::recorder::Recorder;
use metrics::SetRecorderError;
use std::{io, net::SocketAddr};

/// Reasons why a process did not start, failed while serving or stopped ungracefully.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// {0}
    Log(log::Error),
    /// install the metrics recorder: {0}
    Metrics(SetRecorderError<Recorder>),
    /// install the signal handlers: {0}
    Signals(io::Error),
    /// bind the {listener} address {address}: {cause}
    Bind {
        /// Name of the listener.
        listener: &'static str,
        /// Address from the settings.
        address: SocketAddr,
        /// Reason given by the operating system.
        cause: io::Error,
    },
    /// create the client for the {server}: {cause}
    Client {
        /// Name of the server that the client calls.
        server: &'static str,
        /// Description of the error.
        cause: String,
    },
    /// serve the {listener} address: {cause}
    Serve {
        /// Name of the listener.
        listener: &'static str,
        /// Description of the error.
        cause: String,
    },
    /// the graceful stop timed out while waiting for: {0}
    StopTimeout(&'static str),
    /// a second signal interrupted the graceful stop
    Interrupted,
}

impl std::error::Error for Error {}
