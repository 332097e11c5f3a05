//! Relaying of the connections of one mapping.

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

/// Greatest number of chunks that wait for their delay in one direction of a connection.
const MAX_QUEUED_CHUNKS: usize = 256;
/// Size of the buffer for a chunk, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;

/// A listening address and the target of its connections.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Mapping {
    /// Name by which rules refer to the mapping.
    pub name: String,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address to which connections are relayed.
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
    /// Waits while the rules drop the traffic, and fails if they reset it.
    async fn wait_to_pass(&mut self) -> io::Result<()> {
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

    /// Waits until the rules reset the traffic, and fails then.
    async fn wait_for_reset(mut self) -> io::Result<()> {
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
            // After an error both connections are reset, so that both ends notice it.
            let _ = relay(stream, mapping.target, flow).await;
        });
    }
}

async fn relay(client: TcpStream, target_address: SocketAddr, mut flow: Flow) -> io::Result<()> {
    // With a linger time of zero, dropping the socket sends a reset instead of an orderly close.
    client.set_zero_linger()?;
    client.set_nodelay(true)?;
    flow.wait_to_pass().await?;
    // If the client gave up while the rules dropped its traffic, the connection must not reach
    // the target later.
    let readiness = client
        .ready(Interest::READABLE | Interest::WRITABLE)
        .await?;
    if readiness.is_read_closed() {
        return Ok(());
    }
    crate::timer::sleep(flow.delay).await;
    let target = TcpStream::connect(target_address).await?;
    target.set_zero_linger()?;
    target.set_nodelay(true)?;
    let backward = Flow {
        direction: Direction::Backward,
        ..flow.clone()
    };
    let (client_read, client_write) = client.into_split();
    let (target_read, target_write) = target.into_split();
    let resets = (
        flow.clone().wait_for_reset(),
        backward.clone().wait_for_reset(),
    );
    let copies = async {
        tokio::try_join!(
            copy(client_read, target_write, flow),
            copy(target_read, client_write, backward)
        )
    };
    tokio::select! {
        result = copies => result.map(|_| ()),
        result = resets.0 => result,
        result = resets.1 => result,
    }
}

/// Copies one direction: chunks are read immediately and written after the delay.
async fn copy(read: OwnedReadHalf, write: OwnedWriteHalf, flow: Flow) -> io::Result<()> {
    let (send, receive) = mpsc::channel(MAX_QUEUED_CHUNKS);
    let delay = flow.delay;
    tokio::try_join!(
        read_chunks(read, send, delay),
        write_chunks(receive, write, flow)
    )?;
    Ok(())
}

/// Bytes, and the time at which they are due at the other side.
type Chunk = (Instant, BytesMut);

async fn read_chunks(
    mut read: OwnedReadHalf,
    send: mpsc::Sender<Chunk>,
    delay: Duration,
) -> io::Result<()> {
    loop {
        let mut chunk = BytesMut::with_capacity(CHUNK_BYTES);
        let is_end = read.read_buf(&mut chunk).await? == 0;
        let due = Instant::now() + delay;
        if is_end || send.send((due, chunk)).await.is_err() {
            return Ok(());
        }
    }
}

async fn write_chunks(
    mut receive: mpsc::Receiver<Chunk>,
    mut write: OwnedWriteHalf,
    mut flow: Flow,
) -> io::Result<()> {
    while let Some((due, mut chunk)) = receive.recv().await {
        crate::timer::sleep_until(due).await;
        flow.wait_to_pass().await?;
        write.write_all_buf(&mut chunk).await?;
    }
    crate::timer::sleep(flow.delay).await;
    flow.wait_to_pass().await?;
    write.shutdown().await
}
