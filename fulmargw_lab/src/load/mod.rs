//! A load generator that connects to hosts as a caller does.

pub mod client;
pub mod plan;
mod session;
