//! Pure decisions: they take the time as an argument and do no I/O.

pub mod absence;
pub mod access;
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
