//! Tests of the front end, in one program because they share fixtures.

mod fixture;
mod lexer;
mod malformed;
mod session;
