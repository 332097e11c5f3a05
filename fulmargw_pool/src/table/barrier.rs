//! Commit barrier of a service: holds its commits while the primary is replaced.

use std::time::Duration;
use tokio::time::{Instant, timeout_at};
use tokio_util::sync::CancellationToken;

/// Time for which a barrier stays up unless it is lifted. A promotion call that was accepted takes
/// effect within it, and a host that ends during an attempt does not hold commits for longer.
pub const PERIOD: Duration = Duration::from_secs(4);

/// The commit barrier of a service, which is up or not.
///
/// Each one that is raised has the fencing token of the promotion for which it is raised.
#[derive(Debug, Default)]
pub struct Barrier {
    raised: Option<Raised>,
    /// Time at which a barrier was last sealed.
    sealed_at: Option<Instant>,
    /// Whether that one was lifted, so that its promotion does not take effect, or is known.
    is_seal_lifted: bool,
    /// Greatest token with which a barrier was lifted.
    lifted_token: Option<u64>,
}

#[derive(Debug)]
struct Raised {
    token: u64,
    ends_at: Instant,
    is_sealed: bool,
    held: u32,
    /// Cancelled when the barrier ends.
    ended: CancellationToken,
}

/// State of a barrier that is up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct State {
    /// Fencing token of the promotion for which it is raised.
    pub token: u64,
    /// Time until it ends by itself.
    pub remaining: Duration,
    /// Whether responses to commits are kept until it ends.
    pub is_sealed: bool,
}

/// A barrier that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ended {
    /// Its fencing token.
    pub token: u64,
    /// Number of commits that waited for its end.
    pub held: u32,
}

/// Waits for the end of a barrier.
#[derive(Debug, Clone)]
pub struct Wait {
    ends_at: Instant,
    ended: CancellationToken,
}

impl Wait {
    /// Returns a wait until a token is cancelled, or until a time.
    pub(super) fn new(ends_at: Instant, ended: CancellationToken) -> Self {
        Self { ends_at, ended }
    }

    /// Waits until the barrier was ended, or its period or the deadline has passed. The period may
    /// have been extended by then, so the barrier has to be checked again. Returns `false` if the
    /// deadline has passed.
    pub async fn wait(&self, deadline: Instant) -> bool {
        let until = self.ends_at.min(deadline);
        // Which of the two came first shows in the state of the barrier.
        let _ = timeout_at(until, self.ended.cancelled()).await;
        Instant::now() < deadline
    }

    /// Reports whether the barrier was ended.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.ended.is_cancelled()
    }
}

impl Barrier {
    /// Raises the barrier, or extends one with the same or a smaller token. What waits for the end of
    /// that one goes on waiting, and a sealed one stays sealed: the earlier promotion may still take
    /// effect. Returns `false` if one with a greater token is up.
    pub fn raise(&mut self, token: u64, period: Duration, now: Instant) -> bool {
        let ends_at = now + period;
        match self.raised.as_mut().filter(|raised| raised.ends_at > now) {
            Some(raised) if raised.token > token => false,
            Some(raised) => {
                raised.token = token;
                raised.ends_at = raised.ends_at.max(ends_at);
                true
            }
            None => {
                self.end();
                self.raised = Some(Raised {
                    token,
                    ends_at,
                    is_sealed: false,
                    held: 0,
                    ended: CancellationToken::new(),
                });
                true
            }
        }
    }

    /// Seals the barrier: responses to commits are kept from now on. Returns `false` if the one with
    /// this token is no longer up.
    pub fn seal(&mut self, token: u64, now: Instant) -> bool {
        let raised = self.raised.as_mut();
        let Some(raised) = raised.filter(|it| it.ends_at > now && it.token == token) else {
            return false;
        };
        raised.is_sealed = true;
        self.sealed_at = Some(now);
        self.is_seal_lifted = false;
        true
    }

    /// Ends the barrier, unless it has a greater token.
    pub fn lift(&mut self, token: u64) -> Option<Ended> {
        self.lifted_token = self.lifted_token.max(Some(token));
        self.raised.as_ref().filter(|it| it.token <= token)?;
        self.is_seal_lifted = true;
        self.end()
    }

    /// Reports whether the barrier with this token, or a later one, was lifted. A peer that has not heard of it
    /// yet may still say that the barrier is up.
    #[must_use]
    pub fn was_lifted(&self, token: u64) -> bool {
        self.lifted_token >= Some(token)
    }

    /// Ends the barrier if its period has passed.
    pub fn expire(&mut self, now: Instant) -> Option<Ended> {
        self.raised.as_ref().filter(|it| it.ends_at <= now)?;
        self.end()
    }

    /// Returns the state of the barrier if it is up.
    #[must_use]
    pub fn state(&self, now: Instant) -> Option<State> {
        let raised = self.up(now)?;
        Some(State {
            token: raised.token,
            remaining: raised.ends_at.saturating_duration_since(now),
            is_sealed: raised.is_sealed,
        })
    }

    /// Reports whether the barrier is up.
    #[must_use]
    pub fn is_up(&self, now: Instant) -> bool {
        self.up(now).is_some()
    }

    /// Returns what waits for the end of the barrier; `None` if it is not up.
    #[must_use]
    pub fn wait(&self, now: Instant) -> Option<Wait> {
        let raised = self.up(now)?;
        Some(Wait {
            ends_at: raised.ends_at,
            ended: raised.ended.clone(),
        })
    }

    /// As [`Self::wait`]; `None` also if the barrier is not sealed.
    #[must_use]
    pub fn wait_sealed(&self, now: Instant) -> Option<Wait> {
        self.wait(now)
            .filter(|_| self.up(now).is_some_and(|it| it.is_sealed))
    }

    /// Counts a commit that waits for the end of the barrier.
    pub fn record_held(&mut self) {
        if let Some(raised) = &mut self.raised {
            raised.held += 1;
        }
    }

    /// Reports whether a barrier was sealed while a commit that was sent at `sent_at` had no response.
    #[must_use]
    pub fn was_sealed_since(&self, sent_at: Instant) -> bool {
        self.sealed_at.is_some_and(|at| at >= sent_at)
    }

    /// Reports whether the last barrier that was sealed was not lifted: it is up, or has expired. Its promotion
    /// may have taken effect, although this host does not know of it.
    #[must_use]
    pub fn has_unlifted_seal(&self) -> bool {
        self.sealed_at.is_some() && !self.is_seal_lifted
    }

    fn up(&self, now: Instant) -> Option<&Raised> {
        self.raised.as_ref().filter(|it| it.ends_at > now)
    }

    fn end(&mut self) -> Option<Ended> {
        let raised = self.raised.take()?;
        raised.ended.cancel();
        Some(Ended {
            token: raised.token,
            held: raised.held,
        })
    }
}
