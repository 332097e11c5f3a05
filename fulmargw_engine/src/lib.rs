//! Request execution: worker pool, shared tables, backend monitoring and failover.

mod confirm;
mod core;
mod execute;
mod failover;
mod invariant;
mod job;
mod monitor;
mod pool;
mod supervisor;
mod table;
mod worker;

pub mod control;
pub mod engine;
pub mod journal;
pub mod settings;
pub mod state;
pub mod submit;
