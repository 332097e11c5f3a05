//! Connections to the in-memory database group.

use super::{
    Body,
    cluster::{Cluster, Content, Node, State, values},
};
use fulmargw_backend::connection::{
    Cancellation, Connection, Connector, Error, Kind, Level, Reply, Task, TransactionState,
};
use fulmargw_model::{
    backend_server::{Server, Status},
    name::Name,
    outcome::Step,
    position::{Position, Term},
    request::Id,
};
use std::{future::pending, time::Duration};
use tokio::{
    runtime::Handle,
    time::{Instant, sleep},
};

/// One-way latency between a host and a server.
const LATENCY: Duration = Duration::from_millis(1);
/// Time to open a connection.
const CONNECT_TIME: Duration = Duration::from_millis(10);
/// Time after which a server that is reachable again has ended a statement whose client has
/// disconnected meanwhile.
const ABANDONED_STATEMENT_TIME: Duration = Duration::from_millis(500);
/// Connection limit of a server, as in the configuration.
const CONNECTION_LIMIT: u32 = 16;

/// Opens connections to the group.
#[derive(Debug, Clone)]
pub struct StubConnector(Cluster);

impl StubConnector {
    pub fn new(cluster: Cluster) -> Self {
        Self(cluster)
    }
}

impl Connector for StubConnector {
    type Connection = StubConnection;

    async fn connect(&self, server: &Server, term: Term) -> Result<StubConnection, Error> {
        let name = server.name.clone();
        let failed = |kind| Error {
            step: Step::Connect,
            server: name.clone(),
            kind,
        };
        sleep(CONNECT_TIME).await;
        if !self.0.lock().nodes[&name].reachable_by_hosts {
            pending::<()>().await;
        }
        let mut state = self.0.lock();
        let number = state.next_connection;
        state.next_connection += 1;
        let node = state.nodes.get_mut(&name).unwrap();
        if !node.alive {
            return Err(failed(Kind::Refused("killed".to_owned())));
        }
        if node.connections >= CONNECTION_LIMIT {
            return Err(failed(Kind::TooManyConnections));
        }
        node.connections += 1;
        node.connection_numbers.push(number);
        node.peak_connections = node.peak_connections.max(node.connections);
        Ok(StubConnection {
            cluster: self.0.clone(),
            server: name.clone(),
            term,
            number,
            incarnation: node.incarnation,
            transaction: None,
            has_unread_response: false,
        })
    }
}

/// A connection to one server.
#[derive(Debug)]
pub struct StubConnection {
    cluster: Cluster,
    server: Name,
    term: Term,
    number: u64,
    incarnation: u32,
    transaction: Option<OpenTransaction>,
    /// A call runs, or was dropped before its response was read.
    has_unread_response: bool,
}

#[derive(Debug, Clone)]
struct OpenTransaction {
    record: Option<(Id, u64)>,
    values: Vec<u64>,
}

impl Drop for StubConnection {
    fn drop(&mut self) {
        let cluster = self.cluster.clone();
        let server = self.server.clone();
        let is_reachable = cluster.lock().nodes[&server].reachable_by_hosts;
        match Handle::try_current() {
            Ok(runtime) if self.has_unread_response && !is_reachable => {
                runtime.spawn(release_after_resume(cluster, server));
            }
            _ => release(&cluster, &server),
        }
    }
}

/// Frees a connection that was closed during a statement while its server was unreachable, and
/// could not read the end of the stream.
async fn release_after_resume(cluster: Cluster, server: Name) {
    while !cluster.lock().nodes[&server].reachable_by_hosts {
        sleep(CONNECT_TIME).await;
    }
    sleep(ABANDONED_STATEMENT_TIME).await;
    release(&cluster, &server);
}

fn release(cluster: &Cluster, server: &Name) {
    cluster.lock().nodes.get_mut(server).unwrap().connections -= 1;
}

impl StubConnection {
    fn error(&self, kind: Kind) -> Error {
        Error {
            step: Step::Execute,
            server: self.server.clone(),
            kind,
        }
    }

