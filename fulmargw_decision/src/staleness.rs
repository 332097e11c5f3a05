//! Bounds of replica staleness from samples of the primary's position.
