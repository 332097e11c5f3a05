//! A connection to one peer that is reopened when it breaks or goes silent.

use crate::{
    codec::{self, Codec},
    forward::{ForwardClient, ForwardRequest, ForwardResponse},
    service::{ControlClient, ControlRequest, ControlResponse},
};
use rand::Rng;
use serde::{Serialize, de::DeserializeOwned};
use std::{
    fmt::Debug,
    io,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use tarpc::{
    ClientMessage, Response,
    client::{self, NewClient},
    serde_transport::Transport,
};
use tokio::{
    net::{TcpSocket, TcpStream},
    sync::{Notify, watch},
    time::{sleep, timeout},
};
use tokio_serde::{Deserializer, Serializer};
use tokio_util::codec::Framed;

/// Messages of remote procedures over one stream.
type Channel<Q, A> = Transport<TcpStream, Response<A>, ClientMessage<Q>, Codec>;

/// First and longest pause between attempts to connect.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

/// Remote procedures that a link carries.
pub(crate) trait Stub: Debug + Clone + Send + Sync + 'static {
    /// Opens them on a stream; the future drives the stream until it breaks.
    fn open(stream: TcpStream) -> (Self, impl Future<Output = ()> + Send);
}

impl Stub for ControlClient {
    fn open(stream: TcpStream) -> (Self, impl Future<Output = ()> + Send) {
        let channel: Channel<ControlRequest, ControlResponse> = channel(stream);
        let NewClient { client, dispatch } = Self::new(client::Config::default(), channel);
        (client, async { drop(dispatch.await) })
    }
}

impl Stub for ForwardClient {
    fn open(stream: TcpStream) -> (Self, impl Future<Output = ()> + Send) {
        let channel: Channel<ForwardRequest, ForwardResponse> = channel(stream);
        let NewClient { client, dispatch } = Self::new(client::Config::default(), channel);
        (client, async { drop(dispatch.await) })
    }
}

fn channel<Q, A>(stream: TcpStream) -> Channel<Q, A>
where
    Q: Serialize,
    A: DeserializeOwned,
    Codec: Deserializer<Response<A>, Error = io::Error>
        + Serializer<ClientMessage<Q>, Error = io::Error>,
{
    tarpc::serde_transport::new(Framed::new(stream, codec::framing()), Codec)
}

/// What callers see of the connection.
#[derive(Debug, Clone)]
enum State<S> {
    Connecting,
    Up(Opened<S>),
    Down(Arc<str>),
}

/// An open connection; the number tells it from earlier ones.
#[derive(Debug, Clone)]
pub(crate) struct Opened<S> {
    pub(crate) client: S,
    number: u64,
}

/// Handle of a connection. Its task ends with the last handle.
#[derive(Debug, Clone)]
pub(crate) struct Link<S> {
    state: watch::Receiver<State<S>>,
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

impl<S: Stub> Link<S> {
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
    pub(crate) async fn stub(&self) -> Result<Opened<S>, String> {
        self.demand.notify_one();
        let mut state = self.state.clone();
        let settled = state.wait_for(|state| self.is_settled(state)).await;
        match settled.as_deref() {
            Ok(State::Up(stub)) => Ok(stub.clone()),
            Ok(State::Down(cause)) => Err(cause.to_string()),
            Ok(State::Connecting) | Err(_) => Err("the connection is closed".to_owned()),
        }
    }

    /// Returns the open connection, if there is one.
    pub(crate) fn opened(&self) -> Option<Opened<S>> {
        match &*self.state.borrow() {
            State::Up(stub) if stub.number > *self.suspect.borrow() => Some(stub.clone()),
            _ => None,
        }
    }

    /// A suspected connection stays published until its task has dropped it.
    fn is_settled(&self, state: &State<S>) -> bool {
        match state {
            State::Connecting => false,
            State::Up(stub) => stub.number > *self.suspect.borrow(),
            State::Down(_) => true,
        }
    }

    /// Reports that a connection did not answer in time, so that it is replaced.
    pub(crate) fn suspect(&self, stub: &Opened<S>) {
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
struct Keeper<S> {
    target: Target,
    publish: watch::Sender<State<S>>,
    suspected: watch::Receiver<u64>,
    demand: Arc<Notify>,
}

impl<S: Stub> Keeper<S> {
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
        let (client, driven) = S::open(stream);
        self.publish
            .send_replace(State::Up(Opened { client, number }));
        tokio::select! {
            () = driven => {}
            _ = self.suspected.wait_for(|suspect| *suspect >= number) => {}
        }
    }
}
