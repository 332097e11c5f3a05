//! HTTP listeners with a bounded number of connections and bounded request bodies.

use crate::{connection::Connection, slot::Slots, transfer};
use axum::{
    extract::{Request, State},
    http::{StatusCode, header::CONTENT_LENGTH},
    middleware::Next,
    response::{IntoResponse as _, Response},
    serve,
};
use std::{io, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    net::TcpListener,
    sync::Semaphore,
    time::{sleep, timeout},
};

/// Delay after a failed accept, for example because no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Connections to a listener whose process sets no limit.
const DEFAULT_CONNECTIONS: usize = 1_024;
/// Time within which a large body must be complete, once its memory is reserved.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// Accepts a bounded number of connections.
#[derive(Debug)]
pub struct Listener {
    inner: TcpListener,
    slots: Slots,
}

impl Listener {
    /// Bounds the connections of a listener.
    #[must_use]
    pub fn new(inner: TcpListener, slots: Slots) -> Self {
        Self { inner, slots }
    }
}

impl From<TcpListener> for Listener {
    /// Bounds the connections of a listener whose process sets no limit.
    fn from(inner: TcpListener) -> Self {
        Self::new(inner, Slots::new("http", DEFAULT_CONNECTIONS))
    }
}

impl serve::Listener for Listener {
    type Io = Connection;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (Connection, SocketAddr) {
        loop {
            match self.inner.accept().await {
                Ok((stream, address)) => {
                    return (Connection::new(stream, self.slots.take()), address);
                }
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.inner.local_addr()
    }
}

/// Memory for the bodies of large requests. Clones share it.
#[derive(Debug, Clone)]
pub struct Bodies {
    units: Arc<Semaphore>,
    /// Longest body that the router accepts, in bytes.
    longest: usize,
}

impl Bodies {
    /// Creates a budget that holds at least one longest body.
    #[must_use]
    pub fn new(bytes: usize, longest: usize) -> Self {
        Self {
            units: transfer::budget(bytes, longest),
            longest,
        }
    }
}

/// Reserves the memory of a large body before it is read, and limits the time for reading it.
///
/// It wraps handlers that respond from memory: the time limit includes them.
pub async fn reserve_body(State(bodies): State<Bodies>, request: Request, next: Next) -> Response {
    let length = request.headers().get(CONTENT_LENGTH);
    let length = length.and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
    let has_body = length.is_some_and(|length| length > 0);
    let length = match length {
        Some(length) => length,
        None if axum::body::HttpBody::is_end_stream(request.body()) => 0,
        // The length of a body in chunks is not known before it ends.
        None => bodies.longest,
    };
    if length > bodies.longest {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    }
    if length == 0 && !has_body {
        return next.run(request).await;
    }
    let units = transfer::units(length);
    let reserved = match length {
        ..=transfer::SMALL_BYTES => None,
        _ => match bodies.units.acquire_many(units).await {
            Ok(reserved) => Some(reserved),
            Err(_) => return StatusCode::SERVICE_UNAVAILABLE.into_response(),
        },
    };
    let response = timeout(BODY_TIMEOUT, next.run(request)).await;
    drop(reserved);
    response.unwrap_or_else(|_| {
        metrics::counter!("fulmargw_incomplete_bodies_total").increment(1);
        StatusCode::REQUEST_TIMEOUT.into_response()
    })
}
