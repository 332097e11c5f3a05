//! Connections to backend servers.

pub mod connection;
