//! Connections to backend servers.

pub mod batch;
pub mod connection;
pub mod frame;
pub mod group;
pub mod postgres;
