//! Resolves in-doubt attempts: finds out whether a write committed, and cancels it if not.

use crate::{
    confirm::RETRY_DELAY,
    control::ControlPlane,
    core::{Body, Core},
    table::{backend::Command, server::ServerId},
};
use fulmargw_backend::connection::{Cancellation, Connector};
use fulmargw_model::{
    name::Name,
    position::{Position, Term},
    request::{Id, Request},
};
use tokio::time::{Instant, sleep};

/// Whether an attempt committed, as confirmed by a majority.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resolution {
    /// It committed; a session that reads at or after the position sees it.
    Committed(Position),
    /// It did not run and can no longer run.
    Cancelled,
    /// It could not be resolved before the deadline.
    Unknown,
}

impl<C: Connector, P: ControlPlane> Core<C, P> {
    /// Resolves an attempt of a request that was sent to the primary of `term`.
    pub async fn resolve(
        &self,
        request: &Request<Body<C>>,
        attempt: u64,
        term: Term,
    ) -> Resolution {
        self.resolve_attempt(
            &request.service,
            &request.id,
            attempt,
            term,
            request.deadline,
        )
        .await
    }

    /// Resolves an attempt on the primary of `term` or of a later term.
    pub async fn resolve_attempt(
        &self,
        service: &Name,
        id: &Id,
        attempt: u64,
        term: Term,
        deadline: Instant,
    ) -> Resolution {
        metrics::counter!("fulmargw_settlements_total").increment(1);
        loop {
            let Some(primary) = self.wait_for_primary(service, term, deadline).await else {
                return Resolution::Unknown;
            };
            let server_id = ServerId {
                service: service.clone(),
                server: primary.server,
            };
            let cancellation = self.cancel(&server_id, id, attempt, deadline).await;
            if let Some(cancellation) = cancellation
                && let Some(position) = self
                    .confirm_resolution(&server_id, cancellation, primary.term, deadline)
                    .await
            {
                return if cancellation.committed {
                    Resolution::Committed(position)
                } else {
                    Resolution::Cancelled
                };
            }
            if Instant::now() + RETRY_DELAY >= deadline {
                return Resolution::Unknown;
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Cancels an attempt on a server unless it committed; `None` if the server does not respond
    /// before the deadline or fails.
    pub(super) async fn cancel(
        &self,
        server_id: &ServerId,
        id: &Id,
        attempt: u64,
        deadline: Instant,
    ) -> Option<Cancellation> {
        let id = id.clone();
        let command = |reply| Command::Cancel(id, attempt, reply);
        self.send_command(server_id, deadline, command).await?.ok()
    }

    /// Waits until a majority holds the result of a cancellation; returns a position that
    /// includes it, or `None` if that is not confirmed before the deadline.
    ///
    /// An entry of an earlier term can be lost even when a majority holds it, to a log of a term
    /// in between. So an entry of the current term is appended and confirmed.
    async fn confirm_resolution(
        &self,
        server_id: &ServerId,
        cancellation: Cancellation,
        term: Term,
        deadline: Instant,
    ) -> Option<Position> {
        let mut position = cancellation.position;
        if position.term < term {
            // Cancelling an attempt of an unused request identifier appends an entry.
            let marker = self.cancel(server_id, &Id::random(), 1, deadline).await?;
            position = position.join(marker.position);
        }
        let confirmed = self.confirm(&server_id.service, position, deadline).await;
        confirmed.ok().map(|()| position)
    }
}
