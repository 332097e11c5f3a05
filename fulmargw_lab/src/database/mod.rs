//! A stand-in for one backend server of a database group.

pub mod admin;
pub mod entry;
mod error;
mod execute;
pub mod fault;
mod function;
pub mod member;
pub mod observation;
pub mod process;
mod replication;
mod session;
mod sql;
mod table;
pub mod transaction;
mod wire;
