//! Internal protocol: messages between hosts, their service and the documents over HTTP.

pub mod client;
pub mod codec;
pub mod document;
pub mod forward;
mod link;
pub mod message;
pub mod report;
pub mod server;
pub mod service;
