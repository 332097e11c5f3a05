//! Replication between members over TCP.

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

/// Interval of heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(50);
/// Pause before a failed connection is opened again.
const RECONNECT: Duration = Duration::from_millis(50);
/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time without an answer; a silent connection is opened again.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// The most entries in one message.
const MAX_BATCH: u64 = 500;

type Stream = Framed<TcpStream, LengthDelimitedCodec>;

#[derive(Debug, Serialize, Deserialize)]
enum Frame {
    Append(Append),
    Acknowledge(Acknowledgement),
    Ask,
    Promise(Promise),
}

fn encode(frame: &Frame) -> io::Result<Bytes> {
    let bytes = rmp_serde::to_vec(frame).map_err(io::Error::other)?;
    Ok(bytes.into())
}

fn decode(bytes: &BytesMut) -> io::Result<Frame> {
    rmp_serde::from_slice(bytes).map_err(io::Error::other)
}

/// Connects from the IP address of the server, so that link rules can tell servers apart.
async fn connect(server: &Server, address: SocketAddr) -> io::Result<Stream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(server.settings.listen.ip(), 0))?;
    let connecting = time::timeout(CONNECT_TIMEOUT, socket.connect(address));
    let stream = connecting.await.map_err(io::Error::other)??;
    stream.set_nodelay(true)?;
    Ok(Framed::new(stream, LengthDelimitedCodec::new()))
}

/// Accepts connections of primaries and of recovering members.
pub async fn follow(server: Arc<Server>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let server = Arc::clone(&server);
        tokio::spawn(async move {
            // The other side opens a new connection after an error.
            let _ = answer(&server, stream).await;
        });
    }
}

async fn answer(server: &Server, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut stream = Framed::new(stream, LengthDelimitedCodec::new());
    while let Some(bytes) = stream.next().await {
        let reply = match decode(&bytes?)? {
            Frame::Append(append) => {
                let reply = server.state.lock().append(append, Instant::now());
                server.notify_changed();
                Frame::Acknowledge(reply)
            }
            Frame::Ask => Frame::Promise(server.state.lock().promise()),
            Frame::Acknowledge(_) | Frame::Promise(_) => return Ok(()),
        };
        stream.send(encode(&reply)?).await?;
    }
    Ok(())
}

/// Applies received entries after the injected delay.
pub async fn apply(server: Arc<Server>) {
    let mut changes = server.subscribe();
    loop {
        let delay = server.fault.lock().apply_delay();
        let next = apply_due(&server, delay);
        let due = next.unwrap_or_else(|| Instant::now() + Duration::from_hours(1));
        tokio::select! {
            () = crate::timer::sleep_until(due) => {}
            _ = changes.changed() => {}
        }
    }
}

/// Applies what is due and returns when the next entry is.
fn apply_due(server: &Server, delay: Duration) -> Option<Instant> {
    let now = Instant::now();
    let mut member = server.state.lock();
    let before = member.table().applied().index;
    let mut index = before;
    let mut next = None;
    while let Some((_, arrival)) = member.log().get(index + 1) {
        if *arrival + delay > now {
            next = Some(*arrival + delay);
            break;
        }
        index += 1;
    }
    member.apply_up_to(index, now);
    drop(member);
    if index > before {
        server.notify_changed();
    }
    next
}

/// Replicates to one follower while this server is the primary.
pub async fn lead(server: Arc<Server>, peer: Peer) {
    let mut changes = server.subscribe();
    loop {
        let leading = server.state.lock().primary_term();
        if let Some(term) = leading {
            // A broken connection is opened again as long as the term lasts.
            let _ = replicate(&server, &peer, term).await;
            time::sleep(RECONNECT).await;
        } else if changes.changed().await.is_err() {
            return;
        }
    }
}

/// How far one follower got on one connection.
#[derive(Debug)]
struct Progress {
    term: Term,
    /// Index of the next entry to send.
    next: u64,
    sequence: u64,
    /// Refusals of earlier messages were answered already by moving `next` back.
    valid_from: u64,
    heard: Instant,
}

