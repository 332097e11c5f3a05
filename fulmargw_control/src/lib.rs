//! Control plane of a host: lease, membership, rates and configuration.

mod absence;
mod account;
pub mod agent;
mod borrow;
pub mod configuration;
pub mod dump;
mod fetch;
mod handler;
mod lease;
mod membership;
pub mod peers;
mod poll;
mod rate;
pub mod record;
pub mod settings;
mod table;
