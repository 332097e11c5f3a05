//! The parts of a serving process and their start.

use crate::{
    operator::router::router,
    recorder::Recorder,
    serve::{
        answer::Answer,
        control::{Agent, ControlPlane},
        error::Error,
        listener::{self, Listeners},
        parts::{Engine, Parts},
        task::Tasks,
    },
    settings::Settings,
};
use ::log::info;
use fulmargw_backend::postgres::Connector;
use fulmargw_frontend::listener as frontend;
use fulmargw_model::availability_zone::Zone;
use fulmargw_peer::{client::Connections, document, server};
use fulmargw_platform::client::Client;
use std::future::IntoFuture as _;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// A started process.
#[derive(Debug)]
pub struct Process {
    /// Parts that the operator interface shows.
    pub parts: Parts,
    /// Tasks that serve the listeners.
    pub tasks: Tasks,
    /// Ends accepting of callers and drains their sessions.
    pub stop_callers: CancellationToken,
    /// Ends the interfaces for operators and other hosts.
    pub stop_interfaces: CancellationToken,
}

impl Process {
    /// Binds all addresses and starts all parts. The host joins the fleet in the background,
    /// so a process also starts while the platform is down.
    ///
    /// # Errors
    ///
    /// The step that failed, with its address or peer.
    pub async fn start(settings: &Settings, metrics: Recorder) -> Result<Self, Error> {
        let listeners = Listeners::bind(settings).await?;
        let agent = start_agent(settings)?;
        let engine = start_engine(settings, &agent);
        let mut process = Self {
            parts: Parts::new(settings.host.clone(), agent, engine, metrics),
            tasks: Tasks::default(),
            stop_callers: CancellationToken::new(),
            stop_interfaces: CancellationToken::new(),
        };
        process.serve_peers(listeners.peer, listeners.document);
        process.serve_operators(settings, listeners.operator);
        process.serve_callers(settings, listeners.caller);
        info!("host {} started", settings.host.name);
        Ok(process)
    }

    fn serve_peers(&mut self, peer: TcpListener, document: TcpListener) {
        let answer = Answer::new(self.parts.agent.clone(), self.parts.engine.clone());
        let stop = self.stop_interfaces.clone();
        let peers = server::serve(peer, answer.clone(), stop.clone());
        self.tasks.serve_interface(listener::PEER, peers);
        let documents = document::serve(document, answer, stop);
        self.tasks.serve_interface(listener::DOCUMENT, documents);
    }

    fn serve_operators(&mut self, settings: &Settings, operator: TcpListener) {
        let router = router(self.parts.clone(), settings.operator.credential_digest);
        let stop = self.stop_interfaces.clone();
        let operators =
            axum::serve(operator, router).with_graceful_shutdown(stop.cancelled_owned());
        self.tasks
            .serve_interface(listener::OPERATOR, operators.into_future());
    }

    fn serve_callers(&mut self, settings: &Settings, caller: TcpListener) {
        let limits = (&settings.frontend.limits).into();
        let engine = self.parts.engine.clone();
        let callers = frontend::serve(caller, engine, limits, self.stop_callers.clone());
        self.tasks.serve_callers(listener::CALLER, callers);
    }
}

fn start_agent(settings: &Settings) -> Result<Agent, Error> {
    let source = settings.host.source_ip;
    let store = Client::new(&settings.platform.client(source))
        .map_err(|cause| client("platform", &cause.to_string()))?;
    let peers = Connections::new(&settings.peer.client(source))
        .map_err(|cause| client("other hosts", &cause.to_string()))?;
    let host = settings.host.identity();
    Ok(Agent::start(settings.control.clone(), host, store, peers))
}

fn client(peer: &'static str, cause: &str) -> Error {
    Error::Client {
        peer,
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