async fn replicate(server: &Server, peer: &Peer, term: Term) -> io::Result<()> {
    let mut stream = connect(server, peer.address).await?;
    let mut changes = server.subscribe();
    let mut heartbeat = time::interval(HEARTBEAT);
    let mut progress = Progress {
        term,
        next: server.state.lock().log().last().index + 1,
        sequence: 0,
        valid_from: 0,
        heard: Instant::now(),
    };
    let mut due = None;
    while server.state.lock().primary_term() == Some(term) {
        tokio::select! {
            frame = stream.next() => match frame {
                Some(bytes) => hear(server, peer, &mut progress, &decode(&bytes?)?),
                None => return Ok(()),
            },
            _ = heartbeat.tick() => {
                if progress.heard.elapsed() > SILENCE_TIMEOUT {
                    return Ok(());
                }
                send(server, &mut stream, &mut progress, true).await?;
            }
            _ = changes.changed() => {}
            () = crate::timer::sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {}
        }
        due = send(server, &mut stream, &mut progress, false).await?;
    }
    Ok(())
}

/// Sends entries that are due, and returns when the next one is.
async fn send(
    server: &Server,
    stream: &mut Stream,
    progress: &mut Progress,
    heartbeat: bool,
) -> io::Result<Option<Instant>> {
    let delay = server.fault.lock().replication_delay();
    let Some((append, due)) = prepare(server, progress, delay) else {
        return Ok(None);
    };
    if heartbeat || !append.entries.is_empty() {
        progress.next += append.entries.len() as u64;
        progress.sequence += 1;
        let sending = stream.send(encode(&Frame::Append(append))?);
        time::timeout(SILENCE_TIMEOUT, sending)
            .await
            .map_err(io::Error::other)??;
    }
    Ok(due)
}

/// Makes the next message, if this server still leads.
fn prepare(
    server: &Server,
    progress: &Progress,
    delay: Duration,
) -> Option<(Append, Option<Instant>)> {
    let now = Instant::now();
    let member = server.state.lock();
    if member.primary_term() != Some(progress.term) {
        return None;
    }
    let log = member.log();
    let mut entries = Vec::new();
    let mut due = None;
    for index in progress.next..progress.next + MAX_BATCH {
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
        previous: log.position(progress.next - 1),
        entries,
        last: log.last().index,
    };
    Some((append, due))
}

fn hear(server: &Server, peer: &Peer, progress: &mut Progress, frame: &Frame) {
    let Frame::Acknowledge(answer) = frame else {
        return;
    };
    progress.heard = Instant::now();
    if answer.accepted {
        let mut member = server.state.lock();
        member.record_match(&peer.name, progress.term, answer.index);
        drop(member);
        server.notify_changed();
    } else if answer.promised <= progress.term && answer.sequence >= progress.valid_from {
        progress.next = answer.index + 1;
        progress.valid_from = progress.sequence;
    }
}

/// Asks one member for its promise until this server has recovered.
pub async fn recover(server: Arc<Server>, peer: Peer) {
    while server.state.lock().is_recovering() {
        if let Ok(Some(promise)) = ask(&server, &peer).await {
            server.state.lock().record_promise(&peer.name, promise);
        }
        time::sleep(RECONNECT).await;
    }
}

async fn ask(server: &Server, peer: &Peer) -> io::Result<Option<Promise>> {
    let mut stream = connect(server, peer.address).await?;
    stream.send(encode(&Frame::Ask)?).await?;
    let answer = time::timeout(CONNECT_TIMEOUT, stream.next()).await;
    match answer.map_err(io::Error::other)? {
        Some(bytes) => match decode(&bytes?)? {
            Frame::Promise(promise) => Ok(Some(promise)),
            _ => Ok(None),
        },
        None => Ok(None),
    }
}
