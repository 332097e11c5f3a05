//! Tables that the tasks of the engine share. [`crate::core::Core`] states their lock order.

pub mod backend;
pub mod group;
pub mod pin;
pub mod queue;
pub mod server;
