//! Validity of a host's lease and quorum sizes.
