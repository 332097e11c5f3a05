//! Attempt number of a write.

/// Numbers the attempts of one request, of which at most one may be in doubt at a time.
#[derive(Debug)]
pub struct Attempt {
    number: u64,
    in_doubt: bool,
}

impl Attempt {
    /// Returns the first attempt.
    pub fn first() -> Self {
        Self {
            number: 1,
            in_doubt: false,
        }
    }

    /// Returns the number of the current attempt.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Reports whether the current attempt may be sent.
    pub fn may_send(&self) -> bool {
        !self.in_doubt
    }

    /// Marks the current attempt as sent.
    pub fn mark_sent(&mut self) {
        self.in_doubt = true;
    }

    /// Marks the current attempt as certainly not run, so that it may be sent again.
    pub fn mark_not_run(&mut self) {
        self.in_doubt = false;
    }

    /// Advances to the attempt after `cancelled`, once a majority holds the cancellation of all
    /// attempts up to it.
    pub fn advance_past(&mut self, cancelled: u64) {
        self.number = self.number.max(cancelled) + 1;
        self.in_doubt = false;
    }
}
