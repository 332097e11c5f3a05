//! Rejects statements that would change the state of a shared backend connection.
//!
//! Callers share the connections to backend servers transaction by transaction. A session setting,
//! a temporary table or a session lock would therefore affect the next caller on the connection.
//! The checks only read the SQL text and do not see what functions or dynamic SQL do; the rights
//! of the database user must limit these.

use crate::{error::Failure, lexer::Token};

/// Settings that drivers set at start-up and that do not change the results of these servers.
const IGNORED_SETTINGS: [&str; 2] = ["APPLICATION_NAME", "EXTRA_FLOAT_DIGITS"];

/// Functions whose effect lasts until the connection is closed.
const SESSION_FUNCTIONS: [&str; 5] = [
    "set_config",
    "pg_advisory_lock",
    "pg_advisory_lock_shared",
    "pg_try_advisory_lock",
    "pg_try_advisory_lock_shared",
];

/// Functions for replication and promotion, which only hosts may call: with them, a caller could
/// fence the primary or cancel the request of another caller.
const GROUP_FUNCTIONS: [&str; 7] = [
    "group_status",
    "group_fence",
    "group_promote",
    "group_wait",
    "group_record",
    "group_position",
    "group_cancel",
];

/// Returns whether a statement is a `SET` that the front end confirms but does not execute.
///
/// `words` are the leading words of the statement in upper case.
#[must_use]
pub fn is_ignored_setting(words: &[&str]) -> bool {
    match words {
        ["SET", "SESSION", name, ..] | ["SET", name, ..] => IGNORED_SETTINGS.contains(name),
        _ => false,
    }
}

/// Checks the leading words of a statement, given in upper case.
///
/// # Errors
///
/// If the statement changes the session state of the shared connection.
pub fn check_statement(words: &[&str]) -> Result<(), Failure> {
    let what = match words {
        ["SET", "LOCAL" | "TRANSACTION" | "CONSTRAINTS", ..] => return Ok(()),
        ["SET" | "RESET" | "DISCARD", ..] => "a session setting (use SET LOCAL in a transaction)",
        ["LISTEN" | "UNLISTEN", ..] => "LISTEN",
        ["PREPARE" | "EXECUTE" | "DEALLOCATE", ..] => "PREPARE in SQL text",
        ["LOAD", ..] => "LOAD",
        ["CREATE", "TEMP" | "TEMPORARY", ..]
        | ["CREATE", "LOCAL" | "GLOBAL", "TEMP" | "TEMPORARY", ..] => "a temporary table",
        _ => return Ok(()),
    };
    Err(Failure::unsupported(what))
}

/// Checks one token anywhere in a statement.
///
/// # Errors
///
/// If it names a function that callers may not call.
pub fn check_token(token: &Token<'_>) -> Result<(), Failure> {
    let name = match token {
        Token::Word(word) => *word,
        Token::Identifier(name) => name.as_ref(),
        Token::Text(_) | Token::Semicolon | Token::Other(_) => return Ok(()),
    };
    let is_name = |function: &&str| function.eq_ignore_ascii_case(name);
    if GROUP_FUNCTIONS.iter().any(is_name) {
        return Err(Failure::unsupported("a function of the database group"));
    }
    if SESSION_FUNCTIONS.iter().any(is_name) {
        let what = "a function whose effect outlives the transaction";
        return Err(Failure::unsupported(what));
    }
    Ok(())
}
