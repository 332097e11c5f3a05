//! Replication between the servers of a group over TCP.

use super::{
    process::{Peer, Server},
    state::{Acknowledgement, Append, Promise},
};
use bytes::{Bytes, BytesMut};
use fulmargw_model::position::Term;
use futures::{SinkExt as _, StreamExt as _};
use serde::{Deserialize, Serialize};
use std::{io, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    time::{self, Instant},
};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Interval between heartbeats of the primary.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
/// Delay before a failed connection or request is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Timeout of opening a connection and of a request for a promised term.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of sending and of acknowledgements, after which a connection is replaced.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Greatest number of entries in one message.
const MAX_BATCH: u64 = 500;

type Stream = Framed<TcpStream, LengthDelimitedCodec>;

#[derive(Debug, Serialize, Deserialize)]
enum Frame {
    /// From the primary to a replica.
    Append(Append),
    /// Response to `Append`.
    Acknowledge(Acknowledgement),
    /// Asks for the promised term; sent by a recovering server.
    Ask,
    /// Response to `Ask`.
    Promise(Promise),
}

fn encode(frame: &Frame) -> io::Result<Bytes> {
    let bytes = rmp_serde::to_vec(frame).map_err(io::Error::other)?;
    Ok(bytes.into())
}

fn decode(bytes: &BytesMut) -> io::Result<Frame> {
    rmp_serde::from_slice(bytes).map_err(io::Error::other)
}

/// Connects from the server's own IP address, because the rules of the link relay match the
/// source address.
async fn connect(server: &Server, address: SocketAddr) -> io::Result<Stream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(server.settings.listen.ip(), 0))?;
    let connecting = time::timeout(CONNECT_TIMEOUT, socket.connect(address));
    let stream = connecting.await.map_err(io::Error::other)??;
    stream.set_nodelay(true)?;
    Ok(Framed::new(stream, LengthDelimitedCodec::new()))
}

/// Accepts connections from primaries and from recovering servers.
pub async fn serve(server: Arc<Server>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let server = Arc::clone(&server);
        tokio::spawn(async move {
            // After an error the other server opens a new connection.
            let _ = serve_connection(&server, stream).await;
        });
    }
}

async fn serve_connection(server: &Server, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut stream = Framed::new(stream, LengthDelimitedCodec::new());
    while let Some(bytes) = stream.next().await {
        let response = match decode(&bytes?)? {
            Frame::Append(append) => {
                let acknowledgement = server.state.lock().append(append, Instant::now());
                server.notify_changed();
                Frame::Acknowledge(acknowledgement)
            }
            Frame::Ask => Frame::Promise(server.state.lock().promise()),
            Frame::Acknowledge(_) | Frame::Promise(_) => return Ok(()),
        };
        stream.send(encode(&response)?).await?;
    }
    Ok(())
}

/// Applies received entries after the injected delay.
pub async fn apply_entries(server: Arc<Server>) {
    let mut changes = server.subscribe();
    loop {
        let delay = server.fault.lock().apply_delay();
        let next_due = apply_due(&server, delay);
        let due = next_due.unwrap_or_else(|| Instant::now() + Duration::from_hours(1));
        tokio::select! {
            () = crate::timer::sleep_until(due) => {}
            _ = changes.changed() => {}
        }
    }
}

/// Applies the entries that are due and returns when the next one is due.
fn apply_due(server: &Server, delay: Duration) -> Option<Instant> {
    let now = Instant::now();
    let mut state = server.state.lock();
    let before = state.table().applied().index;
    let mut index = before;
    let mut next_due = None;
    while let Some((_, arrival)) = state.log().get(index + 1) {
        if *arrival + delay > now {
            next_due = Some(*arrival + delay);
            break;
        }
        index += 1;
    }
    state.apply_up_to(index, now);
    drop(state);
    if index > before {
        server.notify_changed();
    }
    next_due
}

