//! Clients that send requests of a `safe` route one after the other over kept channels.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::http::Client;
use crate::record::Record;

/// When each request was sent, by the id of the attempt.
type Sent = Arc<Mutex<HashMap<String, Duration>>>;

/// Clients of all entries.
pub struct Traffic {
    sent: Sent,
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl Traffic {
    /// No clients yet.
    pub fn new() -> Self {
        let (sent, stop) = (Sent::default(), Arc::new(AtomicBool::new(false)));
        Self { sent, stop, clients: Vec::new() }
    }

    /// Adds clients of an entry.
    pub fn add(&mut self, entry: SocketAddr, clients: usize, record: &Arc<Record>) {
        record.say(&format!("{clients} clients begin to send to {entry}"));
        for _ in 0..clients {
            let (sent, stop) = (Arc::clone(&self.sent), Arc::clone(&self.stop));
            let (record, name) = (Arc::clone(record), format!("{:04x}", self.clients.len()));
            let run = move || run_client(&name, entry, &sent, &stop, &record);
            self.clients.push(thread::spawn(run));
        }
    }

    /// Stops all clients, and returns when each request was sent.
    pub fn finish(self) -> HashMap<String, Duration> {
        self.stop.store(true, Ordering::SeqCst);
        for client in self.clients {
            let _ = client.join();
        }
        std::mem::take(&mut self.sent.lock().unwrap())
    }
}

fn run_client(name: &str, addr: SocketAddr, sent: &Sent, stop: &AtomicBool, record: &Record) {
    let mut connection: Option<Client> = None;
    for number in 0u32.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let attempt = format!("{name}{number:08x}cafe");
        let head = format!(
            "GET /orders/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 2000\r\n"
        );
        let kept = match connection.take() {
            Some(kept) => Ok(kept),
            None => Client::connect(addr, Duration::from_secs(3)),
        };
        sent.lock().unwrap().insert(attempt.clone(), record.now());
        let answer = kept.and_then(|mut client| Ok((client.call(&head, b"")?, client)));
        match answer {
            Ok((answer, client)) => {
                record.note(&format!("client of {addr} gets {} for {attempt}", answer.status()));
                let closes = answer.header("connection").is_some_and(|v| v.contains("close"));
                connection = (!closes).then_some(client);
            }
            Err(e) => record.note(&format!("client of {addr} gets no answer for {attempt}: {e}")),
        }
        thread::sleep(Duration::from_millis(20));
    }
}
