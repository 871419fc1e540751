//! Costs of a control replica after a full stop of a large deployment: hundreds of gateways subscribe
//! at once, and thousands of endpoints announce themselves.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bitternlead::control::announcement_relay::relay_announcements;
use bitternlead::control::bootstrap::BootstrapService;
use bitternlead::control::core_config::Published;
use bitternlead::control::hub::{Hub, HubSettings};
use bitternlead::control::hub_handler::HubHandler;
use bitternlead::control::packing::{unpack_announcements, unpack_update};
use bitternlead::control::service::build_link_config;
use bitternlead::events::discarding_logger;
use bitternlead::wire::envelope::Body;
use bitternlead::wire::frame::{EnvelopeCodec, PROTOCOL_VERSION};
use bitternlead::wire::link::Link;
use bitternlead::wire::server::{Conn, Handler, serve};
use bitternlead::wire::{Announcement, Envelope, Hello, News, Replica, Subscribe};
use futures::{SinkExt, StreamExt};
use parking_lot::Mutex;
use prost::Message;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;

const GATEWAYS: usize = 300;
/// Gateways that decode what they get and count it; the others only receive. All of them share the
/// processors of the test.
const DECODING: usize = 30;

const ENDPOINTS: usize = 3_000;

/// Time in which every endpoint announces itself once.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_200);

/// Maximum wait for anything in these tests, which share a machine with others.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Threads of the replica, whose processor time is counted.
const REPLICA_THREADS: &str = "replica";

struct NoFallback;

impl Handler for NoFallback {
    fn on_message(&self, _conn: &Conn, _call: u64, _body: Body) {}

    fn on_closed(&self, _conn: &Conn) {}
}

/// Messages and bytes of one cause.
#[derive(Clone, Copy, Debug, Default)]
struct Traffic {
    messages: usize,
    bytes: usize,
}

impl Traffic {
    fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes;
    }
}

/// What a replica sent to the decoding subscribers, by cause.
#[derive(Clone, Copy, Debug, Default)]
struct Sent {
    first_updates: Traffic,
    changes: Traffic,
    load_addresses: Traffic,
    others: Traffic,
}

fn endpoint(n: usize, born: u64, seq: u64) -> Announcement {
    Announcement {
        id: format!("i-{:010x}", n.wrapping_mul(0x9E37_79B9) & 0xFF_FFFF_FFFF),
        service: format!("llama-{}", n % 4),
        address: format!("10.1.{}.{}:{}", n / 250, n % 250, 8_000 + n % 10),
        zone: format!("zone-{}", n % 3),
        slots: 12,
        born,
        seq,
        ..Announcement::default()
    }
}

/// Start of the endpoints that were known before the stop, and of those that started again.
const FIRST_START: u64 = 1_796_000_000_000;
const SECOND_START: u64 = FIRST_START + 60_000;

fn runtime(name: &str) -> Runtime {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    builder.worker_threads(2).thread_name(name).enable_all().build().unwrap()
}

/// Processor time of the replica's threads so far.
fn replica_processor_time() -> Duration {
    let tasks = std::fs::read_dir("/proc/self/task").unwrap().flatten();
    let of_replica = tasks.filter(|task| {
        let comm = std::fs::read_to_string(task.path().join("comm"));
        comm.is_ok_and(|comm| comm.trim() == REPLICA_THREADS)
    });
    let ns = of_replica.filter_map(|task| {
        let stat = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        stat.split_whitespace().next()?.parse::<u64>().ok()
    });
    Duration::from_nanos(ns.sum())
}

/// A hub that listens and knows all endpoints from its last run.
async fn start_hub(cx: CancellationToken) -> (Arc<Hub>, SocketAddr, watch::Sender<Published>) {
    let (published, watcher) = watch::channel(Published::default());
    let (relay, _) = mpsc::unbounded_channel();
    let known = (0..ENDPOINTS).map(|n| endpoint(n, FIRST_START, 100)).collect();
    let silence = MAX_WAIT * 10;
    let cfg = HubSettings { silence_timeout: silence, restored: known, ..HubSettings::default() };
    let hub = Arc::new(Hub::new(cfg, watcher, relay, discarding_logger()));
    tokio::spawn(Arc::clone(&hub).run(cx.clone()));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let bootstrap = BootstrapService::new(None, addr, 0);
    let handler = HubHandler { hub: Arc::clone(&hub), bootstrap, fallback: Arc::new(NoFallback) };
    let link = build_link_config("control", "control");
    tokio::spawn(serve(listener, Arc::new(handler), link, discarding_logger(), cx));
    (hub, addr, published)
}

/// State of the test's subscribers.
#[derive(Default)]
struct Gateways {
    sent: Sent,
    /// Gateways that know all endpoints, by the start of these.
    complete: HashMap<u64, usize>,
    /// Subscriptions that were begun, the repeated ones included.
    subscriptions: usize,
}

