//! PostgreSQL front end: the sessions of callers.

pub mod batch;
pub mod error;
pub mod lexer;
pub mod listener;
pub mod plan;
pub mod prepared;
pub mod response;
pub mod restriction;
pub mod session;
pub mod settings;
pub mod startup;
pub mod statement;
pub mod variable;
