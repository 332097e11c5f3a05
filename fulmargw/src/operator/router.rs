//! Routes of the operator interface.

use super::{
    access,
    body::Encoding,
    message::{Denial, Health, Rejection},
    subject::Subject,
    view,
};
use axum::{
    Json, Router,
    extract::State,
    http::{HeaderMap, StatusCode, header},
    middleware,
    response::{IntoResponse as _, Response},
    routing::{get, post},
};
use fulmargw_model::client_account::Digest;

/// Content type of the Prometheus text format.
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";

/// Returns the interface to `subject`; all but the health check need the credential.
pub fn router<S: Subject>(subject: S, credential: Digest) -> Router {
    Router::new()
        .route("/state", get(state::<S>))
        .route("/configuration", get(configuration::<S>))
        .route("/patch", post(patch::<S>))
        .route("/metrics", get(metrics::<S>))
        .route_layer(middleware::from_fn_with_state(credential, access::require))
        .route("/health", get(health::<S>))
        .with_state(subject)
}

async fn state<S: Subject>(State(subject): State<S>) -> Response {
    Json(subject.state()).into_response()
}

async fn configuration<S: Subject>(State(subject): State<S>) -> Response {
    let configuration = subject.configuration();
    Json(view::Configuration::from(configuration.as_ref())).into_response()
}

async fn metrics<S: Subject>(State(subject): State<S>) -> Response {
    let content_type = [(header::CONTENT_TYPE, METRICS_CONTENT_TYPE)];
    (content_type, subject.metrics()).into_response()
}

async fn health<S: Subject>(State(subject): State<S>) -> Response {
    let health = subject.health();
    let status = match health {
        Health::Serving => StatusCode::OK,
        Health::Unleased | Health::Draining => StatusCode::SERVICE_UNAVAILABLE,
    };
    (status, Json(health)).into_response()
}

async fn patch<S: Subject>(State(subject): State<S>, headers: HeaderMap, body: String) -> Response {
    let content_type = headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    let Some(encoding) = Encoding::of(content_type) else {
        let error = "the content type is neither application/json nor application/toml".to_owned();
        return (StatusCode::UNSUPPORTED_MEDIA_TYPE, Json(Denial { error })).into_response();
    };
    let patch = match encoding.decode(&body) {
        Ok(patch) => patch,
        Err(rejection) => return reject(&rejection),
    };
    match subject.patch(patch).await {
        Ok(accepted) => Json(accepted).into_response(),
        Err(rejection) => reject(&rejection),
    }
}

fn reject(rejection: &Rejection) -> Response {
    let status = match rejection {
        Rejection::Stale { .. } => StatusCode::CONFLICT,
        Rejection::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        Rejection::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
        Rejection::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
    };
    (status, Json(rejection)).into_response()
}
