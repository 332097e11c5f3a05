//! The fulmargw program: command line, settings, logging, metrics and operator interface.

pub mod cli;
pub mod command;
pub mod exit;
pub mod log;
pub mod operator;
pub mod pool;
pub mod recorder;
pub mod serve;
pub mod settings;
pub mod version;
