//! A TCP relay that delays traffic and cuts it by rules.

pub mod process;
pub mod relay;
pub mod rule;
