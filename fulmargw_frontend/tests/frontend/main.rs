//! Tests of the front end. They are one program because they share the fixtures.

mod fixture;
mod lexer;
mod malformed;
mod session;
