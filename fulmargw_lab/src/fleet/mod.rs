//! Fleets of real processes for tests and experiments.

mod child;
mod configuration;
pub mod control;
pub mod layout;
pub mod settings;
