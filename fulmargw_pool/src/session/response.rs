//! Sends responses, and waits while earlier ones are not read.

use super::{
    Driver, Output, RETRY_AFTER,
    channel::{Channel, End},
    failure::Failure,
};
use crate::{
    core::Core, dialect::Dialect, message::Response, statement::Statement, store::Platform,
};
use fulmargw_budget::memory::Hold;
use fulmargw_model::execution::Code;
use std::time::Duration;
use tokio::time::timeout;

/// Longest time for which a statement waits until its account has read earlier responses.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(2);

impl Output {
    /// Returns the size of the rows.
    pub(super) fn bytes(&self) -> usize {
        let rows = self.responses.iter().map(|response| match response {
            Response::Row(text) => text.len(),
            _ => 0,
        });
        rows.sum()
    }
}

/// Sends a single response.
pub(super) async fn send<D: Dialect, P: Platform>(
    channel: &mut Channel<D>,
    core: &Core<D, P>,
    response: Response,
) -> Result<(), End> {
    channel.feed(response, &core.settings.callers).await?;
    channel.flush(&core.settings.callers).await
}

impl<D: Dialect, P: Platform> Driver<D, P> {
    /// Waits while the account has more unread responses than it may have. After a large response the
    /// session reserves as much for the next one, before its statement runs.
    ///
    /// The end of a transaction is not held back: it has no rows, and frees a connection.
    pub(super) async fn await_readers(
        &self,
        channel: &Channel<D>,
        statement: &Statement,
    ) -> Result<Option<Hold>, Failure> {
        if matches!(statement, Statement::Commit | Statement::Rollback) {
            return Ok(None);
        }
        let responses = &self.core.budget.responses;
        let expected = channel.expected_response_bytes();
        if expected == 0 && responses.admits(&self.owner) {
            return Ok(None);
        }
        let reserved = responses.reserve(&self.owner, expected.max(1));
        let waited = timeout(UNREAD_TIMEOUT, reserved).await;
        let hold = waited.map_err(|_| {
            Failure::later(
                Code::Busy,
                "the account does not read its responses",
                RETRY_AFTER,
            )
        })?;
        hold.record_work();
        Ok(Some(hold))
    }
}