    /// Transmits a message over the network in one direction.
    async fn transmit(&self) -> Result<(), Error> {
        sleep(LATENCY).await;
        let lost = {
            let state = self.cluster.lock();
            state.unresponsive_connections.contains(&self.number)
                || !state.nodes[&self.server].reachable_by_hosts
        };
        if lost {
            pending::<()>().await;
        }
        let state = self.cluster.lock();
        let node = &state.nodes[&self.server];
        if !node.alive || node.incarnation != self.incarnation {
            return Err(self.error(Kind::Closed("killed".to_owned())));
        }
        Ok(())
    }

    /// Transmits a request, runs `act` on the server, and transmits the response.
    async fn call<T>(
        &mut self,
        act: impl FnOnce(&mut Node) -> Result<T, Kind>,
    ) -> Result<T, Error> {
        assert!(
            !self.has_unread_response,
            "a connection with an unread response was used again"
        );
        self.has_unread_response = true;
        self.transmit().await?;
        let result = act(self.cluster.lock().nodes.get_mut(&self.server).unwrap());
        self.transmit().await?;
        self.has_unread_response = false;
        result.map_err(|kind| self.error(kind))
    }

    /// Takes a slot of the server for the time of one statement.
    async fn take_slot(&self) {
        let run_time = {
            let mut state = self.cluster.lock();
            let node = state.nodes.get_mut(&self.server).unwrap();
            node.statements += 1;
            node.running += 1;
            node.peak_running = node.peak_running.max(node.running);
            node.run_time
        };
        sleep(run_time).await;
        let mut state = self.cluster.lock();
        state.nodes.get_mut(&self.server).unwrap().running -= 1;
    }

    async fn wait_for(
        &self,
        level: Level,
        position: Position,
        timeout: Duration,
    ) -> Result<(), Kind> {
        let deadline = Instant::now() + timeout;
        loop {
            let status = self.cluster.lock().nodes[&self.server].status();
            if status.promised > position.term {
                return Err(Kind::Promised(status.promised));
            }
            let reached = match level {
                Level::Received => status.received,
                Level::Applied => status.applied,
            };
            if reached.satisfies(position) {
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(Kind::Lagging);
            }
            sleep(Duration::from_millis(1)).await;
        }
    }

    fn check_term(&self, state: &State) -> Result<(), Kind> {
        let node = &state.nodes[&self.server];
        let allowed = self.term == Term(0) || node.is_primary_of(self.term);
        if allowed {
            Ok(())
        } else {
            Err(Kind::WrongTerm)
        }
    }

    /// Runs a body and returns the values that it reads.
    fn run_body(&mut self, body: Body) -> Vec<u64> {
        if let (Body::Put(value), Some(transaction)) = (body, &mut self.transaction) {
            transaction.values.push(value);
        }
        let state = self.cluster.lock();
        let node = &state.nodes[&self.server];
        values(&node.log[..node.applied])
    }

    fn commit(&mut self) -> Result<Option<Position>, Kind> {
        let Some(transaction) = self.transaction.take() else {
            return Ok(None);
        };
        let Some((id, attempt)) = transaction.record else {
            return Ok(None);
        };
        let mut state = self.cluster.lock();
        let node = state.nodes.get_mut(&self.server).unwrap();
        if self.term == Term(0) || !node.is_primary_of(self.term) {
            return Err(Kind::WrongTerm);
        }
        node.check_record(&id, attempt)?;
        let put = transaction.values.clone();
        let position = node.append(Content::Commit(id.clone(), attempt, transaction.values));
        state
            .commits
            .extend(put.into_iter().map(|value| (id.clone(), value)));
        Ok(Some(position))
    }

    fn begin(&mut self, record: Option<(&Id, u64)>) -> Result<(), Kind> {
        if let Some((id, attempt)) = record {
            let state = self.cluster.lock();
            let node = &state.nodes[&self.server];
            if self.term == Term(0) || !node.is_primary_of(self.term) {
                return Err(Kind::WrongTerm);
            }
            node.check_record(id, attempt)?;
        }
        self.transaction = Some(OpenTransaction {
            record: record.map(|(id, attempt)| (id.clone(), attempt)),
            values: Vec::new(),
        });
        Ok(())
    }

