//! Rendezvous hashing.
