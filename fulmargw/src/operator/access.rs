//! Check of the operator credential.

use super::message::Denial;
use axum::{
    Json,
    extract::{Request, State},
    http::{HeaderMap, StatusCode, header},
    middleware::Next,
    response::{IntoResponse as _, Response},
};
use fulmargw_model::client_account::Digest;

/// Scheme of the authorization header, with its separator.
const SCHEME: &str = "Bearer ";

/// Lets a request pass if it carries the credential with the given digest.
pub async fn require(State(expected): State<Digest>, request: Request, next: Next) -> Response {
    if is_allowed(request.headers(), &expected) {
        return next.run(request).await;
    }
    metrics::counter!("fulmargw_operator_denied_total").increment(1);
    let denial = Denial {
        error: "the operator credential is missing or wrong".to_owned(),
    };
    let challenge = [(header::WWW_AUTHENTICATE, "Bearer")];
    (StatusCode::UNAUTHORIZED, challenge, Json(denial)).into_response()
}

/// Compares digests in constant time, so the time tells nothing about the credential.
fn is_allowed(headers: &HeaderMap, expected: &Digest) -> bool {
    headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix(SCHEME))
        .is_some_and(|credential| Digest::of(credential.as_bytes()).matches(expected))
}
