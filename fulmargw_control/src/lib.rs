//! Lease, membership, rates and configuration over peers and platform.

mod absence;
mod account;
pub mod agent;
mod answer;
mod borrow;
pub mod configuration;
pub mod dump;
mod fetch;
mod lease;
mod membership;
pub mod peers;
mod poll;
mod rate;
pub mod record;
pub mod settings;
mod table;
