//! A connection to one peer that is reopened when it breaks or goes silent.

use crate::{
    codec::{self, Codec},
    service::ControlClient,
};
use rand::Rng;
use std::{
    io,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use tarpc::client;
use tokio::{
    net::{TcpSocket, TcpStream},
    sync::{Notify, watch},
    time::{sleep, timeout},
};
use tokio_util::codec::Framed;

/// First and longest pause between attempts to connect.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

/// What callers see of the connection.
#[derive(Debug, Clone)]
enum State {
    Connecting,
    Up(Stub),
    Down(Arc<str>),
}

/// An open connection; the number tells it from earlier ones.
#[derive(Debug, Clone)]
pub(crate) struct Stub {
    pub(crate) client: ControlClient,
    number: u64,
}

/// Handle of a connection. Its task ends with the last handle.
#[derive(Debug, Clone)]
pub(crate) struct Link {
    state: watch::Receiver<State>,
    demand: Arc<Notify>,
    suspect: watch::Sender<u64>,
}

/// Where and how to connect.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Target {
    pub(crate) address: SocketAddr,
    pub(crate) source: Option<IpAddr>,
    pub(crate) timeout: Duration,
}

impl Link {
    pub(crate) fn new(target: Target) -> Self {
        let (publish, state) = watch::channel(State::Connecting);
        let (suspect, suspected) = watch::channel(0);
        let demand = Arc::new(Notify::new());
        let keeper = Keeper {
            target,
            publish,
            suspected,
            demand: demand.clone(),
        };
        tokio::spawn(keeper.run());
        Self {
            state,
            demand,
            suspect,
        }
    }

    /// Waits for an open connection; fails at once while the last attempt has failed.
    pub(crate) async fn stub(&self) -> Result<Stub, String> {
        self.demand.notify_one();
        let mut state = self.state.clone();
        let settled = state.wait_for(|state| self.is_settled(state)).await;
        match settled.as_deref() {
            Ok(State::Up(stub)) => Ok(stub.clone()),
            Ok(State::Down(cause)) => Err(cause.to_string()),
            Ok(State::Connecting) | Err(_) => Err("the connection is closed".to_owned()),
        }
    }

    /// A suspected connection stays published until its task has dropped it.
    fn is_settled(&self, state: &State) -> bool {
        match state {
            State::Connecting => false,
            State::Up(stub) => stub.number > *self.suspect.borrow(),
            State::Down(_) => true,
        }
    }

    /// Reports that a connection did not answer in time, so that it is replaced.
    pub(crate) fn suspect(&self, stub: &Stub) {
        self.suspect.send_if_modified(|number| {
            std::mem::replace(number, stub.number.max(*number)) < stub.number
        });
    }
}

/// Returns between half and all of a pause, so that hosts do not reconnect in step.
fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.0))
}

/// The task that owns the connection.
struct Keeper {
    target: Target,
    publish: watch::Sender<State>,
    suspected: watch::Receiver<u64>,
    demand: Arc<Notify>,
}

impl Keeper {
    async fn run(mut self) {
        let publish = self.publish.clone();
        tokio::select! {
            () = publish.closed() => {}
            () = self.keep() => {}
        }
    }

    async fn keep(&mut self) {
        let mut pause = FIRST_PAUSE;
        for number in 1.. {
            self.demand.notified().await;
            match self.open().await {
                Ok(stream) => {
                    self.drive(stream, number).await;
                    pause = FIRST_PAUSE;
                }
                Err(cause) => {
                    self.publish
                        .send_replace(State::Down(cause.to_string().into()));
                    sleep(jittered(pause)).await;
                    pause = LONGEST_PAUSE.min(pause * 2);
                }
            }
            self.publish.send_replace(State::Connecting);
        }
    }

    async fn open(&self) -> io::Result<TcpStream> {
        let target = self.target;
        let socket = match target.address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        if let Some(source) = target.source {
            socket.bind(SocketAddr::new(source, 0))?;
        }
        let stream = timeout(target.timeout, socket.connect(target.address)).await??;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    /// Publishes the connection and drives it until it breaks or is suspected.
    async fn drive(&mut self, stream: TcpStream, number: u64) {
        let transport = tarpc::serde_transport::new(Framed::new(stream, codec::framing()), Codec);
        let opened = ControlClient::new(client::Config::default(), transport);
        let client = opened.client;
        self.publish
            .send_replace(State::Up(Stub { client, number }));
        tokio::select! {
            _ = opened.dispatch => {}
            _ = self.suspected.wait_for(|suspect| *suspect >= number) => {}
        }
    }
}
