//! Queries the servers of a service for their status, and pauses and resumes replication.

use crate::{
    backend::{Registry, Server, Status},
    clock::{self, millis},
    connection::Connection,
    core::Core,
    dialect::Dialect,
    message::Command,
    store::{Platform, Revision},
    table::{Backend, Group},
};
use fulmargw_model::{execution::Code, name::Name, position::Term};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Timeout of one query to a server, and of opening a connection to it.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay between two tries of a query to a server that has no free slot.
const BUSY_DELAY: Duration = Duration::from_millis(25);
/// Maximum number of tries of a query to a server that has no free slot.
const MAX_QUERY_TRIES: u32 = 4;

/// A server with the connection over which it is queried, and its last status.
pub(super) struct Probe<D: Dialect> {
    pub(super) server: Server,
    connection: Option<Connection<D>>,
    pub(super) status: Option<Status>,
    /// Whether its registry entry was written by the process that responds.
    pub(super) is_identified: bool,
}

impl<D: Dialect> Probe<D> {
    /// Decides whether the process that responded wrote the server's entry in a registry that was read
    /// after `read_at`. The registry removes an entry within `lifetime` after its last write.
    ///
    /// A process that has run for the lifetime of an entry that is still there has written that entry.
    /// One that has restarted since may have a late entry, which leaves the earlier one in place.
    pub(super) fn identify(&mut self, registry: &Registry, read_at: Instant, lifetime: Duration) {
        let registered = registry.get(&self.server.id).map(Server::member);
        let is_registered = registered == Some(self.server.member());
        let is_old = |connection: &Connection<D>| connection.tenure.since() + lifetime <= read_at;
        self.is_identified =
            self.status.is_some() && is_registered && self.connection.as_ref().is_some_and(is_old);
    }

    /// Writes the line of the server's last status.
    pub(super) fn log(&self) {
        let server = &self.server;
        let connection = self.connection.as_ref();
        let known_for_ms = connection.map(|it| millis(it.tenure.since().elapsed()));
        let status = self.status;
        log::info!(
            event = "replica_status", service = server.service.as_str(),
            server = server.id.as_str(), born_unix_ms = server.born_unix_ms, known_for_ms,
            is_identified = self.is_identified,
            role:? = status.map(|it| it.role), term = status.map(|it| it.term.0),
            received:? = status.map(|it| (it.received.term.0, it.received.index)),
            held_term = status.and_then(|it| it.held).map(|term| term.0);
            "asked a replica for its log"
        );
    }
}

/// Queries the status of all servers of a service except the assumed primary and those of evacuated
/// zones.
pub(super) async fn query_replicas<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    service: &Name,
) -> Vec<Probe<D>> {
    let (replicas, others) = {
        let servers = core.servers.lock();
        let group = servers.groups.get(service);
        let all = group.into_iter().flat_map(|group| {
            let backends = group.backends.values();
            backends.map(|it| (it.server.clone(), reason_not_asked(group, it)))
        });
        let (replicas, others): (Vec<_>, Vec<_>) = all.partition(|(_, reason)| reason.is_none());
        (replicas, others)
    };
    for (server, reason) in others {
        log::info!(event = "server_not_asked", service = service.as_str(), server = server.id.as_str(), born_unix_ms = server.born_unix_ms, role:? = server.role, cause = reason; "a promotion does not ask a server for its log");
    }
    let queries = replicas
        .into_iter()
        .map(|(server, _)| query_status(core, server));
    futures::future::join_all(queries).await
}

/// Returns why a promotion does not ask a server for its log; `None` if it does.
fn reason_not_asked<D: Dialect>(group: &Group<D>, backend: &Backend<D>) -> Option<&'static str> {
    if group.primary_id.as_ref() == Some(&backend.server.id) {
        return Some("it is the assumed primary");
    }
    backend.is_excluded().then_some("its zone is evacuated")
}

/// Connects to a server and queries its status.
pub(super) async fn query_status<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    server: Server,
) -> Probe<D> {
    let mut probe = Probe {
        connection: connect(core, &server).await,
        server,
        status: None,
        is_identified: false,
    };
    probe.status = query(&mut probe, &Command::Status).await;
    if let Some(connection) = &mut probe.connection {
        let server_id = probe.server.server_id();
        let tenure = &mut connection.tenure;
        core.with_backend(&server_id, |backend| backend.process.compare(tenure));
    }
    probe
}

