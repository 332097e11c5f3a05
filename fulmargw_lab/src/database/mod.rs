//! A stand-in for one backend server of a database group.
//!
//! It has a replicated log with terms, the group functions and a small part of SQL. Data is kept
//! in memory.

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
