//! A stand-in for the platform's table service, object store and host list.
//!
//! Its data is kept in memory and a restart of the process would lose it, so outages are injected
//! as faults while the process keeps running.

pub mod admin;
pub mod fault;
pub mod process;
pub mod state;
