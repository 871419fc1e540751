//! Health checks of servers, as the platform's pages define them.

use std::net::SocketAddr;

use bytes::Bytes;
use futures::future::BoxFuture;
use http::{Request, StatusCode, header};
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::spawn_blocking;

use super::document;
use crate::answer_bounds::InformationalWatch;
use crate::control::endpoint_probe::EndpointProbe;
use crate::wire::{Announcement, Document};

/// Header in which a server names itself.
const INSTANCE_HEADER: &str = "instance-id";

/// Maximum size of the head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Checks the health of servers at the path that the document names for their service.
#[derive(Debug, Default)]
pub struct HealthProbe;

impl EndpointProbe for HealthProbe {
    fn runs(&self, document: &Document, endpoint: &Announcement) -> BoxFuture<'static, bool> {
        let (document, endpoint) = (document.clone(), endpoint.clone());
        Box::pin(async move { is_healthy(document, endpoint).await.unwrap_or(false) })
    }
}

/// Whether the server at the address of an endpoint is healthy and names itself as the endpoint; `None`
/// if that cannot be asked.
async fn is_healthy(document: Document, endpoint: Announcement) -> Option<bool> {
    let service = endpoint.service.clone();
    // A large document takes long to read.
    let path = spawn_blocking(move || document::read_health_path(&document, &service)).await;
    let path = path.ok()??;
    let addr: SocketAddr = endpoint.address.parse().ok()?;
    let stream = TcpStream::connect(addr).await.ok()?;
    let mut client = http1::Builder::new();
    let connecting = client.max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(stream));
    let (mut sender, conn) = connecting.await.ok()?;
    let req = Request::get(path).header(header::HOST, addr.to_string());
    let mut req = req.body(Empty::<Bytes>::new()).ok()?;
    let informational = InformationalWatch::default();
    informational.attach(&mut req);
    // The answer's body is not read: the connection ends with this call.
    let answer = tokio::select! {
        answer = sender.send_request(req) => answer.ok()?,
        _ = conn => return None,
        () = informational.exceeded() => return None,
    };
    let named = answer.headers().get(INSTANCE_HEADER);
    let is_named = named.is_some_and(|id| id.as_bytes() == endpoint.id.as_bytes());
    Some(answer.status() == StatusCode::OK && is_named)
}
