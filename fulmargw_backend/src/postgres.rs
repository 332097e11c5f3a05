//! Connections to backend servers over the PostgreSQL protocol.

mod connector;
mod exchange;
mod segment;
mod task;

pub use connector::{Connector, Settings};
pub use exchange::Connection;
