//! Requests that come late in the planned stop of an entry.

use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use nix::sys::signal::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::deployment::{API_KEY, Deployment, id_of, new_id, plain, wait_until};
use crate::raw_server::{End, RawServer, Script};

const RESPONSE: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: s\r\n\
    Content-Length: 11\r\n\r\nhello world";

/// Time from the signal to the end of the process, of the settings.
const GRACE: Duration = Duration::from_secs(8);

/// An entry and a server of orders that takes some time for each request.
async fn start(work: Duration) -> (Deployment, RawServer) {
    let mut nodes = Deployment::start(1, 1).await;
    let mut document = nodes.document();
    document["Routes"][2]["TimeoutMs"] = 20_000.into();
    nodes.put(&document).await;
    let (addr, control) = (nodes.server_address(0), nodes.operators_address(0));
    let response = RESPONSE.to_owned();
    let script = Script { work: Duration::ZERO, response, cut_at: usize::MAX, end: End::Close };
    let server = RawServer::start("orders", addr, control, script).await;
    wait_until("a whole response", async || nodes.send(0, plain("POST", "/book/x")).await.0 == 200)
        .await;
    server.script.lock().work = work;
    (nodes, server)
}

/// Guards against a booking whose body is still on its way at the signal: it was passed on late in the
/// grace period and cut at its end, though it may not be repeated.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_is_whole_late_in_the_grace_is_refused_unrun() {
    let (nodes, server) = start(GRACE / 2).await;
    let id = new_id();
    let mut stream = TcpStream::connect(nodes.callers_address(0)).await.unwrap();
    let head = format!(
        "POST /book/x HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 20000\r\n\
         Api-Key: {API_KEY}\r\nContent-Length: 100\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    nodes.entries[0].signal(Signal::SIGTERM);
    for _ in 0..100 {
        stream.write_all(b"x").await.unwrap();
        tokio::time::sleep(GRACE / 2 / 100).await;
    }
    let mut answer = Vec::new();
    let _ = tokio::time::timeout(2 * GRACE, stream.read_to_end(&mut answer)).await;
    let answer = String::from_utf8_lossy(&answer).into_owned();
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
    assert!(!server.arrived.lock().contains(&id), "it was refused and ran");
}

/// Guards against requests on connections that stay open, sent at any time of the grace period, that are
/// passed on and cut at its end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_is_passed_on_during_a_stop_is_answered() {
    let (nodes, server) = start(Duration::from_millis(1200)).await;
    server.arrived.lock().clear();
    let addr = nodes.callers_address(0);
    let start = Instant::now();
    let callers = (0..12).map(|n| {
        tokio::spawn(async move {
            let mut answered = Vec::new();
            tokio::time::sleep(Duration::from_millis(90 * n)).await;
            while start.elapsed() < GRACE {
                let Ok(stream) = TcpStream::connect(addr).await else { break };
                let Ok((mut sender, conn)) = http1::handshake(TokioIo::new(stream)).await else {
                    continue;
                };
                tokio::spawn(conn);
                while sender.ready().await.is_ok() {
                    let req = plain("POST", "/book/x");
                    let id = id_of(&req);
                    let Ok(answer) = sender.send_request(req).await else { break };
                    if answer.into_body().collect().await.is_ok() {
                        answered.push(id);
                    }
                }
            }
            answered
        })
    });
    let callers: Vec<_> = callers.collect();
    tokio::time::sleep(Duration::from_millis(1500)).await;
    nodes.entries[0].signal(Signal::SIGTERM);
    let mut answered = std::collections::BTreeSet::new();
    for caller in callers {
        answered.extend(caller.await.unwrap());
    }
    let arrived = server.arrived.lock().clone();
    assert!(arrived.len() > 20, "only {} requests arrived", arrived.len());
    let cut: Vec<&String> = arrived.iter().filter(|id| !answered.contains(*id)).collect();
    assert!(cut.is_empty(), "passed on and cut: {cut:?}");
}
