//! Start of a serving process.

use crate::{
    operator::router::router,
    recorder::Recorder,
    serve::{
        bounds::Bounds,
        components::{Components, Engine},
        control::{Agent, ControlPlane},
        error::Error,
        listener::{self, Listeners},
        responder::Responder,
        task::Tasks,
    },
    settings::Settings,
    version::BUILD,
};
use ::log::info;
use fulmargw_backend::postgres::Connector;
use fulmargw_budget::http::Listener;
use fulmargw_frontend::listener as frontend;
use fulmargw_model::availability_zone::Zone;
use fulmargw_peer::{client::Connections, codec, document, server};
use fulmargw_platform::client::Client;
use std::future::IntoFuture as _;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// A running process: its components and the tasks that serve its listeners.
#[derive(Debug)]
pub struct Process {
    /// Components that serve requests and the operator interface.
    pub components: Components,
    /// Tasks that serve the listeners.
    pub tasks: Tasks,
    /// Cancelled to stop accepting callers and drain their sessions.
    pub stop_callers: CancellationToken,
    /// Cancelled to close the interfaces for operators and peers.
    pub stop_interfaces: CancellationToken,
}

impl Process {
    /// Binds all addresses and starts all components. The host joins the fleet in the background,
    /// so that a process can start while the platform is down.
    ///
    /// # Errors
    ///
    /// Returns an error with the address that cannot be bound or the client that cannot be created.
    pub async fn start(settings: &Settings, metrics: Recorder) -> Result<Self, Error> {
        let listeners = Listeners::bind(settings).await?;
        let agent = start_agent(settings)?;
        let engine = start_engine(settings, &agent);
        let mut process = Self {
            components: Components::new(settings.host.clone(), agent, engine, metrics),
            tasks: Tasks::default(),
            stop_callers: CancellationToken::new(),
            stop_interfaces: CancellationToken::new(),
        };
        let bounds = Bounds::new(&settings.host);
        process.serve_peers(&bounds, listeners.peer, listeners.document);
        process.serve_operators(&bounds, settings, listeners.operator);
        process.serve_callers(&bounds, settings, listeners.caller);
        info!(version = BUILD.version, commit = BUILD.commit; "host {} started", settings.host.name);
        Ok(process)
    }

    fn serve_peers(&mut self, bounds: &Bounds, peer: TcpListener, document: TcpListener) {
        let responder = Responder::new(
            self.components.agent.clone(),
            self.components.engine.clone(),
        );
        let stop = self.stop_interfaces.clone();
        let peer = codec::bounded(peer, bounds.peers(), bounds.frames());
        let peers = server::serve(peer, responder.clone(), stop.clone());
        self.tasks.serve_interface(listener::PEER, peers);
        let document = Listener::new(document, bounds.documents());
        let documents = document::serve(document, responder, stop);
        self.tasks.serve_interface(listener::DOCUMENT, documents);
    }

    fn serve_operators(&mut self, bounds: &Bounds, settings: &Settings, operator: TcpListener) {
        let router = router(self.components.clone(), settings.operator.credential_digest);
        let stop = self.stop_interfaces.clone();
        let operator = Listener::new(operator, bounds.operators());
        let operators =
            axum::serve(operator, router).with_graceful_shutdown(stop.cancelled_owned());
        self.tasks
            .serve_interface(listener::OPERATOR, operators.into_future());
    }

    fn serve_callers(&mut self, bounds: &Bounds, settings: &Settings, caller: TcpListener) {
        let mut limits = (&settings.frontend.limits).into();
        bounds.apply(&mut limits);
        let engine = self.components.engine.clone();
        let callers = frontend::serve(caller, engine, limits, self.stop_callers.clone());
        self.tasks.serve_callers(listener::CALLER, callers);
    }
}

fn start_agent(settings: &Settings) -> Result<Agent, Error> {
    let source = settings.host.source_ip;
    let store = Client::new(&settings.platform.client(source))
        .map_err(|cause| client_error("platform", &cause.to_string()))?;
    let peers = Connections::new(&settings.peer.client(source))
        .map_err(|cause| client_error("other hosts", &cause.to_string()))?;
    let host = settings.host.identity();
    Ok(Agent::start(settings.control.clone(), host, store, peers))
}

fn client_error(server: &'static str, cause: &str) -> Error {
    Error::Client {
        server,
        cause: cause.to_owned(),
    }
}

fn start_engine(settings: &Settings, agent: &Agent) -> Engine {
    let connect_timeout = settings.engine.connect_timeout();
    let connector = settings
        .backend
        .connector(settings.host.source_ip, connect_timeout);
    Engine::start(
        settings.engine.clone(),
        Zone(settings.host.zone.clone()),
        Connector::new(connector),
        ControlPlane::new(agent.clone()),
    )
}
