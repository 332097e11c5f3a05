//! Failures of a serving process.

use crate::log;
use crate::recorder::Recorder;
use metrics::SetRecorderError;
use std::{io, net::SocketAddr};

/// Why a process could not start or ended early.
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
        /// What listens there.
        listener: &'static str,
        /// Address from the settings.
        address: SocketAddr,
        /// Reason given by the operating system.
        cause: io::Error,
    },
    /// prepare the client of the {peer}: {cause}
    Client {
        /// Who is to be called.
        peer: &'static str,
        /// What happened.
        cause: String,
    },
    /// serve the {listener} address: {cause}
    Serve {
        /// What listens there.
        listener: &'static str,
        /// What happened.
        cause: String,
    },
    /// the time for the graceful stop was over at: {0}
    StopTimeout(&'static str),
    /// a second signal ended the process before the graceful stop was over
    Interrupted,
}

impl std::error::Error for Error {}
