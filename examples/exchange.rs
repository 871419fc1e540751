//! Measures the load exchange of one entry in a simulated minute: bytes, age of what others know and
//! processor time, by the number of entries that exchange all with all.

use std::hint::black_box;
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

use argh::FromArgs;
use bitternlead::gateway::load::in_flight::{InFlightSend, InFlightSends, SendKey};
use bitternlead::gateway::load::load_exchange::{LoadPeers, SendPacer};
use bitternlead::wire::SharedLoad;
use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Measure the load exchange of one entry.
#[derive(FromArgs)]
struct Options {
    /// requests per second of each entry (10)
    #[argh(option, default = "10.0")]
    rate: f64,
    /// rate of the link in Mbit/s; a tenth is for the exchange (20)
    #[argh(option, default = "20.0")]
    link: f64,
}

/// Time that is simulated, in milliseconds.
const SIMULATED_MS: u64 = 60_000;

/// Time from the send of a request to its first token, and to its end, in milliseconds.
const LIFE_MS: (u64, u64) = (150, 2_500);

/// Number of datagrams that are sent over the loopback interface to measure their cost.
const LOOPBACK_DATAGRAMS: u32 = 20_000;

fn send(n: u64) -> InFlightSend {
    InFlightSend {
        endpoint: format!("i-{:010}", n % 3_000).into(),
        request_hash: n.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        prompt_tokens: 5_000,
        output_tokens: 1_600,
        prefill_tokens: 5_000,
        prefill_ms: 21.0,
        pause_limit_ms: 200.0,
        held_tokens: 6_600,
        objective_ms: 300.0,
        ..InFlightSend::default()
    }
}

/// Simulates one entry and prints a row of the table.
fn simulate(entries: u16, options: &Options, datagram_us: f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (peers, control) = (LoadPeers::default(), SocketAddr::from(([10, 0, 0, 1], 1)));
    let listed: Vec<String> = (1..entries).map(|n| format!("10.0.0.2:{n}")).collect();
    peers.replace(control, &listed, control);
    let mut pacer = SendPacer::new(options.link * 1e6 / 8.0 * 0.1);
    let (mut own, mut other) = (InFlightSends::default(), InFlightSends::default());
    let mut live: Vec<(u64, SendKey)> = Vec::new();
    let mut unreported: Vec<u64> = Vec::new();
    let (mut bytes, mut datagrams, mut changes) = (0, 0, 0);
    let (mut age_ms, mut longest_ms) = (0, 0);
    let (mut encoding, mut applying) = (Duration::ZERO, Duration::ZERO);
    let (mut due_at, mut reported_at) = (None, 0);
    for at_ms in 1_000..1_000 + SIMULATED_MS {
        let now = Duration::from_millis(at_ms);
        if rng.random_bool(options.rate / 1_000.0) {
            live.push((at_ms, own.insert(send(at_ms))));
            unreported.push(at_ms);
        }
        live.retain(|(sent_ms, key)| {
            if at_ms - sent_ms == LIFE_MS.0 {
                own.add_output(now, *key, 46);
                unreported.push(at_ms);
            } else if at_ms - sent_ms == LIFE_MS.1 {
                own.remove(now, *key);
                unreported.push(at_ms);
                return false;
            }
            true
        });
        if due_at.is_none() && (!unreported.is_empty() || at_ms - reported_at >= 500) {
            due_at = Some(at_ms + pacer.delay(now).as_millis() as u64);
        }
        if due_at.is_none_or(|due| due > at_ms) {
            continue;
        }
        (due_at, reported_at) = (None, at_ms);
        let template =
            SharedLoad { node: "entry-1".into(), incarnation: 7, ..SharedLoad::default() };
        let mut datagram = Vec::new();
        let started = Instant::now();
        let taken = own.take_changes(now);
        let sent = peers.send_loads(
            &template,
            taken,
            || own.encode_local(now),
            |_, data| {
                datagrams += 1;
                datagram.clear();
                datagram.extend_from_slice(data);
                true
            },
        );
        encoding += started.elapsed();
        let started = Instant::now();
        let load = SharedLoad::decode(&datagram[..]).expect("a datagram decodes");
        black_box(other.apply_report(now, load));
        applying += started.elapsed();
        pacer.record(now, sent);
        bytes += sent;
        changes += unreported.len();
        for changed_ms in unreported.drain(..) {
            age_ms += at_ms - changed_ms;
            longest_ms = longest_ms.max(at_ms - changed_ms);
        }
    }
    let seconds = SIMULATED_MS as f64 / 1_000.0;
    let peers = f64::from(entries - 1);
    let datagrams_per_s = f64::from(datagrams) / seconds;
    // Each entry receives from each other one what it sends to each other one.
    let own_ms = (encoding.as_secs_f64() + applying.as_secs_f64() * peers) * 1e3 / seconds;
    let system_ms = datagrams_per_s * datagram_us / 1e3;
    println!(
        "| {entries} | {:.0} | {datagrams_per_s:.0} | {:.0} | {longest_ms} | {own_ms:.1} | {system_ms:.1} |",
        bytes as f64 / seconds / 1e3,
        age_ms as f64 / changes.max(1) as f64,
    );
}

/// Time to send a datagram and receive it over the loopback interface, in microseconds.
fn measure_datagram() -> std::io::Result<f64> {
    let (from, to) = (UdpSocket::bind("127.0.0.1:0")?, UdpSocket::bind("127.0.0.1:0")?);
    let (addr, data, mut buf) = (to.local_addr()?, [7; 150], [0; 2_048]);
    let started = Instant::now();
    for _ in 0..LOOPBACK_DATAGRAMS {
        from.send_to(&data, addr)?;
        to.recv_from(&mut buf)?;
    }
    Ok(started.elapsed().as_secs_f64() * 1e6 / f64::from(LOOPBACK_DATAGRAMS))
}

fn main() -> std::io::Result<()> {
    let options: Options = argh::from_env();
    let datagram_us = measure_datagram()?;
    println!("{datagram_us:.1} us to send a datagram and receive another one\n");
    println!(
        "| entries | kB/s | datagrams/s | mean age, ms | longest, ms | encode and apply, ms/s | send and receive, ms/s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for entries in [7, 30, 105, 300, 340] {
        simulate(entries, &options, datagram_us);
    }
    Ok(())
}
