//! Stand-ins for outside systems, a load generator and a history checker for tests and
//! experiments; not shipped.

pub mod address;
pub mod cli;
pub mod database;
pub mod experiment;
pub mod fleet;
pub mod history;
pub mod link;
pub mod load;
pub mod platform;
pub mod timer;
