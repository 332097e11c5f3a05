//! A load generator for the caller protocol.

pub mod client;
pub mod plan;
mod session;
