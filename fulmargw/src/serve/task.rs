//! Tasks that serve the listeners.

use crate::serve::error::Error;
use std::{future::Future, io};
use tokio::task::{JoinError, JoinSet};

type Ended = Option<Result<(&'static str, io::Result<()>), JoinError>>;

/// Tasks of a process that must not end before the stop.
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

    /// Starts a task that serves operators or other hosts.
    pub fn serve_interface(
        &mut self,
        listener: &'static str,
        task: impl Future<Output = io::Result<()>> + Send + 'static,
    ) {
        self.interfaces.spawn(async move { (listener, task.await) });
    }

    /// Waits for a task to end, which is a failure while the process serves.
    pub async fn failure(&mut self) -> Error {
        let ended = tokio::select! {
            ended = self.callers.join_next() => ended,
            ended = self.interfaces.join_next() => ended,
        };
        failed(ended)
    }

    /// Waits until the sessions of all callers have ended.
    pub async fn callers_end(&mut self) {
        while self.callers.join_next().await.is_some() {}
    }

    /// Waits until the interfaces have ended.
    pub async fn interfaces_end(&mut self) {
        while self.interfaces.join_next().await.is_some() {}
    }
}

fn failed(ended: Ended) -> Error {
    let (listener, cause) = match ended {
        Some(Ok((listener, Ok(())))) => (listener, "it ended".to_owned()),
        Some(Ok((listener, Err(cause)))) => (listener, cause.to_string()),
        Some(Err(cause)) => ("unknown", cause.to_string()),
        None => ("unknown", "no task is left".to_owned()),
    };
    Error::Serve { listener, cause }
}
