//! A stand-in for the platform's table service, object store and host list.
//!
//! State is in memory; a restart of the process is a loss of the platform's data, so faults
//! are injected and the process keeps running.

pub mod admin;
pub mod fault;
pub mod process;
pub mod state;
