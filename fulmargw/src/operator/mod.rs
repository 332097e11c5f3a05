//! HTTP interface for operators and the balancer.

pub mod access;
pub mod body;
pub mod client;
pub mod handler;
pub mod message;
pub mod router;
pub mod selection;
pub mod view;
