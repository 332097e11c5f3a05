//! Start failures of a pool process.

use crate::recorder::Recorder;
use metrics::SetRecorderError;
use std::{io, net::SocketAddr};

/// Steps of the start that can fail.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// install the logger: {0}
    Log(log::SetLoggerError),
    /// start the thread that writes the log: {0}
    Writer(io::Error),
    /// install the metrics recorder: {0}
    Metrics(SetRecorderError<Recorder>),
    /// install the signal handlers: {0}
    Signals(io::Error),
    /// start the watchdog of the stop: {0}
    Watchdog(io::Error),
    /// create an HTTP client: {0}
    Client(reqwest::Error),
    /// listen for {listener} on {address}: {cause}
    Bind {
        /// Who connects to the address.
        listener: &'static str,
        /// Address from the settings.
        address: SocketAddr,
        /// Reason given by the operating system.
        cause: io::Error,
    },
}

impl std::error::Error for Error {}
