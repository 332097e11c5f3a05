//! A TCP connection to one peer that is reopened when it breaks or the peer does not respond.

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

/// RPC messages of the client side over one stream.
type Channel<Q, A> = Transport<TcpStream, Response<A>, ClientMessage<Q>, Codec>;

/// Bounds of the delay between attempts to connect.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(20);
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(500);

/// A generated RPC client that a connection carries.
pub(crate) trait RpcClient: Debug + Clone + Send + Sync + 'static {
    /// Creates the client on a stream. The future sends and receives until the stream breaks.
    fn open(stream: TcpStream) -> (Self, impl Future<Output = ()> + Send);
}

impl RpcClient for ControlClient {
    fn open(stream: TcpStream) -> (Self, impl Future<Output = ()> + Send) {
        let channel: Channel<ControlRequest, ControlResponse> = channel(stream);
        let NewClient { client, dispatch } = Self::new(client::Config::default(), channel);
        (client, async { drop(dispatch.await) })
    }
}

impl RpcClient for ForwardClient {
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

/// State of the connection as its users see it.
#[derive(Debug, Clone)]
enum State<C> {
    Connecting,
    Connected(Stub<C>),
    /// The last attempt to connect failed for this cause.
    Failed(Arc<str>),
}

/// RPC client of one established connection.
#[derive(Debug, Clone)]
pub(crate) struct Stub<C> {
    pub(crate) client: C,
    /// Number of the attempt that opened the connection; a later connection has a greater one.
    number: u64,
}

/// Handle of a connection that reconnects. Its task ends when the last handle is dropped.
#[derive(Debug, Clone)]
pub(crate) struct Connection<C> {
    state: watch::Receiver<State<C>>,
    /// Wakes the task to connect if it is not connected.
    connect: Arc<Notify>,
    /// Greatest number of a connection that was reported as unresponsive.
    unresponsive: watch::Sender<u64>,
}

/// Where and how to connect.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Target {
    pub(crate) address: SocketAddr,
    /// Local address; any if it is `None`.
    pub(crate) source: Option<IpAddr>,
    /// Timeout of one attempt to connect.
    pub(crate) timeout: Duration,
}

impl<C: RpcClient> Connection<C> {
    pub(crate) fn new(target: Target) -> Self {
        let (state_sender, state) = watch::channel(State::Connecting);
        let (unresponsive, unresponsive_receiver) = watch::channel(0);
        let connect = Arc::new(Notify::new());
        let driver = Driver {
            target,
            state: state_sender,
            unresponsive: unresponsive_receiver,
            connect: connect.clone(),
        };
        tokio::spawn(driver.run());
        Self {
            state,
            connect,
            unresponsive,
        }
    }

    /// Waits for an established connection. Fails at once if the last attempt failed and the
    /// next one has not started.
    pub(crate) async fn stub(&self) -> Result<Stub<C>, String> {
        self.connect.notify_one();
        let mut state = self.state.clone();
        let decided = state.wait_for(|state| self.is_decided(state)).await;
        match decided.as_deref() {
            Ok(State::Connected(stub)) => Ok(stub.clone()),
            Ok(State::Failed(cause)) => Err(cause.to_string()),
            Ok(State::Connecting) | Err(_) => Err("the connection is closed".to_owned()),
        }
    }

    /// Returns the stub of the established connection, if there is one.
    pub(crate) fn connected_stub(&self) -> Option<Stub<C>> {
        match &*self.state.borrow() {
            State::Connected(stub) if stub.number > *self.unresponsive.borrow() => {
                Some(stub.clone())
            }
            _ => None,
        }
    }

    /// Reports whether the attempt to connect has succeeded or failed. A connection that was
    /// reported as unresponsive remains in the state until its task has closed it.
    fn is_decided(&self, state: &State<C>) -> bool {
        match state {
            State::Connecting => false,
            State::Connected(stub) => stub.number > *self.unresponsive.borrow(),
            State::Failed(_) => true,
        }
    }

    /// Reports that the peer did not respond in time, so that its connection is replaced.
    pub(crate) fn report_unresponsive(&self, stub: &Stub<C>) {
        self.unresponsive.send_if_modified(|number| {
            std::mem::replace(number, stub.number.max(*number)) < stub.number
        });
    }
}

/// Returns between half and all of `delay`, so that hosts do not reconnect at the same time.
fn add_jitter(delay: Duration) -> Duration {
    delay.mul_f64(rand::rng().random_range(0.5..1.0))
}

/// The task that opens and drives the connection.
struct Driver<C> {
    target: Target,
    state: watch::Sender<State<C>>,
    unresponsive: watch::Receiver<u64>,
    connect: Arc<Notify>,
}

impl<C: RpcClient> Driver<C> {
    async fn run(mut self) {
        let state = self.state.clone();
        tokio::select! {
            () = state.closed() => {}
            () = self.reconnect() => {}
        }
    }

    async fn reconnect(&mut self) {
        let mut delay = MIN_RECONNECT_DELAY;
        for number in 1.. {
            self.connect.notified().await;
            match self.open().await {
                Ok(stream) => {
                    self.drive(stream, number).await;
                    delay = MIN_RECONNECT_DELAY;
                }
                Err(cause) => {
                    self.state
                        .send_replace(State::Failed(cause.to_string().into()));
                    sleep(add_jitter(delay)).await;
                    delay = MAX_RECONNECT_DELAY.min(delay * 2);
                }
            }
            self.state.send_replace(State::Connecting);
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

    /// Drives an established connection until it breaks or is reported as unresponsive.
    async fn drive(&mut self, stream: TcpStream, number: u64) {
        let (client, transport) = C::open(stream);
        self.state
            .send_replace(State::Connected(Stub { client, number }));
        tokio::select! {
            () = transport => {}
            _ = self.unresponsive.wait_for(|reported| *reported >= number) => {}
        }
    }
}