/// Subscribes as a gateway does, again after each loss of the connection, and counts what arrives.
async fn run_gateway(number: usize, addr: SocketAddr, state: Arc<Mutex<Gateways>>) {
    let cx = CancellationToken::new();
    let mut starts: HashMap<String, u64> = HashMap::new();
    let mut counts: HashMap<u64, usize> = HashMap::new();
    loop {
        let link = build_link_config(&format!("gateway-{number}"), "entry");
        let Ok(link) = Link::connect(addr, &link, &cx).await else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let mut call = link.open();
        let load_address = format!("10.0.{}.{}:7341", number / 250, number % 250);
        let subscribe = Subscribe { load_address, reads_packed: true, ..Subscribe::default() };
        state.lock().subscriptions += 1;
        if call.send(Body::Subscribe(subscribe)).await.is_err() {
            continue;
        }
        while let Some(Body::News(update)) = call.next().await {
            let bytes = update.encoded_len();
            if number >= DECODING {
                continue;
            }
            let update = unpack_update(update).unwrap();
            count(&mut state.lock().sent, &update, bytes);
            for announcement in update.announcements {
                let born = announcement.born;
                let before = starts.insert(announcement.id, born);
                if let Some(before) = before.filter(|before| *before != born) {
                    *counts.entry(before).or_default() -= 1;
                }
                if before != Some(born) {
                    *counts.entry(born).or_default() += 1;
                    if counts[&born] == ENDPOINTS {
                        *state.lock().complete.entry(born).or_default() += 1;
                    }
                }
            }
        }
    }
}

/// Attributes an update to its cause.
fn count(sent: &mut Sent, update: &News, bytes: usize) {
    let cause = if update.full {
        &mut sent.first_updates
    } else if !update.announcements.is_empty() {
        &mut sent.changes
    } else if update.load_addresses_changed {
        &mut sent.load_addresses
    } else {
        &mut sent.others
    };
    cause.add(bytes);
}

async fn wait_until_complete(state: &Mutex<Gateways>, start: u64) -> Duration {
    let started = Instant::now();
    loop {
        let complete = state.lock().complete.get(&start).copied().unwrap_or_default();
        if complete >= DECODING {
            break;
        }
        assert!(started.elapsed() < MAX_WAIT, "{complete} gateways know all endpoints");
        sleep(Duration::from_millis(5)).await;
    }
    started.elapsed()
}

/// Each of hundreds of gateways gets the list of all endpoints when it subscribes, and each change
/// after that. Sent as they are, both take a control host's link of 100 Mbit/s for seven seconds each,
/// with elections and documents behind them.
#[test]
fn the_start_of_all_gateways_and_endpoints_costs_a_replica_little() {
    let (replica, gateways) = (runtime(REPLICA_THREADS), runtime("gateways"));
    let cx = CancellationToken::new();
    let (hub, addr, _published) = replica.block_on(start_hub(cx.clone()));
    let state: Arc<Mutex<Gateways>> = Arc::default();
    let idle = replica_processor_time();
    for number in 0..GATEWAYS {
        gateways.spawn(run_gateway(number, addr, Arc::clone(&state)));
    }
    let elapsed = gateways.block_on(wait_until_complete(&state, FIRST_START));
    gateways.block_on(async { sleep(Duration::from_millis(700)).await });
    let subscribed = state.lock().sent;
    let after_lists = replica_processor_time();
    println!("first updates after {elapsed:?}, {:?}", after_lists - idle);
    println!("  {subscribed:?}");
    let announcing = replica.spawn(async move {
        for n in 0..ENDPOINTS {
            hub.announce(endpoint(n, SECOND_START, 1));
            if n % 25 == 0 {
                sleep(ANNOUNCE_INTERVAL * 25 / ENDPOINTS as u32).await;
            }
        }
    });
    let elapsed = gateways.block_on(wait_until_complete(&state, SECOND_START));
    gateways.block_on(announcing).unwrap();
    let (sent, subscriptions) = {
        let state = state.lock();
        (state.sent, state.subscriptions)
    };
    println!("changes after {elapsed:?}, {:?}", replica_processor_time() - after_lists);
    println!("  {sent:?}, {subscriptions} subscriptions");
    let bytes_per_list = sent.first_updates.bytes / sent.first_updates.messages;
    assert!(bytes_per_list < 90_000, "{bytes_per_list} bytes for the list of all endpoints");
    let changes = sent.changes.bytes / DECODING;
    assert!(changes < 90_000, "{changes} bytes for a change of each endpoint");
    let load_addresses = sent.load_addresses.bytes / sent.load_addresses.messages;
    assert!(load_addresses < 2_000, "{load_addresses} bytes for a list of load addresses");
    assert!(subscriptions < 2 * GATEWAYS, "{subscriptions} subscriptions");
    gateways.shutdown_background();
    replica.shutdown_background();
}

