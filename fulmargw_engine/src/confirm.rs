//! Confirmation by a majority: acknowledged writes, read indexes and promises.

use crate::{
    control::ControlPlane,
    core::Core,
    table::{
        backend::{Observation, Order},
        group::{Pending, Primary, Unconfirmed},
        server::Key,
    },
};
use fulmargw_backend::connection::Connector;
use fulmargw_model::{
    backend_server::{Role, Status},
    name::Name,
    position::{Position, Term},
};
use futures::{StreamExt, stream::FuturesUnordered};
use std::{pin::pin, sync::Arc, time::Duration};
use tokio::{
    sync::oneshot,
    time::{Instant, sleep, timeout_at},
};

/// Pause before a question to a group is repeated.
pub const PAUSE: Duration = Duration::from_millis(5);

impl<C: Connector, G: ControlPlane> Core<C, G> {
    /// Waits for a primary of at least this term.
    pub async fn primary(&self, service: &Name, least: Term, deadline: Instant) -> Option<Primary> {
        let changed = {
            let servers = self.servers.lock();
            Arc::clone(&servers.groups.get(service)?.changed)
        };
        loop {
            // The wait begins before the look, so that no change between them is missed.
            let mut change = pin!(changed.notified());
            change.as_mut().enable();
            let primary = self.servers.lock().groups.get(service)?.primary();
            if let Some(primary) = primary.filter(|primary| primary.term >= least) {
                return Some(primary);
            }
            timeout_at(deadline, change).await.ok()?;
        }
    }

    /// Waits until a majority of the group durably holds a committed position.
    ///
    /// All writes of a service that wait share one call per replica.
    pub async fn confirm(
        &self,
        service: &Name,
        position: Position,
        deadline: Instant,
    ) -> Result<(), Unconfirmed> {
        let (reply, result) = oneshot::channel();
        {
            let mut servers = self.servers.lock();
            let group = servers.groups.get_mut(service);
            let group = group.ok_or(Unconfirmed::Late)?;
            group.wait(Pending { position, reply });
        }
        let result = timeout_at(deadline, result).await;
        result
            .unwrap_or(Ok(Err(Unconfirmed::Late)))
            .unwrap_or(Err(Unconfirmed::Late))
    }

    /// Returns a position that includes every write that was acknowledged before the call,
    /// provided that [`Self::promises`] succeeds for its term afterwards.
    pub async fn read_index(&self, service: &Name, deadline: Instant) -> Option<Position> {
        loop {
            let primary = self.primary(service, Term(0), deadline).await?;
            let key = Key {
                service: service.clone(),
                server: primary.server,
            };
            let seen = self.status(&key, deadline).await;
            let status = seen.map(|seen| seen.status);
            if let Some(status) = status
                && status.role == Role::Primary
                && status.promised == status.term
            {
                return Some(Position {
                    term: status.term,
                    index: status.received.index,
                });
            }
            if Instant::now() + PAUSE >= deadline {
                return None;
            }
            sleep(PAUSE).await;
        }
    }

    /// Checks that no primary of a later term can have acknowledged anything before the call.
    ///
    /// Enough replicas are asked to make a majority with the primary of `term`.
    pub async fn promises(
        &self,
        service: &Name,
        term: Term,
        deadline: Instant,
    ) -> Result<(), Unconfirmed> {
        loop {
            let (majority, keys) = self.replicas(service);
            let mut needed = majority.saturating_sub(1);
            let mut later = 0;
            let answers = keys.iter().map(|key| self.status(key, deadline));
            let mut answers: FuturesUnordered<_> = answers.collect();
            while needed > 0
                && let Some(answer) = answers.next().await
            {
                match answer.map(|seen| seen.status.promised) {
                    Some(promised) if promised <= term => needed -= 1,
                    Some(_) => later += 1,
                    None => {}
                }
            }
            if needed == 0 {
                return Ok(());
            }
            if later > 0 && keys.len() < majority - 1 + later {
                return Err(Unconfirmed::Superseded);
            }
            if Instant::now() + PAUSE >= deadline {
                return Err(Unconfirmed::Late);
            }
            sleep(PAUSE).await;
        }
    }

    fn replicas(&self, service: &Name) -> (usize, Vec<Key>) {
        let servers = self.servers.lock();
        let Some(group) = servers.groups.get(service) else {
            return (1, Vec::new());
        };
        let replica = |status: Status| status.role == Role::Replica;
        let members = group.backends.iter();
        let replicas = members.filter(|member| member.status().is_some_and(replica));
        let key = |server: &Name| Key {
            service: service.clone(),
            server: server.clone(),
        };
        let keys = replicas.map(|member| key(&member.server.name)).collect();
        (group.majority, keys)
    }

    /// Asks for a status that is begun after the call; `None` if the server is unreachable.
    pub async fn status(&self, key: &Key, deadline: Instant) -> Option<Observation> {
        self.order(key, deadline, Order::Status).await
    }

    /// Sends an order to the monitor of a server; `None` if the server is unreachable.
    pub async fn order<T>(
        &self,
        key: &Key,
        deadline: Instant,
        order: impl FnOnce(oneshot::Sender<T>) -> Order,
    ) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.with_backend(key, |member| {
            // A monitor that ended drops the reply, which the wait below notices.
            let _ = member.orders.send(order(reply));
        });
        timeout_at(deadline, answer).await.ok()?.ok()
    }
}
