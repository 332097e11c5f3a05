//! Connections to the in-memory database group.

use super::{
    Body,
    group::{Content, Group, Node, World, values},
};
use fulmargw_backend::connection::{
    Connection, Connector, Error, Kind, Level, Reply, Settlement, Task, Transaction,
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
const OPENING: Duration = Duration::from_millis(10);
/// Time in which a server that was unreachable ends a statement whose caller has gone.
const LINGER: Duration = Duration::from_millis(500);
/// Connections that a server accepts, as in the configuration.
const LIMIT: u32 = 16;

/// Opens connections to the group.
#[derive(Debug, Clone)]
pub struct Links(World);

impl Links {
    pub fn new(world: World) -> Self {
        Self(world)
    }
}

impl Connector for Links {
    type Connection = Link;

    async fn connect(&self, server: &Server, term: Term) -> Result<Link, Error> {
        let name = server.name.clone();
        let failed = |kind| Error {
            step: Step::Connect,
            server: name.clone(),
            kind,
        };
        sleep(OPENING).await;
        if !self.0.lock().nodes[&name].reachable {
            pending::<()>().await;
        }
        let mut group = self.0.lock();
        let number = group.next;
        group.next += 1;
        let node = group.nodes.get_mut(&name).unwrap();
        if !node.alive {
            return Err(failed(Kind::Refused("killed".to_owned())));
        }
        if node.connections >= LIMIT {
            return Err(failed(Kind::TooManyConnections));
        }
        node.connections += 1;
        node.numbers.push(number);
        node.most_connections = node.most_connections.max(node.connections);
        Ok(Link {
            world: self.0.clone(),
            server: name.clone(),
            term,
            number,
            life: node.life,
            open: None,
            busy: false,
        })
    }
}

/// A connection to one server.
#[derive(Debug)]
pub struct Link {
    world: World,
    server: Name,
    term: Term,
    number: u64,
    life: u32,
    open: Option<Open>,
    /// A call was dropped before its answer was read.
    busy: bool,
}

#[derive(Debug, Clone)]
struct Open {
    record: Option<(Id, u64)>,
    values: Vec<u64>,
}

impl Drop for Link {
    fn drop(&mut self) {
        let world = self.world.clone();
        let server = self.server.clone();
        let is_reachable = world.lock().nodes[&server].reachable;
        match Handle::try_current() {
            Ok(runtime) if self.busy && !is_reachable => {
                runtime.spawn(linger(world, server));
            }
            _ => release(&world, &server),
        }
    }
}

/// Frees a connection whose server could not read that it was closed while a statement ran.
async fn linger(world: World, server: Name) {
    while !world.lock().nodes[&server].reachable {
        sleep(OPENING).await;
    }
    sleep(LINGER).await;
    release(&world, &server);
}

fn release(world: &World, server: &Name) {
    world.lock().nodes.get_mut(server).unwrap().connections -= 1;
}

impl Link {
    fn error(&self, kind: Kind) -> Error {
        Error {
            step: Step::Execute,
            server: self.server.clone(),
            kind,
        }
    }

    /// Passes one direction of the network.
    async fn pass(&self) -> Result<(), Error> {
        sleep(LATENCY).await;
        let lost = {
            let group = self.world.lock();
            group.silent.contains(&self.number) || !group.nodes[&self.server].reachable
        };
        if lost {
            pending::<()>().await;
        }
        let group = self.world.lock();
        let node = &group.nodes[&self.server];
        if !node.alive || node.life != self.life {
            return Err(self.error(Kind::Closed("killed".to_owned())));
        }
        Ok(())
    }

    /// Runs `act` on the server, between the two directions of the network.
    async fn call<T>(
        &mut self,
        act: impl FnOnce(&mut Node) -> Result<T, Kind>,
    ) -> Result<T, Error> {
        assert!(
            !self.busy,
            "a connection with an unread answer was used again"
        );
        self.busy = true;
        self.pass().await?;
        let result = act(self.world.lock().nodes.get_mut(&self.server).unwrap());
        self.pass().await?;
        self.busy = false;
        result.map_err(|kind| self.error(kind))
    }

    /// Runs a statement, which takes a slot of the server for its time of work.
    async fn work(&self) {
        let work = {
            let mut group = self.world.lock();
            let node = group.nodes.get_mut(&self.server).unwrap();
            node.statements += 1;
            node.running += 1;
            node.most_running = node.most_running.max(node.running);
            node.work
        };
        sleep(work).await;
        let mut group = self.world.lock();
        group.nodes.get_mut(&self.server).unwrap().running -= 1;
    }

    async fn wait_for(
        &self,
        level: Level,
        position: Position,
        timeout: Duration,
    ) -> Result<(), Kind> {
        let deadline = Instant::now() + timeout;
        loop {
            let status = self.world.lock().nodes[&self.server].status();
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
                return Err(Kind::Behind);
            }
            sleep(Duration::from_millis(1)).await;
        }
    }

    fn check_term(&self, group: &Group) -> Result<(), Kind> {
        let node = &group.nodes[&self.server];
        let bound = self.term == Term(0) || node.leads(self.term);
        if bound { Ok(()) } else { Err(Kind::WrongTerm) }
    }

    /// Runs a body and returns what it reads.
    fn act(&mut self, body: Body) -> Vec<u64> {
        if let (Body::Put(value), Some(open)) = (body, &mut self.open) {
            open.values.push(value);
        }
        let group = self.world.lock();
        let node = &group.nodes[&self.server];
        values(&node.log[..node.applied])
    }

    fn commit(&mut self) -> Result<Option<Position>, Kind> {
        let Some(open) = self.open.take() else {
            return Ok(None);
        };
        let Some((id, attempt)) = open.record else {
            return Ok(None);
        };
        let mut group = self.world.lock();
        let node = group.nodes.get_mut(&self.server).unwrap();
        if self.term == Term(0) || !node.leads(self.term) {
            return Err(Kind::WrongTerm);
        }
        node.check_record(&id, attempt)?;
        let put = open.values.clone();
        let position = node.append(Content::Commit(id.clone(), attempt, open.values));
        group
            .commits
            .extend(put.into_iter().map(|value| (id.clone(), value)));
        Ok(Some(position))
    }

    fn begin(&mut self, record: Option<(&Id, u64)>) -> Result<(), Kind> {
        if let Some((id, attempt)) = record {
            let group = self.world.lock();
            let node = &group.nodes[&self.server];
            if self.term == Term(0) || !node.leads(self.term) {
                return Err(Kind::WrongTerm);
            }
            node.check_record(id, attempt)?;
        }
        self.open = Some(Open {
            record: record.map(|(id, attempt)| (id.clone(), attempt)),
            values: Vec::new(),
        });
        Ok(())
    }

    async fn perform(&mut self, task: Task<'_, Body>) -> Result<Reply<Vec<u64>>, Kind> {
        if let Task::Read {
            after: Some((position, timeout)),
            ..
        } = task
        {
            self.wait_for(Level::Applied, position, timeout).await?;
        }
        self.check_term(&self.world.lock())?;
        let mut committed = None;
        let report = matches!(task, Task::Read { report: true, .. });
        let answer = match task {
            Task::Read { body, .. } | Task::Inside { body } => self.act(*body),
            Task::Write { id, attempt, body } => {
                self.begin(Some((id, attempt)))?;
                let answer = self.act(*body);
                committed = self.commit()?;
                answer
            }
            Task::Begin { record, body } => {
                self.begin(record)?;
                self.act(*body)
            }
            Task::End { body } => {
                if *body == Body::Rollback {
                    self.open = None;
                }
                committed = self.commit()?;
                self.act(Body::Get)
            }
        };
        let transaction = match self.open {
            Some(_) => Transaction::Open,
            None => Transaction::Idle,
        };
        let group = self.world.lock();
        let status = report.then(|| group.nodes[&self.server].status());
        Ok(Reply {
            answer,
            transaction,
            committed,
            status,
        })
    }

    fn take_fault(&self, count: impl FnOnce(&mut Group) -> &mut u32) -> bool {
        let mut group = self.world.lock();
        let left = count(&mut group);
        let lost = *left > 0;
        *left = left.saturating_sub(1);
        lost
    }
}

