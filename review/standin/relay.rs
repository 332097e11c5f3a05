//! A relay of TCP connections that can be cut, for one process at the near end or for all.

use std::{
    collections::HashSet,
    fs,
    io::{Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// The processes whose connections a relay does not pass on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    Nobody,
    Process(u32),
    All,
}

/// The relay.
#[derive(Debug)]
pub struct Relay {
    listen: SocketAddr,
    cut: Mutex<Cut>,
    connections: Mutex<Vec<Connection>>,
}

/// A connection that was accepted.
#[derive(Debug)]
struct Connection {
    peer: SocketAddr,
    is_cut: Arc<AtomicBool>,
    streams: [TcpStream; 2],
}

impl Relay {
    /// Starts to relay connections to `target`.
    pub fn start(listen: SocketAddr, target: SocketAddr) -> Arc<Self> {
        let relay = Arc::new(Self {
            listen,
            cut: Mutex::new(Cut::Nobody),
            connections: Mutex::default(),
        });
        let listener = TcpListener::bind(listen).expect("bind a relay");
        let accepting = Arc::clone(&relay);
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                accepting.open(near, target);
            }
        });
        relay
    }

    fn open(&self, near: TcpStream, target: SocketAddr) {
        let (Ok(peer), Ok(far)) = (near.peer_addr(), TcpStream::connect(target)) else {
            return;
        };
        let is_cut = Arc::new(AtomicBool::new(self.is_affected(peer)));
        for (from, to) in [(&near, &far), (&far, &near)] {
            let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                return;
            };
            let _ = to.set_nodelay(true);
            let is_cut = Arc::clone(&is_cut);
            thread::spawn(move || copy(&is_cut, from, to));
        }
        self.connections.lock().unwrap().push(Connection {
            peer,
            is_cut,
            streams: [near, far],
        });
    }

    /// Cuts connections: nothing arrives on them, and they stay open.
    pub fn cut(&self, cut: Cut) {
        *self.cut.lock().unwrap() = cut;
        for connection in self.connections.lock().unwrap().iter() {
            if self.is_affected(connection.peer) {
                connection.is_cut.store(true, Ordering::SeqCst);
            }
        }
    }

    /// Ends the cut. The connections that were cut are closed; new ones work.
    pub fn heal(&self) {
        *self.cut.lock().unwrap() = Cut::Nobody;
        for connection in self.connections.lock().unwrap().iter() {
            if connection.is_cut.load(Ordering::SeqCst) {
                for stream in &connection.streams {
                    let _ = stream.shutdown(Shutdown::Both);
                }
            }
        }
    }

    fn is_affected(&self, peer: SocketAddr) -> bool {
        match *self.cut.lock().unwrap() {
            Cut::Nobody => false,
            Cut::All => true,
            Cut::Process(pid) => ports_to(pid, self.listen).contains(&peer.port()),
        }
    }
}

fn copy(is_cut: &AtomicBool, mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = [0; 16 * 1024];
    loop {
        let read = from.read(&mut buffer).unwrap_or(0);
        if is_cut.load(Ordering::SeqCst) {
            // Nothing is passed on, not even the end of the connection.
            if read == 0 {
                thread::sleep(Duration::from_millis(100));
                return;
            }
            continue;
        }
        if read == 0 || to.write_all(&buffer[..read]).is_err() {
            let _ = to.shutdown(Shutdown::Both);
            return;
        }
    }
}

/// Returns the local ports of a process's connections to an address.
fn ports_to(pid: u32, address: SocketAddr) -> HashSet<u16> {
    let descriptors = fs::read_dir(format!("/proc/{pid}/fd"));
    let sockets: HashSet<String> = descriptors
        .into_iter()
        .flatten()
        .flatten()
        .filter_map(|entry| fs::read_link(entry.path()).ok())
        .filter_map(|link| {
            let link = link.to_string_lossy().into_owned();
            let inode = link.strip_prefix("socket:[")?.strip_suffix(']')?;
            Some(inode.to_owned())
        })
        .collect();
    let SocketAddr::V4(address) = address else {
        return HashSet::new();
    };
    let ip = u32::from_ne_bytes(address.ip().octets());
    let remote = format!("{ip:08X}:{:04X}", address.port());
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let ports = table.lines().filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_match = fields.get(2) == Some(&remote.as_str()) && sockets.contains(*fields.get(9)?);
        let port = fields.get(1)?.rsplit(':').next()?;
        is_match.then(|| u16::from_str_radix(port, 16).ok())?
    });
    ports.collect()
}
