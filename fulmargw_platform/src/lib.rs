//! Client of the platform's table service and host list.

pub mod client;
pub mod message;
pub mod store;
