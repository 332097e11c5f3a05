//! Shared tables, listed in the order in which they are locked.

pub mod backend;
pub mod group;
pub mod pin;
pub mod queue;
pub mod server;
