//! The network between the processes of the system, and between them and the store: relays on
//! loopback that know which process opened a connection, and hold back what a cut separates.

use super::{listen, record};
use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    io::{Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

/// The processes by their ids, and the pairs that are cut off from each other.
#[derive(Default)]
pub struct Net {
    processes: Mutex<BTreeMap<u32, String>>,
    cuts: Mutex<BTreeSet<(String, String)>>,
}

impl Net {
    pub fn add_process(&self, id: u32, name: &str) {
        let mut processes = self.processes.lock().expect("processes");
        processes.insert(id, name.to_owned());
    }

    /// Cuts two ends off from each other, in both directions.
    pub fn cut(&self, one: &str, other: &str) {
        let mut cuts = self.cuts.lock().expect("cuts");
        cuts.insert((one.to_owned(), other.to_owned()));
        cuts.insert((other.to_owned(), one.to_owned()));
        drop(cuts);
        record::say(&format!("cut {one} from {other}"));
    }

    /// Ends all cuts.
    pub fn heal(&self) {
        self.cuts.lock().expect("cuts").clear();
        record::say("all cuts end");
    }

    fn is_cut(&self, one: &str, other: &str) -> bool {
        let cuts = self.cuts.lock().expect("cuts");
        cuts.contains(&(one.to_owned(), other.to_owned()))
    }

    /// Starts a relay to an address and returns the address at which it listens.
    pub fn relay(self: &Arc<Self>, name: &str, target: SocketAddr) -> SocketAddr {
        let listener = listen();
        let address = listener.local_addr().expect("address");
        let (net, name) = (Arc::clone(self), name.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (net, name) = (Arc::clone(&net), name.clone());
                thread::spawn(move || net.serve(&name, address, target, stream));
            }
        });
        address
    }

    fn serve(
        self: Arc<Self>,
        name: &str,
        listen: SocketAddr,
        target: SocketAddr,
        stream: TcpStream,
    ) {
        let Ok(peer) = stream.peer_addr() else { return };
        let source = self.source(peer, listen).unwrap_or_default();
        while self.is_cut(&source, name) {
            thread::sleep(Duration::from_millis(20));
        }
        let Ok(inner) = TcpStream::connect(target) else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let _ = inner.set_nodelay(true);
        let back = (inner.try_clone(), stream.try_clone());
        let (Ok(inner_read), Ok(stream_write)) = back else {
            return;
        };
        let (net, from, to) = (Arc::clone(&self), source.clone(), name.to_owned());
        thread::spawn(move || net.copy(&from, &to, inner_read, stream_write));
        self.copy(&source, name, stream, inner);
    }

    /// Copies what one end sends to the other, but nothing while they are cut off from each other.
    fn copy(&self, source: &str, name: &str, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = vec![0; 64 * 1024];
        loop {
            let count = from.read(&mut buffer).unwrap_or(0);
            while self.is_cut(source, name) {
                thread::sleep(Duration::from_millis(20));
            }
            if count == 0 || to.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    }

    /// Returns the process that opened a connection.
    fn source(&self, peer: SocketAddr, listen: SocketAddr) -> Option<String> {
        let inode = inode(peer, listen)?;
        let link = format!("socket:[{inode}]");
        let processes = self.processes.lock().expect("processes").clone();
        for (id, name) in processes {
            let Ok(files) = fs::read_dir(format!("/proc/{id}/fd")) else {
                continue;
            };
            let mut links = files
                .flatten()
                .filter_map(|it| fs::read_link(it.path()).ok());
            if links.any(|it| it.to_str() == Some(&link)) {
                return Some(name);
            }
        }
        None
    }
}

/// Returns the inode of the socket at `local` that is connected to `remote`.
fn inode(local: SocketAddr, remote: SocketAddr) -> Option<String> {
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let (local, remote) = (hex(local), hex(remote));
    let line = table.lines().find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_match =
            fields.get(1) == Some(&local.as_str()) && fields.get(2) == Some(&remote.as_str());
        is_match.then(|| fields.get(9).map(|it| (*it).to_owned()))
    });
    line.flatten()
}

fn hex(address: SocketAddr) -> String {
    match address {
        SocketAddr::V4(address) => {
            let ip = u32::from_ne_bytes(address.ip().octets());
            format!("{ip:08X}:{:04X}", address.port())
        }
        SocketAddr::V6(_) => String::new(),
    }
}
