//! Servers that reject a long request before they have read it, and keep its connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::deployment::{Deployment, plain, wait_until};
use crate::raw_server::announce;

/// Size of a long request in bytes: more than the buffers of a connection hold.
const LONG_BYTES: usize = 4_000_000;

/// Size of the pieces in which the rest of a rejected request is read, and the time between them.
const PIECE_BYTES: usize = 16 * 1024;
const PIECE_TIME: Duration = Duration::from_millis(30);

/// Time for which requests are sent while the rest is read.
const WATCH_TIME: Duration = Duration::from_secs(2);

/// Time within which other requests are answered meanwhile.
const ANSWER_TIME: Duration = Duration::from_millis(500);

/// Reads the head of a request, and returns its id and the length of its body.
async fn read_head(stream: &mut TcpStream) -> Option<(String, usize)> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).ok()?;
    let field = |name: &str| {
        let mut lines = head.lines().filter_map(|line| line.split_once(": "));
        lines.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, v)| v.to_owned())
    };
    let len = field("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    Some((field("attempt-id")?, len))
}

async fn serve(mut stream: TcpStream, rejected: Arc<AtomicUsize>) -> Option<()> {
    loop {
        let (id, len) = read_head(&mut stream).await?;
        let is_long = len >= LONG_BYTES;
        if !is_long {
            stream.read_exact(&mut vec![0; len]).await.ok()?;
        }
        let status = if is_long { "413 Content Too Large" } else { "200 OK" };
        let response = format!(
            "HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\nServer-Signature: s\r\n\
             Content-Length: 0\r\n\r\n"
        );
        stream.write_all(response.as_bytes()).await.ok()?;
        if is_long {
            rejected.fetch_add(1, Ordering::SeqCst);
            for _ in 0..len.div_ceil(PIECE_BYTES) {
                tokio::time::sleep(PIECE_TIME).await;
                stream.read_exact(&mut [0; PIECE_BYTES]).await.ok()?;
            }
        }
    }
}

async fn accept(addr: SocketAddr, rejected: Arc<AtomicUsize>) {
    let listener = TcpListener::bind(addr).await.unwrap();
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve(stream, Arc::clone(&rejected)));
    }
}

/// Guards against a request that is put on the connection of a rejected one whose rest the server has not
/// read, and waits there without a time limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_behind_one_that_was_rejected_early_is_answered() {
    let mut nodes = Deployment::start(1, 1).await;
    let mut document = nodes.document();
    document["Limits"]["MaxBodyBytes"] = (2 * LONG_BYTES).into();
    nodes.put(&document).await;
    let addr = nodes.server_address(0);
    let rejected = Arc::new(AtomicUsize::new(0));
    tokio::spawn(accept(addr, Arc::clone(&rejected)));
    tokio::spawn(announce("orders", addr, nodes.operators_address(0)));
    wait_until("an answer", async || nodes.send(0, plain("POST", "/book/x")).await.0 == 200).await;
    let mut long = plain("POST", "/book/x");
    *long.body_mut() = Full::new(Bytes::from(vec![b'x'; LONG_BYTES]));
    assert_eq!(nodes.send(0, long).await.0, 413);
    assert_eq!(rejected.load(Ordering::SeqCst), 1, "the server rejected it");
    let start = Instant::now();
    while start.elapsed() < WATCH_TIME {
        let sent = Instant::now();
        let answer =
            tokio::time::timeout(WATCH_TIME, nodes.send(0, plain("POST", "/book/x"))).await;
        assert_eq!(answer.map(|(status, ..)| status), Ok(200));
        assert!(sent.elapsed() < ANSWER_TIME, "answered after {:?}", sent.elapsed());
    }
}
