//! Histories of what clients saw, and their check.

pub mod check;
pub mod event;
