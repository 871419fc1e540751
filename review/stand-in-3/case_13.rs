//! A planned stop of a host cuts off an answer that its server gave long before, since the client
//! reads slowly.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::Duration;

use crate::record::Record;
use crate::server::Server;
use crate::system::{GRACE, HEARTBEAT, System};

const CONFIG: &str = r#"{"Version":1,"Routes":[{"Name":"order","Hostname":"shop.example","PathPrefix":"/orders/","Type":"unsafe","TimeoutMs":15000,"GoalMs":300,"Prio":2,"Backend":"orders","MaxAttempts":1,"Public":true}],"Backends":[{"Name":"orders","HealthPath":"/healthz","MaxConns":110,"Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

/// Size of the answer in bytes.
const ANSWER_BYTES: usize = 1_500_000;

/// Bytes that the client reads at a time, and the pause after that: 120 kB/s.
const READ_BYTES: usize = 12_000;
const READ_PAUSE: Duration = Duration::from_millis(100);

/// Number of clients.
const CLIENTS: usize = 5;

/// Runs the case; `trouble` says whether the host is stopped.
pub fn run(folder: &Path, record: &Arc<Record>, trouble: bool) -> ExitCode {
    let mut system = System::start(folder, 3);
    if !system.put_config(CONFIG, record) || !system.wait_ready() {
        record.say("the system did not start");
        return ExitCode::from(2);
    }
    let controls: Vec<_> = (0..3).map(|host| system.control(host)).collect();
    let work = Duration::from_millis(60);
    let addr = system.server(0);
    let server =
        Server::start("i-0", "orders", "zone-a", addr, work, ANSWER_BYTES, Arc::clone(record));
    server.announce(controls, HEARTBEAT);
    sleep(Duration::from_secs(3));
    let entry = system.frontend(0);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = Arc::clone(record);
            thread::spawn(move || read_slowly(entry, number, &record))
        })
        .collect();
    sleep(Duration::from_millis(1500));
    record.say(&format!("the server has answered {} requests", server.answered()));
    if server.answered() < CLIENTS {
        return ExitCode::from(2);
    }
    if trouble {
        record.say("the platform sends SIGTERM to the processes of the host");
        system.entries[0].signal("TERM");
        system.controls[0].signal("TERM");
        let started = record.now();
        while !system.entries[0].has_ended() && record.now() < started + GRACE {
            sleep(Duration::from_millis(20));
        }
        let took = (record.now() - started).as_secs_f64();
        record.say(&format!("the entry has ended by itself {took:.3} s after SIGTERM"));
        system.entries[0].kill();
        system.controls[0].kill();
    }
    let whole: Vec<bool> = clients.into_iter().map(|c| c.join().unwrap_or(false)).collect();
    let cut = whole.iter().filter(|whole| !**whole).count();
    record
        .say(&format!("{cut} of {CLIENTS} answers were cut off, all of them to requests that ran"));
    if cut == 0 { ExitCode::SUCCESS } else { ExitCode::from(1) }
}

/// Sends a request and reads its answer slowly; true if all of it came.
fn read_slowly(entry: SocketAddr, number: usize, record: &Record) -> bool {
    let Ok(mut stream) = TcpStream::connect(entry) else { return false };
    let attempt = format!("51{number:06x}cafecafe");
    let request = format!(
        "POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 15000\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    if stream.write_all(request.as_bytes()).is_err() {
        return false;
    }
    record.note(&format!("client sends {attempt}"));
    let (mut received, mut buf) = (Vec::new(), vec![0; READ_BYTES]);
    loop {
        match stream.read(&mut buf) {
            Ok(0) => break,
            Ok(len) => received.extend_from_slice(&buf[..len]),
            Err(e) => {
                record.note(&format!("client of {attempt}: {e}"));
                break;
            }
        }
        let head_end = received.windows(4).position(|w| w == b"\r\n\r\n").map(|at| at + 4);
        if head_end.is_some_and(|end| received.len() >= end + ANSWER_BYTES) {
            record.say(&format!("client of {attempt} has the whole answer"));
            return true;
        }
        sleep(READ_PAUSE);
    }
    record.say(&format!("client of {attempt}: the channel ended after {} bytes", received.len()));
    false
}
