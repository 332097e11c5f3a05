//! The platform's table service, object store and host list.

pub mod client;
pub mod message;
pub mod store;
