//! Attempt number of a write.

/// Attempts of one request, of which at most one may be unsettled.
#[derive(Debug)]
pub struct Attempt {
    number: u64,
    unsettled: bool,
}

impl Attempt {
    /// Begins with the first attempt.
    pub fn first() -> Self {
        Self {
            number: 1,
            unsettled: false,
        }
    }

    /// Returns the number of the present attempt.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Reports whether the present attempt may be sent.
    pub fn may_send(&self) -> bool {
        !self.unsettled
    }

    /// Notes that the present attempt is sent.
    pub fn sent(&mut self) {
        self.unsettled = true;
    }

    /// Notes that the present attempt certainly did not reach a server, so that it may be sent
    /// again.
    pub fn not_run(&mut self) {
        self.unsettled = false;
    }

    /// Goes on after attempts up to `cancelled` were cancelled by a majority.
    pub fn cancelled(&mut self, cancelled: u64) {
        self.number = self.number.max(cancelled) + 1;
        self.unsettled = false;
    }
}
