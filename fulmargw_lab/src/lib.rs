//! Stand-ins for outside systems, a load generator and a history checker; not shipped.

pub mod address;
pub mod cli;
pub mod database;
pub mod platform;
pub mod timer;
