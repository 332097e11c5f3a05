//! Decision logic without I/O; the current time is passed as an argument.

pub mod absence;
pub mod access;
pub mod breaker;
pub mod budget;
pub mod gossip;
pub mod lease;
pub mod membership;
pub mod meter;
pub mod patch;
pub mod promotion;
pub mod queue;
pub mod rate;
pub mod rendezvous;
pub mod retry;
pub mod routing;
pub mod staleness;
