//! A relay of TCP connections whose open connections can go silent.

use crate::record;
use std::{
    io::{Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
};

/// The relay.
#[derive(Debug)]
pub struct Relay {
    /// Number of connections so far.
    accepted: AtomicU64,
    /// Connections with smaller numbers are silent.
    silent_below: AtomicU64,
}

impl Relay {
    /// Starts to relay connections to `target`.
    pub fn start(listen: SocketAddr, target: SocketAddr) -> Arc<Self> {
        let relay = Arc::new(Self {
            accepted: AtomicU64::new(0),
            silent_below: AtomicU64::new(0),
        });
        let listener = TcpListener::bind(listen).expect("bind a relay");
        let accepting = Arc::clone(&relay);
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let number = accepting.accepted.fetch_add(1, Ordering::SeqCst);
                let Ok(far) = TcpStream::connect(target) else {
                    continue;
                };
                for (from, to) in [(&near, &far), (&far, &near)] {
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                        continue;
                    };
                    let _ = to.set_nodelay(true);
                    let relay = Arc::clone(&accepting);
                    thread::spawn(move || relay.copy(number, from, to));
                }
            }
        });
        relay
    }

    /// Makes the open connections silent for good: nothing arrives on them, and they stay open.
    pub fn silence(&self) {
        let count = self.accepted.load(Ordering::SeqCst);
        self.silent_below.store(count, Ordering::SeqCst);
        record::show(&format!(
            "the {count} connections so far to the store go silent"
        ));
    }

    fn copy(&self, number: u64, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = [0; 16 * 1024];
        loop {
            let read = from.read(&mut buffer).unwrap_or(0);
            if number < self.silent_below.load(Ordering::SeqCst) {
                // Nothing is passed on, not even the end of the connection.
                if read == 0 {
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
}