/// A replica that counts what another one relays to it.
struct CountingReplica {
    traffic: Arc<Mutex<(Traffic, HashMap<String, u64>)>>,
}

impl Handler for CountingReplica {
    fn on_message(&self, _conn: &Conn, _call: u64, body: Body) {
        let mut state = self.traffic.lock();
        match body {
            Body::PackedAnnouncements(packed) => {
                state.0.add(packed.encoded_len());
                let announcements = unpack_announcements(&packed).unwrap();
                state.1.extend(announcements.into_iter().map(|a| (a.id, a.seq)));
            }
            Body::Announcement(announcement) => {
                state.0.add(announcement.encoded_len());
                state.1.insert(announcement.id, announcement.seq);
            }
            other => panic!("unexpected {other:?}"),
        }
    }

    fn on_closed(&self, _conn: &Conn) {}
}

/// Guards against relays that are sent one by one: six replicas relay every announcement to five others,
/// so that their traffic grows with the endpoints.
#[test]
fn relayed_announcements_cost_a_replica_little() {
    let (replica, others) = (runtime(REPLICA_THREADS), runtime("others"));
    let cx = CancellationToken::new();
    let traffic: Arc<Mutex<(Traffic, HashMap<String, u64>)>> = Arc::default();
    let mut replicas = Vec::new();
    for id in 0..5 {
        let listener = others.block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
        let address = listener.local_addr().unwrap().to_string();
        replicas.push(Replica { id, address, ..Replica::default() });
        let handler = Arc::new(CountingReplica { traffic: Arc::clone(&traffic) });
        let link = build_link_config("control", "control");
        others.spawn(serve(listener, handler, link, discarding_logger(), cx.clone()));
    }
    let (_published, watcher) = watch::channel(Published { replicas, ..Published::default() });
    let (relay, relay_rx) = mpsc::unbounded_channel();
    let link = build_link_config("control", "control");
    replica.spawn(relay_announcements(relay_rx, watcher, "own".into(), link, cx.clone()));
    let idle = replica_processor_time();
    // The endpoints that announce themselves at one of six replicas.
    let of_replica = ENDPOINTS / 6;
    let rounds = 4;
    let announcing = others.spawn(async move {
        for seq in 1..=rounds {
            for n in 0..of_replica {
                let _ = relay.send(endpoint(n, FIRST_START, seq).into());
                if n % 10 == 0 {
                    sleep(ANNOUNCE_INTERVAL * 10 / of_replica as u32).await;
                }
            }
        }
        sleep(Duration::from_millis(500)).await;
    });
    others.block_on(async { timeout(MAX_WAIT, announcing).await.unwrap().unwrap() });
    let (traffic, known) = {
        let traffic = traffic.lock();
        (traffic.0, traffic.1.len())
    };
    let processor = replica_processor_time() - idle;
    println!("relayed to 5 in {rounds} rounds: {traffic:?}, {processor:?}, {known} known");
    assert_eq!(known, of_replica);
    let (all, plain_bytes) =
        (5 * of_replica * rounds as usize, endpoint(1, FIRST_START, 1).encoded_len());
    assert!(traffic.messages < all / 2, "{} messages", traffic.messages);
    assert!(traffic.bytes < all * plain_bytes / 2, "{} bytes", traffic.bytes);
}

/// Replicas of earlier builds do not read packed announcements, and say so by their greeting.
#[tokio::test]
async fn a_replica_of_an_earlier_build_gets_single_announcements() {
    const ANNOUNCED: usize = 100;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let replicas = vec![Replica { id: 1, address, ..Replica::default() }];
    let (_published, watcher) = watch::channel(Published { replicas, ..Published::default() });
    let (relay, relay_rx) = mpsc::unbounded_channel();
    let link = build_link_config("control", "control");
    tokio::spawn(relay_announcements(
        relay_rx,
        watcher,
        "own".into(),
        link,
        CancellationToken::new(),
    ));
    for n in 0..ANNOUNCED {
        relay.send(endpoint(n, FIRST_START, 1).into()).unwrap();
    }
    let (stream, _) = listener.accept().await.unwrap();
    let mut frames = Framed::new(stream, EnvelopeCodec::new(1 << 20));
    frames.next().await.unwrap().unwrap();
    let hello = Hello { version: PROTOCOL_VERSION, ..Hello::default() };
    frames.send(Envelope { call: 0, body: Some(Body::Hello(hello)) }).await.unwrap();
    for _ in 0..ANNOUNCED {
        let frame = timeout(MAX_WAIT, frames.next()).await.unwrap().unwrap().unwrap();
        assert!(matches!(frame.body, Some(Body::Announcement(_))), "{frame:?}");
    }
}