/// Replicates to one other server whenever this server is the primary.
pub async fn replicate_to(server: Arc<Server>, peer: Peer) {
    let mut changes = server.subscribe();
    loop {
        let primary_term = server.state.lock().primary_term();
        if let Some(term) = primary_term {
            // A broken connection is replaced as long as this server is the primary.
            let _ = replicate(&server, &peer, term).await;
            time::sleep(RETRY_DELAY).await;
        } else if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Progress of the replication to one replica on one connection.
#[derive(Debug)]
struct Progress {
    term: Term,
    /// Index of the next entry to send.
    next_index: u64,
    /// Number of the next message.
    sequence: u64,
    /// Rejections of messages before this number are ignored, because `next_index` was already
    /// moved back for an earlier rejection.
    valid_from: u64,
    last_response: Instant,
}

async fn replicate(server: &Server, peer: &Peer, term: Term) -> io::Result<()> {
    let mut stream = connect(server, peer.address).await?;
    let mut changes = server.subscribe();
    let mut heartbeat = time::interval(HEARTBEAT_INTERVAL);
    let mut progress = Progress {
        term,
        next_index: server.state.lock().log().last().index + 1,
        sequence: 0,
        valid_from: 0,
        last_response: Instant::now(),
    };
    let mut due = None;
    while server.state.lock().primary_term() == Some(term) {
        tokio::select! {
            frame = stream.next() => match frame {
                Some(bytes) => handle_response(server, peer, &mut progress, &decode(&bytes?)?),
                None => return Ok(()),
            },
            _ = heartbeat.tick() => {
                if progress.last_response.elapsed() > RESPONSE_TIMEOUT {
                    return Ok(());
                }
                send_entries(server, &mut stream, &mut progress, true).await?;
            }
            _ = changes.changed() => {}
            () = crate::timer::sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {}
        }
        due = send_entries(server, &mut stream, &mut progress, false).await?;
    }
    Ok(())
}

/// Sends the entries that are due, or an empty message as a heartbeat, and returns when the next
/// entry is due.
async fn send_entries(
    server: &Server,
    stream: &mut Stream,
    progress: &mut Progress,
    is_heartbeat: bool,
) -> io::Result<Option<Instant>> {
    let delay = server.fault.lock().replication_delay();
    let Some((append, due)) = build_append(server, progress, delay) else {
        return Ok(None);
    };
    if is_heartbeat || !append.entries.is_empty() {
        progress.next_index += append.entries.len() as u64;
        progress.sequence += 1;
        let sending = stream.send(encode(&Frame::Append(append))?);
        time::timeout(RESPONSE_TIMEOUT, sending)
            .await
            .map_err(io::Error::other)??;
    }
    Ok(due)
}

/// Builds the next message and returns it with the time at which a further entry is due; `None`
/// if this server is no longer the primary of the term.
fn build_append(
    server: &Server,
    progress: &Progress,
    delay: Duration,
) -> Option<(Append, Option<Instant>)> {
    let now = Instant::now();
    let state = server.state.lock();
    if state.primary_term() != Some(progress.term) {
        return None;
    }
    let log = state.log();
    let mut entries = Vec::new();
    let mut due = None;
    for index in progress.next_index..progress.next_index + MAX_BATCH {
        let Some((entry, arrival)) = log.get(index) else {
            break;
        };
        if *arrival + delay > now {
            due = Some(*arrival + delay);
            break;
        }
        entries.push(entry.clone());
    }
    if entries.len() as u64 == MAX_BATCH {
        due = Some(now);
    }
    let append = Append {
        sequence: progress.sequence,
        term: progress.term,
        previous: log.position(progress.next_index - 1),
        entries,
        last: log.last().index,
    };
    Some((append, due))
}

fn handle_response(server: &Server, peer: &Peer, progress: &mut Progress, frame: &Frame) {
    let Frame::Acknowledge(acknowledgement) = frame else {
        return;
    };
    progress.last_response = Instant::now();
    if acknowledgement.accepted {
        let mut state = server.state.lock();
        state.record_match(&peer.name, progress.term, acknowledgement.index);
        drop(state);
        server.notify_changed();
    } else if acknowledgement.promised <= progress.term
        && acknowledgement.sequence >= progress.valid_from
    {
        progress.next_index = acknowledgement.index + 1;
        progress.valid_from = progress.sequence;
    }
}

/// Asks one other server for its promised term until this server has recovered.
pub async fn request_promises(server: Arc<Server>, peer: Peer) {
    while server.state.lock().is_recovering() {
        if let Ok(Some(promise)) = request_promise(&server, &peer).await {
            server.state.lock().record_promise(&peer.name, promise);
        }
        time::sleep(RETRY_DELAY).await;
    }
}

async fn request_promise(server: &Server, peer: &Peer) -> io::Result<Option<Promise>> {
    let mut stream = connect(server, peer.address).await?;
    stream.send(encode(&Frame::Ask)?).await?;
    let response = time::timeout(CONNECT_TIMEOUT, stream.next()).await;
    match response.map_err(io::Error::other)? {
        Some(bytes) => match decode(&bytes?)? {
            Frame::Promise(promise) => Ok(Some(promise)),
            _ => Ok(None),
        },
        None => Ok(None),
    }
}