impl Connection for Link {
    type Body = Body;
    type Answer = Vec<u64>;

    async fn run(&mut self, task: Task<'_, Body>) -> Result<Reply<Vec<u64>>, Error> {
        assert!(
            !self.busy,
            "a connection with an unread answer was used again"
        );
        self.busy = true;
        let writes = matches!(task, Task::Write { .. } | Task::End { .. });
        let inside = matches!(task, Task::Inside { .. } | Task::End { .. });
        assert_eq!(inside, self.open.is_some(), "no-interleaving is violated");
        self.pass().await?;
        if writes && self.take_fault(|group| &mut group.lost_requests) {
            return Err(self.error(Kind::Closed("request lost".to_owned())));
        }
        self.work().await;
        let result = self.perform(task).await;
        let committed = matches!(&result, Ok(reply) if reply.committed.is_some());
        if committed && self.take_fault(|group| &mut group.lost_answers) {
            return Err(self.error(Kind::Closed("answer lost".to_owned())));
        }
        self.pass().await?;
        self.busy = false;
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
        let entry = self.world.lock().promotion_entry;
        self.call(|node| {
            if term != node.promised {
                return Err(Kind::Promised(node.promised));
            }
            node.role = fulmargw_model::backend_server::Role::Primary;
            node.term = term;
            if entry {
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
        Ok(self.world.lock().nodes[&self.server].status())
    }

    async fn cancel(&mut self, id: &Id, attempt: u64) -> Result<Settlement, Error> {
        self.call(|node| {
            if !node.leads(node.term) {
                return Err(Kind::WrongTerm);
            }
            Ok(node.cancel(id, attempt))
        })
        .await
    }
}
