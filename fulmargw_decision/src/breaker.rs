//! Circuit breaker: refuses statements at once while the server that they need has been away for
//! longer than its replacement takes.
//!
//! A statement that waits in vain hurts its caller twice: it waits, and it retries late, although
//! another host may reach the server.

use std::time::Duration;

/// Time in which a primary is normally replaced: noticed, confirmed by peers, claimed, replicas
/// queried, promoted. Until then statements wait for it.
pub const REPLACEMENT_TIME: Duration = Duration::from_millis(2_500);
/// Number of statements that may wait for a server that is away for longer. They show when it is
/// back.
pub const PROBES: usize = 2;

/// Reports whether a statement may wait for a server that has been away for `away`, besides
/// `waiting` other statements.
#[must_use]
pub fn admits(away: Duration, waiting: usize) -> bool {
    away < REPLACEMENT_TIME || waiting < PROBES
}
