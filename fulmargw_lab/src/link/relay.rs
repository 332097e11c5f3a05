//! Relaying of one mapping.

use super::rule::{Action, Direction, Table};
use bytes::BytesMut;
use std::{
    io,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _, Interest},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{mpsc, watch},
    time::Instant,
};

/// Chunks that are under way in one direction of a connection.
const QUEUE: usize = 256;
/// Greatest size of a chunk, in bytes.
const CHUNK: usize = 16 * 1024;

/// A listening address and where its connections lead.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Mapping {
    /// Name for rules.
    pub name: String,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address to connect to.
    pub target: SocketAddr,
}

/// One direction of one connection.
#[derive(Debug, Clone)]
struct Flow {
    mapping: Arc<str>,
    source: IpAddr,
    direction: Direction,
    delay: Duration,
    rules: watch::Receiver<Table>,
}

impl Flow {
    /// Waits while a rule drops the traffic, and fails when one resets it.
    async fn pass(&mut self) -> io::Result<()> {
        loop {
            let action =
                self.rules
                    .borrow_and_update()
                    .action(&self.mapping, self.source, self.direction);
            match action {
                Action::Pass => return Ok(()),
                Action::Reset => return Err(io::ErrorKind::ConnectionReset.into()),
                Action::Drop => self.rules.changed().await.map_err(io::Error::other)?,
            }
        }
    }

    /// Fails as soon as a rule resets the traffic.
    async fn reset(mut self) -> io::Result<()> {
        loop {
            let table = self.rules.borrow_and_update().clone();
            if table.action(&self.mapping, self.source, self.direction) == Action::Reset {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            self.rules.changed().await.map_err(io::Error::other)?;
        }
    }
}

/// Relays the connections of one mapping.
pub async fn serve(
    mapping: Mapping,
    listener: TcpListener,
    delay: Duration,
    rules: watch::Receiver<Table>,
) {
    let name: Arc<str> = mapping.name.into();
    while let Ok((stream, source)) = listener.accept().await {
        let flow = Flow {
            mapping: Arc::clone(&name),
            source: source.ip(),
            direction: Direction::Forward,
            delay,
            rules: rules.clone(),
        };
        tokio::spawn(async move {
            // Both sides see the end of the connection.
            let _ = relay(stream, mapping.target, flow).await;
        });
    }
}

async fn relay(near: TcpStream, target: SocketAddr, mut flow: Flow) -> io::Result<()> {
    // Without a linger time, closing sends a reset in place of an orderly end.
    near.set_zero_linger()?;
    near.set_nodelay(true)?;
    flow.pass().await?;
    // A side that gave up during a cut never got through, so nothing may arrive later.
    let state = near.ready(Interest::READABLE | Interest::WRITABLE).await?;
    if state.is_read_closed() {
        return Ok(());
    }
    crate::timer::sleep(flow.delay).await;
    let far = TcpStream::connect(target).await?;
    far.set_zero_linger()?;
    far.set_nodelay(true)?;
    let back = Flow {
        direction: Direction::Backward,
        ..flow.clone()
    };
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let resets = (flow.clone().reset(), back.clone().reset());
    let pumps = async {
        tokio::try_join!(
            pump(near_read, far_write, flow),
            pump(far_read, near_write, back)
        )
    };
    tokio::select! {
        result = pumps => result.map(|_| ()),
        result = resets.0 => result,
        result = resets.1 => result,
    }
}

/// Carries one direction: chunks are read at once and written after the delay.
async fn pump(read: OwnedReadHalf, write: OwnedWriteHalf, flow: Flow) -> io::Result<()> {
    let (send, receive) = mpsc::channel(QUEUE);
    let delay = flow.delay;
    tokio::try_join!(collect(read, send, delay), deliver(receive, write, flow))?;
    Ok(())
}

type Chunk = (Instant, BytesMut);

async fn collect(
    mut read: OwnedReadHalf,
    send: mpsc::Sender<Chunk>,
    delay: Duration,
) -> io::Result<()> {
    loop {
        let mut chunk = BytesMut::with_capacity(CHUNK);
        let end = read.read_buf(&mut chunk).await? == 0;
        let due = Instant::now() + delay;
        if end || send.send((due, chunk)).await.is_err() {
            return Ok(());
        }
    }
}

async fn deliver(
    mut receive: mpsc::Receiver<Chunk>,
    mut write: OwnedWriteHalf,
    mut flow: Flow,
) -> io::Result<()> {
    while let Some((due, mut chunk)) = receive.recv().await {
        crate::timer::sleep_until(due).await;
        flow.pass().await?;
        write.write_all_buf(&mut chunk).await?;
    }
    crate::timer::sleep(flow.delay).await;
    flow.pass().await?;
    write.shutdown().await
}
