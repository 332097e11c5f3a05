//! Fleets of real processes for tests and experiments.

mod child;
pub mod configuration;
pub mod control;
pub mod layout;
pub mod settings;
