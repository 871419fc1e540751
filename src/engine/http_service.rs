//! HTTP client of a plain service.

use std::net::SocketAddr;

use futures::future::BoxFuture;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;

use super::http_client::{HttpClient, MAX_RESPONSE_BYTES, interrupted};
use super::{CallError, PlainService, ServiceCall, ServiceResponse};
use crate::faults;

/// Client of the plain service at an address.
pub struct HttpService {
    client: HttpClient,
}

impl HttpService {
    /// Builds a client; nothing is connected yet.
    pub fn new(addr: SocketAddr) -> Self {
        Self { client: HttpClient::new(addr) }
    }

    async fn send(&self, call: ServiceCall) -> Result<ServiceResponse, CallError> {
        let mut builder = Request::builder()
            .method(call.method.as_str())
            .uri(call.path.as_str())
            .header("host", "endpoint");
        if !call.content_type.is_empty() {
            builder = builder.header("content-type", call.content_type);
        }
        if !call.idempotency_key.is_empty() {
            builder = builder.header("idempotency-key", call.idempotency_key);
        }
        let req = builder
            .body(Full::new(call.body))
            .map_err(|e| CallError::NotReached { reason: e.to_string() })?;
        faults::inject("agent.service.send");
        let response = self.client.send_on_new_connection(req).await?;
        faults::inject("agent.service.answered");
        let status = response.status().as_u16();
        let content_type = response
            .headers()
            .get("content-type")
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        let body = body.collect().await.map_err(interrupted)?.to_bytes();
        Ok(ServiceResponse { status, content_type, body })
    }
}

impl PlainService for HttpService {
    fn call(&self, call: ServiceCall) -> BoxFuture<'_, Result<ServiceResponse, CallError>> {
        Box::pin(self.send(call))
    }

    fn probe(&self) -> BoxFuture<'_, bool> {
        Box::pin(async move { self.client.connect().await.is_ok() })
    }
}
