//! Routes of the operator interface.

use super::{
    access,
    body::Encoding,
    handler::Handler,
    message::{Denial, Health, Rejection},
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

/// Returns the routes of the operator interface. All except the health check require the credential
/// with the given digest.
pub fn router<H: Handler>(handler: H, credential: Digest) -> Router {
    Router::new()
        .route("/state", get(state::<H>))
        .route("/configuration", get(configuration::<H>))
        .route("/patch", post(patch::<H>))
        .route("/metrics", get(metrics::<H>))
        .route_layer(middleware::from_fn_with_state(
            credential,
            access::require_credential,
        ))
        .route("/health", get(health::<H>))
        .with_state(handler)
}

async fn state<H: Handler>(State(handler): State<H>) -> Response {
    Json(handler.state()).into_response()
}

async fn configuration<H: Handler>(State(handler): State<H>) -> Response {
    let configuration = handler.configuration();
    Json(view::Configuration::from(configuration.as_ref())).into_response()
}

async fn metrics<H: Handler>(State(handler): State<H>) -> Response {
    let content_type = [(header::CONTENT_TYPE, METRICS_CONTENT_TYPE)];
    (content_type, handler.metrics()).into_response()
}

async fn health<H: Handler>(State(handler): State<H>) -> Response {
    let health = handler.health();
    let status = match health {
        Health::Serving => StatusCode::OK,
        Health::Unleased | Health::Draining => StatusCode::SERVICE_UNAVAILABLE,
    };
    (status, Json(health)).into_response()
}

async fn patch<H: Handler>(State(handler): State<H>, headers: HeaderMap, body: String) -> Response {
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
        Err(rejection) => return rejection_response(&rejection),
    };
    match handler.patch(patch).await {
        Ok(accepted) => Json(accepted).into_response(),
        Err(rejection) => rejection_response(&rejection),
    }
}

fn rejection_response(rejection: &Rejection) -> Response {
    let status = match rejection {
        Rejection::Stale { .. } => StatusCode::CONFLICT,
        Rejection::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        Rejection::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
        Rejection::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
    };
    (status, Json(rejection)).into_response()
}
