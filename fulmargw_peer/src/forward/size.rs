//! Sizes of forwarded statements and of their responses.

use super::{Outcome, Transaction};
use crate::codec::MAX_FRAME_BYTES;
use fulmargw_model::execution::{Code, Reply, Request, Text};

/// Largest size of all rows of a response, in bytes. The rest of a frame is for the lengths of the
/// rows and for the fields beside them.
const MAX_ROWS_BYTES: usize = MAX_FRAME_BYTES - 64 * 1024;
/// Bytes that the encoding of a row takes beside its text.
const ROW_BYTES: usize = 5;

/// Returns the memory of a statement, in units of `unit_bytes`.
pub(super) fn units(request: &Request, unit_bytes: usize) -> u32 {
    let statement = &request.statement;
    let variables = request.variables.iter();
    let variables: usize = variables
        .map(|(name, value)| name.len() + value.len())
        .sum();
    let template = statement.template.as_ref();
    let template = template.map_or(0, |template| template.text.len());
    let bytes = statement.text.len() + template + variables;
    u32::try_from(bytes / unit_bytes + 1).unwrap_or(u32::MAX)
}

/// Replaces a response that does not fit into a frame by an error. A read has no effect; of any other
/// statement the error does not say that it has none.
pub(super) fn limit_response(outcome: Outcome, is_read: bool) -> Outcome {
    match outcome {
        Outcome::Answered {
            reply,
            trace,
            transaction,
        } if rows_bytes(&reply) > MAX_ROWS_BYTES => {
            metrics::counter!("fulmargw_responses_too_large_total").increment(1);
            let is_open = matches!(transaction, Transaction::Open(_));
            let code = if is_read || is_open {
                Code::TooLarge
            } else {
                Code::InDoubt
            };
            let text = "the response is too large for the connection between two hosts";
            Outcome::Answered {
                reply: Reply {
                    rows: Vec::new(),
                    result: Err((code, Text::from_static(text.as_bytes()))),
                    ..reply
                },
                trace,
                transaction,
            }
        }
        outcome => outcome,
    }
}

fn rows_bytes(reply: &Reply) -> usize {
    reply.rows.iter().map(|row| row.len() + ROW_BYTES).sum()
}
