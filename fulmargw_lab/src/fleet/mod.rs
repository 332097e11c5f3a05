//! Fleets of real processes for tests and experiments.

pub mod child;
pub mod configuration;
pub mod control;
pub mod layout;
pub mod settings;
