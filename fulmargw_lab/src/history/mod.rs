//! Histories of client operations, and the check of their consistency.

pub mod check;
pub mod event;
