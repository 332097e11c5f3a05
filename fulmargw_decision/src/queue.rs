//! Fair queue of waiting requests.
