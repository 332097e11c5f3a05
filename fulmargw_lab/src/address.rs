//! Free loopback addresses.

use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    ops::Range,
    process,
    sync::atomic::{AtomicU16, Ordering},
};

/// Ports to choose from. Ports from 32768 on are used for outgoing connections, and such a
/// connection took a port between its choice and its use when these were included.
const PORTS: Range<u16> = 10_000..32_000;

/// Number of the next port in this process; each address is handed out once.
static NEXT: AtomicU16 = AtomicU16::new(0);

/// Returns an address with a free port on the loopback address `127.0.0.last`.
///
/// # Errors
///
/// If no port is free.
pub fn free(last: u8) -> io::Result<SocketAddr> {
    let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 0, last));
    // Processes that run at the same time begin at different places.
    let start = process::id().wrapping_mul(997);
    for _ in PORTS {
        let number = u32::from(NEXT.fetch_add(1, Ordering::Relaxed)).wrapping_add(start);
        let offset = number % u32::from(PORTS.end - PORTS.start);
        let port = PORTS.start + u16::try_from(offset).map_err(io::Error::other)?;
        if TcpListener::bind((ip, port)).is_ok() {
            return Ok(SocketAddr::new(ip, port));
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}
