//! Session pooling before database groups that replicate and wait for replicas by themselves.

pub mod admission;
pub mod backend;
pub mod belief;
pub mod borrow;
pub mod catalog;
pub mod clock;
pub mod connection;
pub mod core;
pub mod dialect;
pub mod exchange;
pub mod failover;
pub mod follow;
pub mod freshness;
pub mod job;
pub mod listener;
pub mod member;
pub mod message;
pub mod probe;
pub mod promotion;
pub mod routing;
pub mod session;
pub mod settings;
pub mod statement;
pub mod store;
pub mod table;
pub mod worker;
