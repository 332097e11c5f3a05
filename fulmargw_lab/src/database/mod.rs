//! A stand-in for one backend server of a database group.

pub mod admin;
pub mod entry;
pub mod error;
pub mod execute;
pub mod fault;
pub mod function;
pub mod member;
pub mod observation;
pub mod process;
pub mod replication;
pub mod session;
pub mod sql;
pub mod table;
pub mod transaction;
pub mod wire;
