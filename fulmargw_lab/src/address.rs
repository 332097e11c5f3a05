//! Free loopback addresses.

use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
};

/// Returns an address with a free port on the loopback address `127.0.0.last`.
///
/// # Errors
///
/// If no port is free.
pub fn free(last: u8) -> io::Result<SocketAddr> {
    let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 0, last));
    TcpListener::bind((ip, 0))?.local_addr()
}
