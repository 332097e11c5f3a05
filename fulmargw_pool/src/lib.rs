//! Connection pooling proxy for database groups that replicate by themselves and acknowledge a
//! commit once replicas have received it.
//!
//! The proxy routes statements, limits the rates of client accounts, and promotes a replica when a
//! primary fails.

pub mod activity;
pub mod admission;
pub mod backend;
mod barrier;
pub mod borrow;
pub mod budget;
pub mod catalog;
pub mod clock;
pub mod configuration;
pub mod connection;
pub mod contact;
pub mod core;
pub mod dialect;
pub mod dispatch;
pub mod dump;
pub mod evacuation;
pub mod exchange;
pub mod failover;
pub mod follow;
pub mod forward;
pub mod freshness;
pub mod health;
pub mod holder;
pub mod job;
pub mod listener;
pub mod member;
pub mod message;
pub mod pace;
pub mod placement;
pub mod probe;
pub mod process;
pub mod promotion;
pub mod replica_set;
pub mod routing;
pub mod sampling;
pub mod scheduling;
pub mod session;
pub mod settings;
pub mod statement;
pub mod store;
pub mod supervisor;
pub mod table;
pub mod tasks;
pub mod traffic;
pub mod worker;
