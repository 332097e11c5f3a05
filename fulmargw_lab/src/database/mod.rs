//! A stand-in for one backend server of a database group.

pub mod admin;
pub mod entry;
mod error;
mod execute;
pub mod fault;
mod function;
pub mod observation;
pub mod process;
mod replication;
mod session;
mod sql;
pub mod state;
mod table;
pub mod transaction;
mod wire;
