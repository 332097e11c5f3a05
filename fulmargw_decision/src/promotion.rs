//! Detection of a failed primary and choice of its successor.