    async fn run_task(&mut self, task: Task<'_, Body>) -> Result<Reply<Vec<u64>>, Kind> {
        if let Task::Read {
            min_position: Some((position, timeout)),
            ..
        } = task
        {
            self.wait_for(Level::Applied, position, timeout).await?;
        }
        self.check_term(&self.cluster.lock())?;
        let mut committed = None;
        let with_status = matches!(
            task,
            Task::Read {
                with_status: true,
                ..
            }
        );
        let answer = match task {
            Task::Read { body, .. } | Task::InTransaction { body } => self.run_body(*body),
            Task::Write { id, attempt, body } => {
                self.begin(Some((id, attempt)))?;
                let answer = self.run_body(*body);
                committed = self.commit()?;
                answer
            }
            Task::Begin { record, body } => {
                self.begin(record)?;
                self.run_body(*body)
            }
            Task::End { body } => {
                if *body == Body::Rollback {
                    self.transaction = None;
                }
                committed = self.commit()?;
                self.run_body(Body::Get)
            }
        };
        let transaction = match self.transaction {
            Some(_) => TransactionState::Open,
            None => TransactionState::Idle,
        };
        let state = self.cluster.lock();
        let status = with_status.then(|| state.nodes[&self.server].status());
        Ok(Reply {
            answer,
            transaction,
            committed,
            status,
        })
    }

    /// Reports whether a message is to be dropped, and counts the drop.
    fn take_drop(&self, count: impl FnOnce(&mut State) -> &mut u32) -> bool {
        let mut state = self.cluster.lock();
        let left = count(&mut state);
        let dropped = *left > 0;
        *left = left.saturating_sub(1);
        dropped
    }
}

impl Connection for StubConnection {
    type Body = Body;
    type Answer = Vec<u64>;

    async fn run(&mut self, task: Task<'_, Body>) -> Result<Reply<Vec<u64>>, Error> {
        assert!(
            !self.has_unread_response,
            "a connection with an unread response was used again"
        );
        self.has_unread_response = true;
        let writes = matches!(task, Task::Write { .. } | Task::End { .. });
        let in_transaction = matches!(task, Task::InTransaction { .. } | Task::End { .. });
        assert_eq!(
            in_transaction,
            self.transaction.is_some(),
            "a task ran inside the transaction of another caller, or outside its own"
        );
        self.transmit().await?;
        if writes && self.take_drop(|state| &mut state.requests_to_drop) {
            return Err(self.error(Kind::Closed("request lost".to_owned())));
        }
        self.take_slot().await;
        let result = self.run_task(task).await;
        let committed = matches!(&result, Ok(reply) if reply.committed.is_some());
        if committed && self.take_drop(|state| &mut state.responses_to_drop) {
            return Err(self.error(Kind::Closed("response lost".to_owned())));
        }
        self.transmit().await?;
        self.has_unread_response = false;
        result.map_err(|kind| self.error(kind))
    }

    async fn status(&mut self) -> Result<Status, Error> {
        self.call(|node| Ok(node.status())).await
    }

    async fn fence(&mut self, term: Term) -> Result<Status, Error> {
        self.call(|node| {
            if term <= node.promised {
                return Err(Kind::Promised(node.promised));
            }
            node.promised = term;
            Ok(node.status())
        })
        .await
    }

    async fn promote(&mut self, term: Term) -> Result<Status, Error> {
        let logs_promotion = self.cluster.lock().logs_promotions;
        self.call(|node| {
            if term != node.promised {
                return Err(Kind::Promised(node.promised));
            }
            node.role = fulmargw_model::backend_server::Role::Primary;
            node.term = term;
            if logs_promotion {
                node.append(Content::Promotion);
            }
            Ok(node.status())
        })
        .await
    }

    async fn wait(
        &mut self,
        level: Level,
        position: Position,
        timeout: Duration,
    ) -> Result<Status, Error> {
        self.call(|_| Ok(())).await?;
        let waited = self.wait_for(level, position, timeout).await;
        waited.map_err(|kind| self.error(kind))?;
        Ok(self.cluster.lock().nodes[&self.server].status())
    }

    async fn cancel(&mut self, id: &Id, attempt: u64) -> Result<Cancellation, Error> {
        self.call(|node| {
            if !node.is_primary_of(node.term) {
                return Err(Kind::WrongTerm);
            }
            Ok(node.cancel(id, attempt))
        })
        .await
    }
}
