//! Counts the bytes that hosts exchange across availability zones, by purpose.

use fulmargw_model::execution::{Reply, Statement};
use fulmargw_peer::forward::Outcome;

/// Counts a statement that was sent to a host in another zone, and its rows.
pub(crate) fn count(statement: &Statement, outcome: Option<&Outcome>) {
    let template = statement.template.as_ref().map_or(0, |it| it.text.len());
    let sent = statement.id.len() + statement.text.len() + template;
    record("statements", sent);
    if let Some(Outcome::Answered { reply, .. }) = outcome {
        record("rows", size(reply));
    }
}

/// Returns the bytes of the rows and the signature or message of a reply.
fn size(reply: &Reply) -> usize {
    let rows: usize = reply.rows.iter().map(bytes::Bytes::len).sum();
    let end = match &reply.result {
        Ok(text) | Err((_, text)) => text.len(),
    };
    rows + end
}

/// Counts bytes between zones for one purpose.
pub fn record(purpose: &'static str, bytes: usize) {
    metrics::counter!("fulmargw_pool_zone_bytes_total", "purpose" => purpose)
        .increment(bytes as u64);
}
