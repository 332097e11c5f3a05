//! Interface to the platform for the control plane.

use crate::message::{Commit, Hosts, Row, Transaction};
use std::future::Future;

/// The platform's table service and host list.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads rows at one point in time; `None` stands for a row that does not exist.
    fn read(&self, keys: &[&str]) -> impl Future<Output = Result<Vec<Option<Row>>, Error>> + Send;

    /// Commits a transaction. After an error it is unknown whether the transaction took effect.
    fn commit(
        &self,
        transaction: Transaction,
    ) -> impl Future<Output = Result<Commit, Error>> + Send;

    /// Reads the host list, which lags behind the actual state of the hosts.
    fn hosts(&self) -> impl Future<Output = Result<Hosts, Error>> + Send;
}

/// A failed call to the platform.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
#[displaydoc("{step} at platform {peer}: {cause}")]
pub struct Error {
    /// Operation that failed.
    pub step: &'static str,
    /// Address of the platform.
    pub peer: String,
    /// Cause of the failure.
    pub cause: String,
}

impl std::error::Error for Error {}
