//! Confirmation by a majority: durable writes, read indexes and terms without a successor.

use crate::{
    control::ControlPlane,
    core::Core,
    table::{
        backend::{Command, Observation},
        group::{Pending, Primary, Unconfirmed},
        server::ServerId,
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

/// Delay before a call to a group is repeated.
pub const RETRY_DELAY: Duration = Duration::from_millis(5);

impl<C: Connector, P: ControlPlane> Core<C, P> {
    /// Waits for a primary whose term is at least `minimum`; `None` at the deadline.
    pub async fn wait_for_primary(
        &self,
        service: &Name,
        minimum: Term,
        deadline: Instant,
    ) -> Option<Primary> {
        let changed = {
            let servers = self.servers.lock();
            Arc::clone(&servers.groups.get(service)?.changed)
        };
        loop {
            // Registered before the state is read, so that no change in between is missed.
            let mut change = pin!(changed.notified());
            change.as_mut().enable();
            let primary = self.servers.lock().groups.get(service)?.primary();
            if let Some(primary) = primary.filter(|primary| primary.term >= minimum) {
                return Some(primary);
            }
            timeout_at(deadline, change).await.ok()?;
        }
    }

    /// Waits until a majority of the group durably holds a committed position.
    ///
    /// All waiting positions of a service share one call per replica.
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
            let group = group.ok_or(Unconfirmed::DeadlinePassed)?;
            group.add_pending(Pending { position, reply });
        }
        let result = timeout_at(deadline, result).await;
        result
            .unwrap_or(Ok(Err(Unconfirmed::DeadlinePassed)))
            .unwrap_or(Err(Unconfirmed::DeadlinePassed))
    }

    /// Returns a position that includes every write that was acknowledged before the call,
    /// provided that a later [`Self::confirm_term`] succeeds for the term of the position.
    pub async fn read_index(&self, service: &Name, deadline: Instant) -> Option<Position> {
        loop {
            let primary = self.wait_for_primary(service, Term(0), deadline).await?;
            let server_id = ServerId {
                service: service.clone(),
                server: primary.server,
            };
            let observation = self.request_status(&server_id, deadline).await;
            let status = observation.map(|observation| observation.status);
            if let Some(status) = status
                && status.role == Role::Primary
                && status.promised == status.term
            {
                return Some(Position {
                    term: status.term,
                    index: status.received.index,
                });
            }
            if Instant::now() + RETRY_DELAY >= deadline {
                return None;
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Checks that no primary of a later term can have acknowledged anything before the call.
    ///
    /// That holds if enough replicas to form a majority with the primary of `term` have not
    /// promised a later term.
    pub async fn confirm_term(
        &self,
        service: &Name,
        term: Term,
        deadline: Instant,
    ) -> Result<(), Unconfirmed> {
        loop {
            let (majority, replica_keys) = self.replicas(service);
            let mut needed = majority.saturating_sub(1);
            let mut promised_later = 0;
            let responses = replica_keys
                .iter()
                .map(|server_id| self.request_status(server_id, deadline));
            let mut responses: FuturesUnordered<_> = responses.collect();
            while needed > 0
                && let Some(response) = responses.next().await
            {
                match response.map(|observation| observation.status.promised) {
                    Some(promised) if promised <= term => needed -= 1,
                    Some(_) => promised_later += 1,
                    None => {}
                }
            }
            if needed == 0 {
                return Ok(());
            }
            if promised_later > 0 && replica_keys.len() < majority - 1 + promised_later {
                return Err(Unconfirmed::Superseded);
            }
            if Instant::now() + RETRY_DELAY >= deadline {
                return Err(Unconfirmed::DeadlinePassed);
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Returns the size of a majority of the group, and its replicas.
    fn replicas(&self, service: &Name) -> (usize, Vec<ServerId>) {
        let servers = self.servers.lock();
        let Some(group) = servers.groups.get(service) else {
            return (1, Vec::new());
        };
        let is_replica = |status: Status| status.role == Role::Replica;
        let backends = group.backends.iter();
        let replicas = backends.filter(|backend| backend.status().is_some_and(is_replica));
        let server_id = |server: &Name| ServerId {
            service: service.clone(),
            server: server.clone(),
        };
        let server_ids = replicas
            .map(|backend| server_id(&backend.server.name))
            .collect();
        (group.majority, server_ids)
    }

    /// Requests a status that is taken after the call; `None` if the server does not respond
    /// before the deadline.
    pub async fn request_status(
        &self,
        server_id: &ServerId,
        deadline: Instant,
    ) -> Option<Observation> {
        self.send_command(server_id, deadline, Command::Status)
            .await
    }

    /// Sends a command to the monitor of a server; `None` if the server does not respond before
    /// the deadline.
    pub async fn send_command<T>(
        &self,
        server_id: &ServerId,
        deadline: Instant,
        command: impl FnOnce(oneshot::Sender<T>) -> Command,
    ) -> Option<T> {
        let (reply, response) = oneshot::channel();
        self.with_backend(server_id, |backend| {
            // A monitor that has ended drops the reply, which ends the wait below.
            let _ = backend.commands.send(command(reply));
        });
        timeout_at(deadline, response).await.ok()?.ok()
    }
}
