//! Bounds of the memory and the connections that callers and peers hold.

pub mod connection;
pub mod frame;
pub mod http;
pub mod memory;
pub mod session;
pub mod slot;
mod transfer;
