//! Execution of requests: worker pool, shared tables, monitoring and failover.

pub mod gate;
pub mod submit;
