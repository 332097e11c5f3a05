//! Fleets of real processes for tests and experiments.

mod child;
pub mod configuration;
pub mod layout;
pub mod processes;
pub mod settings;
