//! Servers whose response breaks off, at each of its bytes.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::deployment::{Deployment, ask, plain, wait_until};
use crate::raw_server::{End, RawServer, Script};

const PLAIN: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: s\r\n\
    Content-Type: text/plain\r\nContent-Length: 11\r\n\r\nhello world";

const STREAM: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: {id}\r\n\
    Server-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n\
    f\r\nid: 1\ndata: a\n\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";

/// A response without a length, which ends with its connection.
const UNTIL_CLOSED: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: s\r\n\
    Connection: close\r\n\r\nhello world";

/// An entry and one server for one of the services.
async fn start(service: &'static str, response: &str) -> (Deployment, RawServer) {
    let mut nodes = Deployment::start(1, 1).await;
    let document = nodes.document();
    nodes.put(&document).await;
    let (addr, control) = (nodes.server_address(0), nodes.operators_address(0));
    let response = response.to_owned();
    let script = Script { work: Duration::ZERO, response, cut_at: usize::MAX, end: End::Close };
    let server = RawServer::start(service, addr, control, script).await;
    (nodes, server)
}

/// Length of a response to a request of a test.
fn response_len(response: &str) -> usize {
    response.replace("{id}", "0123456789abcdef").len()
}

/// Sends one request after another over one connection per response, each cut at another byte, and
/// asserts that none looks complete.
async fn check_cuts(nodes: &Deployment, server: &RawServer, path: &str, end: End, first: usize) {
    let response = server.script.lock().response.clone();
    let streams = path.starts_with("/tell");
    for cut_at in first..response_len(&response) {
        let req = || if streams { ask(path, 900) } else { plain("POST", path) };
        *server.script.lock() =
            Script { work: Duration::ZERO, response: response.clone(), cut_at: usize::MAX, end };
        let is_served = async || matches!(nodes.send(0, req()).await, (200, _, Ok(_)));
        wait_until("a whole response", is_served).await;
        let stream = TcpStream::connect(nodes.callers_address(0)).await.unwrap();
        let (mut sender, conn) = http1::handshake(TokioIo::new(stream)).await.unwrap();
        tokio::spawn(conn);
        if cut_at % 2 == 0 {
            // The entry uses a connection to the server again.
            let whole = sender.send_request(req()).await.unwrap();
            assert!(whole.into_body().collect().await.is_ok());
            sender.ready().await.unwrap();
        }
        server.script.lock().cut_at = cut_at;
        let Ok(answer) = sender.send_request(req()).await else { continue };
        let status = answer.status();
        let body = answer.into_body().collect().await;
        let is_whole = status == 200 && body.is_ok();
        assert!(!is_whole, "{end:?} at byte {cut_at}: {status}, {:?}", body.map(|b| b.to_bytes()));
    }
}

/// Guards against a response that broke off in its head or body and that the caller gets as a whole
/// one with an empty or short body.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_response_that_breaks_off_anywhere_is_never_whole() {
    let (nodes, server) = start("orders", PLAIN).await;
    for end in [End::Close, End::Reset] {
        check_cuts(&nodes, &server, "/book/x", end, 0).await;
    }
}

/// Guards against the same for streams: one that ends before its last chunk is not complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_breaks_off_anywhere_is_never_whole() {
    let (nodes, server) = start("engines", STREAM).await;
    for end in [End::Close, End::Reset] {
        check_cuts(&nodes, &server, "/tell/x", end, 0).await;
    }
}

/// Guards against a response without a length that is reset on the way, or closed within its head, and
/// counts as complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_response_that_ends_with_its_connection_is_whole_only_if_closed_after_its_head() {
    let (nodes, server) = start("orders", PLAIN).await;
    wait_until("a whole response", async || nodes.send(0, plain("POST", "/book/x")).await.0 == 200)
        .await;
    let head_len = response_len(UNTIL_CLOSED) - "hello world".len();
    for end in [End::Close, End::Reset] {
        let last = if end == End::Close { head_len } else { response_len(UNTIL_CLOSED) };
        for cut_at in 0..last {
            *server.script.lock() =
                Script { work: Duration::ZERO, response: UNTIL_CLOSED.to_owned(), cut_at, end };
            let (status, _, body) = nodes.send(0, plain("POST", "/book/x")).await;
            assert!(!(status == 200 && body.is_ok()), "{end:?} at byte {cut_at}: {body:?}");
            // Failures would keep the server from being used.
            *server.script.lock() = Script {
                work: Duration::ZERO,
                response: PLAIN.to_owned(),
                cut_at: usize::MAX,
                end,
            };
            wait_until("a whole response", async || {
                nodes.send(0, plain("POST", "/book/x")).await.0 == 200
            })
            .await;
        }
    }
}
