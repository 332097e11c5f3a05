//! Authentication of operators.

use super::message::Denial;
use axum::{
    Json,
    extract::{Request, State},
    http::{HeaderMap, StatusCode, header},
    middleware::Next,
    response::{IntoResponse as _, Response},
};
use fulmargw_model::client_account::Digest;

/// Scheme of the `Authorization` header, with the space that follows it.
const SCHEME: &str = "Bearer ";

/// Middleware that passes on requests with the operator credential and denies all others.
/// `expected` is the digest of the credential.
pub async fn require_credential(
    State(expected): State<Digest>,
    request: Request,
    next: Next,
) -> Response {
    if has_credential(request.headers(), &expected) {
        return next.run(request).await;
    }
    metrics::counter!("fulmargw_operator_denied_total").increment(1);
    let denial = Denial {
        error: "the operator credential is missing or wrong".to_owned(),
    };
    let challenge = [(header::WWW_AUTHENTICATE, "Bearer")];
    (StatusCode::UNAUTHORIZED, challenge, Json(denial)).into_response()
}

/// Compares digests in constant time, so that the response time reveals nothing about the
/// credential.
fn has_credential(headers: &HeaderMap, expected: &Digest) -> bool {
    headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix(SCHEME))
        .is_some_and(|credential| Digest::of(credential.as_bytes()).matches(expected))
}