/// Returns a connection to a server: an idle one, or a new one in the name of any client account.
pub(crate) async fn connect<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    server: &Server,
) -> Option<Connection<D>> {
    let server_id = server.server_id();
    let (idle, gate) = core
        .with_backend(&server_id, |backend| {
            let idle = backend.take_oldest_idle();
            if idle.is_some() {
                backend.connection_closed();
            }
            (idle, backend.gate())
        })
        .unwrap_or_default();
    if idle.is_some() || gate.is_cancelled() {
        return idle;
    }
    let account = core
        .configuration()
        .and_then(|configuration| configuration.catalog.accounts.keys().next().cloned())?;
    let opened = timeout(QUERY_TIMEOUT, Connection::open(server, account, &gate)).await;
    match opened {
        Ok(Ok(connection)) => Some(connection),
        Ok(Err(error)) => {
            log::info!(event = "replica_unreachable", server = server.id.as_str(), cause:? = error; "cannot connect to a replica");
            None
        }
        Err(_) => {
            log::info!(event = "replica_unreachable", server = server.id.as_str(), cause = "timeout"; "cannot connect to a replica");
            None
        }
    }
}

/// Sends a command and returns the status in its response.
pub(super) async fn query<D: Dialect>(probe: &mut Probe<D>, command: &Command) -> Option<Status> {
    for _ in 0..MAX_QUERY_TRIES {
        let connection = probe.connection.as_mut()?;
        let run = timeout(QUERY_TIMEOUT, connection.run(vec![command.clone()])).await;
        let Ok(Ok(replies)) = run else {
            log::info!(event = "replica_silent", server = probe.server.id.as_str(), command:? = command; "replica did not respond");
            probe.connection = None;
            return None;
        };
        let reply = replies.into_iter().next()?;
        match reply.result {
            Ok(_) => return reply.rows.first().and_then(D::decode_status),
            Err((Code::Busy, _)) => sleep(BUSY_DELAY).await,
            Err((code, _)) => {
                log::info!(event = "replica_refused", server = probe.server.id.as_str(), command:? = command, code = code.label(); "replica rejected a query");
                return None;
            }
        }
    }
    None
}

/// Pauses replication to a replica on behalf of a claim, and returns its status.
pub(super) async fn pause<D: Dialect>(
    probe: &mut Probe<D>,
    term: Term,
    claimed: Revision,
) -> Option<Status> {
    let sent = Instant::now();
    let status = query(probe, &Command::Pause(term)).await;
    log_command("replication_paused", &probe.server, claimed, sent, status);
    status
}

/// Resumes replication to replicas on behalf of a claim. Nothing is sent after `until`, by the time
/// since boot: another host may have the claim then.
pub(super) async fn resume_replicas<D: Dialect>(
    replicas: impl Iterator<Item = &mut Probe<D>>,
    claimed: Revision,
    until: Duration,
) {
    for replica in replicas.filter(|replica| replica.connection.is_some()) {
        if clock::since_boot() >= until {
            log::warn!(event = "replica_left_paused", server = replica.server.id.as_str(), cause = "the claim may have expired"; "cannot resume replication to a replica");
            continue;
        }
        let sent = Instant::now();
        let status = query(replica, &Command::Resume).await;
        log_command(
            "replication_resumed",
            &replica.server,
            claimed,
            sent,
            status,
        );
        if status.is_none() {
            log::warn!(event = "replica_left_paused", server = replica.server.id.as_str(), cause = "no response"; "cannot resume replication to a replica");
        }
    }
}

/// Keeps the connections of an attempt for the next one, so that they get old enough to tell which
/// process responds.
pub(super) fn return_connections<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    probes: Vec<Probe<D>>,
) {
    for probe in probes {
        let Some(connection) = probe.connection else {
            continue;
        };
        let server_id = probe.server.server_id();
        core.with_backend(&server_id, |backend| backend.adopt(connection));
    }
    core.work_ready.notify_one();
}

/// Writes the line of a command that pauses or resumes replication. One without a response may take
/// effect later.
fn log_command(
    event: &'static str,
    server: &Server,
    claimed: Revision,
    sent: Instant,
    status: Option<Status>,
) {
    log::info!(
        event, service = server.service.as_str(), server = server.id.as_str(),
        revision:% = claimed, has_responded = status.is_some(),
        received:? = status.map(|it| (it.received.term.0, it.received.index)),
        held_term = status.and_then(|it| it.held).map(|term| term.0),
        elapsed_ms = millis(sent.elapsed());
        "sent a command to a replica"
    );
}
