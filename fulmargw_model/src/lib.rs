//! Domain types shared by every crate, without any protocol encoding.

pub mod abort;
pub mod availability_zone;
pub mod backend_server;
pub mod client_account;
pub mod configuration;
pub mod execution;
pub mod fleet;
pub mod host;
pub mod lock;
pub mod name;
pub mod outcome;
pub mod position;
pub mod request;
pub mod route;
pub mod service;
