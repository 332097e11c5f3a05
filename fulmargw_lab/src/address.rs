//! Loopback addresses with free ports.

use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    ops::Range,
    process,
    sync::atomic::{AtomicU16, Ordering},
};

/// Ports to choose from. Ports from 32768 on are excluded because the system uses them for
/// outgoing connections: one of these took a port after it was chosen and before it was bound.
const PORTS: Range<u16> = 10_000..32_000;

/// Counts the ports that this process has tried, so that no port is returned twice.
static TRIED: AtomicU16 = AtomicU16::new(0);

/// Returns a free port on the loopback address `127.0.0.X`, where X is `last_octet`.
///
/// # Errors
///
/// If no port is free.
pub fn free(last_octet: u8) -> io::Result<SocketAddr> {
    let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 0, last_octet));
    // Processes that run at the same time start with different ports.
    let start = process::id().wrapping_mul(997);
    for _ in PORTS {
        let number = u32::from(TRIED.fetch_add(1, Ordering::Relaxed)).wrapping_add(start);
        let offset = number % u32::from(PORTS.end - PORTS.start);
        let port = PORTS.start + u16::try_from(offset).map_err(io::Error::other)?;
        if TcpListener::bind((ip, port)).is_ok() {
            return Ok(SocketAddr::new(ip, port));
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}
