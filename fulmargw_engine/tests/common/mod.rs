//! Fixtures for the tests of the engine: in-memory database group, control plane and requests.

#![allow(dead_code, reason = "each test file uses a part of the fixtures")]

pub mod cluster;
pub mod connection;

use cluster::Cluster;
use connection::StubConnector;
use fulmargw_engine::{control::ControlPlane, engine::Engine, settings::Settings, submit::Submit};
use fulmargw_model::{
    availability_zone::Zone,
    backend_server::Server,
    client_account::Account,
    configuration::Configuration,
    name::Name,
    outcome::{Answer, Outcome, Refusal},
    position::{Position, Term},
    request::{Class, Id, Part, Repeat, Request},
    route::{Access, Route},
    service::Service,
};
use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};

/// Service of all tests.
pub const SERVICE: &str = "ledger";
/// Servers of the service; the first one starts as the primary.
pub const SERVERS: [&str; 3] = ["a", "b", "c"];

/// Content of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Body {
    /// Adds a value.
    Put(u64),
    /// Reads all values.
    Get,
    /// Does nothing, for the begin and end of a transaction.
    Nothing,
    /// Rolls back.
    Rollback,
}

/// Engine under test.
pub type TestEngine = Engine<StubConnector, StubControlPlane>;

/// A control plane whose decisions a test sets.
#[derive(Debug, Clone)]
pub struct StubControlPlane {
    configuration: watch::Sender<Arc<Configuration>>,
    has_lease: Arc<AtomicBool>,
    share_divisor: Arc<AtomicU32>,
    promotion_rank: usize,
}

impl StubControlPlane {
    pub fn set_lease(&self, has_lease: bool) {
        self.has_lease.store(has_lease, Ordering::SeqCst);
    }

    pub fn set_share_divisor(&self, divisor: u32) {
        self.share_divisor.store(divisor, Ordering::SeqCst);
    }

    pub fn change_service(&self, change: impl FnOnce(&mut Service)) {
        let mut configuration = (**self.configuration.borrow()).clone();
        change(configuration.services.get_mut(SERVICE).unwrap());
        self.configuration.send_replace(Arc::new(configuration));
    }
}

impl ControlPlane for StubControlPlane {
    fn configuration(&self) -> watch::Receiver<Arc<Configuration>> {
        self.configuration.subscribe()
    }

    fn has_lease(&self, _now: Instant) -> bool {
        self.has_lease.load(Ordering::SeqCst)
    }

    fn share_divisor(&self) -> Option<u32> {
        Some(self.share_divisor.load(Ordering::SeqCst)).filter(|divisor| *divisor > 0)
    }

    fn promotion_rank(&self, _service: &Name, _term: Term) -> usize {
        self.promotion_rank
    }

    async fn admit(&self, _account: &Name, _deadline: Instant) -> Result<(), Refusal> {
        Ok(())
    }

    fn announce_primary(&self, _service: &Name, _term: Term, _server: &Name) {}
}

/// Returns a control plane that allows everything to a host with this promotion rank.
pub fn control_plane(promotion_rank: usize) -> StubControlPlane {
    StubControlPlane {
        configuration: watch::Sender::new(Arc::new(configuration())),
        has_lease: Arc::new(AtomicBool::new(true)),
        share_divisor: Arc::new(AtomicU32::new(4)),
        promotion_rank,
    }
}

fn configuration() -> Configuration {
    let server = |(number, name): (usize, &&str)| Server {
        name: Name::new(name),
        zone: Zone(Name::new(name)),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, u16::try_from(number).unwrap())),
        slots: 2,
        connections: 16,
        leaving: false,
    };
    let service = Service {
        name: SERVICE.into(),
        servers: SERVERS.iter().enumerate().map(server).collect(),
    };
    let account = Account {
        name: "shop".into(),
        rate: 100.0,
        burst: 100.0,
        keys: Vec::new(),
    };
    let route = Route {
        name: "orders".into(),
        service: SERVICE.into(),
        class: Class::Write,
        repeat: Repeat::Once,
        access: Access::Accounts(vec!["shop".into()]),
    };
    Configuration {
        services: [(SERVICE.into(), service)].into(),
        accounts: [("shop".into(), account)].into(),
        routes: [("orders".into(), route)].into(),
        ..Configuration::default()
    }
}

/// An engine of a host in the zone of server `b`, with its group, control plane and one caller.
pub struct Fixture {
    pub cluster: Cluster,
    pub control_plane: StubControlPlane,
    pub engine: TestEngine,
    pub caller: u64,
}

/// Starts an engine on a new group and waits until it knows the state of the group.
pub async fn fixture() -> Fixture {
    fixture_on(Cluster::new(&SERVERS), 0).await
}

/// Starts an engine on a group, with this promotion rank.
pub async fn fixture_on(cluster: Cluster, promotion_rank: usize) -> Fixture {
    let control_plane = control_plane(promotion_rank);
    let zone = Zone("b".into());
    let connector = StubConnector::new(cluster.clone());
    let engine = Engine::start(Settings::default(), zone, connector, control_plane.clone());
    sleep(Duration::from_millis(400)).await;
    let caller = engine.open_caller();
    Fixture {
        cluster,
        control_plane,
        engine,
        caller,
    }
}

impl Fixture {
    /// Submits a statement outside an explicit transaction.
    pub async fn statement(&self, class: Class, body: Body) -> Outcome<Vec<u64>> {
        self.engine.submit(self.request(class, body)).await
    }

    /// Submits a write that must be acknowledged, and returns its position.
    pub async fn put(&self, value: u64) -> Position {
        answer(self.statement(Class::Write, Body::Put(value)).await).position
    }

    /// Submits a read that requires a position and must succeed; returns the values that it
    /// read.
    pub async fn get(&self, class: Class, required: Position) -> Vec<u64> {
        let mut request = self.request(class, Body::Get);
        request.required = required;
        answer(self.engine.submit(request).await).body
    }

    /// Submits a part of an explicit transaction that writes.
    pub async fn part(&self, part: Part, body: Body) -> Outcome<Vec<u64>> {
        let mut request = self.request(Class::Write, body);
        request.part = part;
        self.engine.submit(request).await
    }

    /// Creates a request of the fixture's caller.
    pub fn request(&self, class: Class, body: Body) -> Request<Body> {
        Request {
            caller: self.caller,
            account: "shop".into(),
            route: "orders".into(),
            service: SERVICE.into(),
            class,
            repeat: Repeat::Once,
            part: Part::Statement,
            id: Id::random(),
            required: Position::default(),
            deadline: Instant::now() + Duration::from_secs(5),
            body,
        }
    }

    /// Returns the server that ran the last request in the journal.
    pub fn last_server(&self) -> Name {
        let journal = self.engine.dump().journal;
        journal
            .last()
            .and_then(|entry| entry.server.clone())
            .unwrap()
    }
}

/// Returns the response of an outcome that must have one.
pub fn answer(outcome: Outcome<Vec<u64>>) -> Answer<Vec<u64>> {
    match outcome {
        Outcome::Answered(answer) => answer,
        other => panic!("expected a response, got {other:?}"),
    }
}

/// Reports whether an outcome is a refusal.
pub fn is_refused(outcome: &Outcome<Vec<u64>>) -> bool {
    matches!(outcome, Outcome::Refused(_))
}
