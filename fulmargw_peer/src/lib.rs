//! Protocol between hosts: RPC services, their messages and documents over HTTP.

pub mod client;
pub mod codec;
mod connection;
pub mod document;
pub mod forward;
pub mod message;
pub mod report;
pub mod server;
pub mod service;
