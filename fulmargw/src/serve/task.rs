//! Tasks that serve the listeners.

use crate::serve::error::Error;
use std::{future::Future, io};
use tokio::task::{JoinError, JoinSet};

/// Result of a task, which is `None` if there was no task left.
type Ended = Option<Result<(&'static str, io::Result<()>), JoinError>>;

/// Tasks that serve the listeners of a process. None may end before the process stops.
#[derive(Debug, Default)]
pub struct Tasks {
    callers: JoinSet<(&'static str, io::Result<()>)>,
    interfaces: JoinSet<(&'static str, io::Result<()>)>,
}

impl Tasks {
    /// Starts the task that serves callers.
    pub fn serve_callers(
        &mut self,
        listener: &'static str,
        task: impl Future<Output = io::Result<()>> + Send + 'static,
    ) {
        self.callers.spawn(async move { (listener, task.await) });
    }

    /// Starts a task that serves operators or peers.
    pub fn serve_interface(
        &mut self,
        listener: &'static str,
        task: impl Future<Output = io::Result<()>> + Send + 'static,
    ) {
        self.interfaces.spawn(async move { (listener, task.await) });
    }

    /// Waits until any task ends and returns the error. While the process serves, even a regular
    /// end is a failure.
    pub async fn failure(&mut self) -> Error {
        let ended = tokio::select! {
            ended = self.callers.join_next() => ended,
            ended = self.interfaces.join_next() => ended,
        };
        unexpected_end(ended)
    }

    /// Waits until all sessions of callers have ended.
    pub async fn callers_end(&mut self) {
        while self.callers.join_next().await.is_some() {}
    }

    /// Waits until the interfaces for operators and peers are closed.
    pub async fn interfaces_end(&mut self) {
        while self.interfaces.join_next().await.is_some() {}
    }
}

fn unexpected_end(ended: Ended) -> Error {
    let (listener, cause) = match ended {
        Some(Ok((listener, Ok(())))) => (listener, "ended unexpectedly".to_owned()),
        Some(Ok((listener, Err(cause)))) => (listener, cause.to_string()),
        Some(Err(cause)) => ("unknown", cause.to_string()),
        None => ("unknown", "no task is running".to_owned()),
    };
    Error::Serve { listener, cause }
}
