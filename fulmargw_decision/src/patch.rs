//! Validation and application of configuration patches.
