//! Settles whether an attempt of a write ran.

use crate::{
    confirm::PAUSE,
    control::ControlPlane,
    core::{Body, Core},
    table::{backend::Order, server::Key},
};
use fulmargw_backend::connection::{Connector, Settlement};
use fulmargw_model::{
    name::Name,
    position::{Position, Term},
    request::{Id, Request},
};
use tokio::time::{Instant, sleep};

/// Whether an attempt ran, as a majority holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Settled {
    /// It committed; a session that reads at or after the position sees it.
    Committed(Position),
    /// It did not run and can no longer run.
    Cancelled,
    /// It could not be settled before the deadline.
    Unknown,
}

impl<C: Connector, G: ControlPlane> Core<C, G> {
    /// Settles an attempt of a request that ran in `term`.
    pub async fn settle(&self, request: &Request<Body<C>>, attempt: u64, term: Term) -> Settled {
        self.settle_as(
            &request.service,
            &request.id,
            attempt,
            term,
            request.deadline,
        )
        .await
    }

    /// Settles an attempt at the primary of `term` or a later one.
    pub async fn settle_as(
        &self,
        service: &Name,
        id: &Id,
        attempt: u64,
        term: Term,
        deadline: Instant,
    ) -> Settled {
        metrics::counter!("fulmargw_settlements_total").increment(1);
        loop {
            let Some(primary) = self.primary(service, term, deadline).await else {
                return Settled::Unknown;
            };
            let key = Key {
                service: service.clone(),
                server: primary.server,
            };
            let settlement = self.cancel(&key, id, attempt, deadline).await;
            if let Some(settlement) = settlement
                && let Some(position) = self.fix(&key, settlement, primary.term, deadline).await
            {
                return if settlement.committed {
                    Settled::Committed(position)
                } else {
                    Settled::Cancelled
                };
            }
            if Instant::now() + PAUSE >= deadline {
                return Settled::Unknown;
            }
            sleep(PAUSE).await;
        }
    }

    /// Cancels an attempt at a server; `None` if there is no answer before the deadline.
    pub(super) async fn cancel(
        &self,
        key: &Key,
        id: &Id,
        attempt: u64,
        deadline: Instant,
    ) -> Option<Settlement> {
        let id = id.clone();
        let order = |reply| Order::Cancel(id, attempt, reply);
        self.order(key, deadline, order).await?.ok()
    }

    /// Waits until a majority holds a settlement; returns the position that includes it.
    ///
    /// A majority that holds an entry of an earlier term can still lose it to a log of a term
    /// between, so an entry of the present term is added and waited for.
    async fn fix(
        &self,
        key: &Key,
        settlement: Settlement,
        term: Term,
        deadline: Instant,
    ) -> Option<Position> {
        let mut position = settlement.position;
        if position.term < term {
            let marker = self.cancel(key, &Id::random(), 1, deadline).await?;
            position = position.join(marker.position);
        }
        let confirmed = self.confirm(&key.service, position, deadline).await;
        confirmed.ok().map(|()| position)
    }
}
