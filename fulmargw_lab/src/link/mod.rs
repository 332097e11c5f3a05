//! A TCP relay that delays traffic, and drops or resets it by rules.

pub mod process;
pub mod relay;
pub mod rule;
