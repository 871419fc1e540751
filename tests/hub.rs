//! Updates of a control replica to its subscribers when many endpoints or entries start at once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bitternlead::control::bootstrap::BootstrapService;
use bitternlead::control::core_config::Published;
use bitternlead::control::hub::{Hub, HubSettings};
use bitternlead::control::hub_handler::HubHandler;
use bitternlead::control::packing::unpack_update;
use bitternlead::control::service::build_link_config;
use bitternlead::events::discarding_logger;
use bitternlead::wire::envelope::Body;
use bitternlead::wire::link::{Call, Link};
use bitternlead::wire::server::{Conn, Handler, serve};
use bitternlead::wire::{Announcement, News, Standing, Subscribe};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, timeout};
use tokio_util::sync::CancellationToken;

struct NoFallback;

impl Handler for NoFallback {
    fn on_message(&self, _conn: &Conn, _call: u64, _body: Body) {}

    fn on_closed(&self, _conn: &Conn) {}
}

/// A hub that listens, with the keeper of its state.
struct Replica {
    hub: Arc<Hub>,
    addr: SocketAddr,
    _published: watch::Sender<Published>,
    cx: CancellationToken,
}

impl Replica {
    async fn start() -> Self {
        let cx = CancellationToken::new();
        let (published, watcher) = watch::channel(Published::default());
        let (relay, _) = mpsc::unbounded_channel();
        let cfg =
            HubSettings { silence_timeout: Duration::from_secs(60), ..HubSettings::default() };
        let hub = Arc::new(Hub::new(cfg, watcher, relay, discarding_logger()));
        tokio::spawn(Arc::clone(&hub).run(cx.clone()));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let bootstrap = BootstrapService::new(None, addr, 0);
        let handler = Arc::new(HubHandler {
            hub: Arc::clone(&hub),
            bootstrap,
            fallback: Arc::new(NoFallback),
        });
        let link = build_link_config("control", "control");
        tokio::spawn(serve(listener, handler, link, discarding_logger(), cx.clone()));
        Self { hub, addr, _published: published, cx }
    }

    async fn subscribe(&self, number: u16) -> (Link, Call) {
        let load_address = load_address(number);
        self.subscribe_with(number, Subscribe { load_address, ..Subscribe::default() }).await
    }

    async fn subscribe_with(&self, number: u16, subscribe: Subscribe) -> (Link, Call) {
        let link = build_link_config(&format!("entry-{number}"), "entry");
        let link = Link::connect(self.addr, &link, &self.cx).await.unwrap();
        let call = link.open();
        call.send(Body::Subscribe(subscribe)).await.unwrap();
        (link, call)
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        self.cx.cancel();
    }
}

fn load_address(number: u16) -> String {
    format!("10.0.0.1:{number}")
}

async fn next_update(call: &mut Call) -> Option<News> {
    match timeout(Duration::from_secs(10), call.next()).await.expect("an update arrives") {
        Some(Body::News(update)) => Some(update),
        _ => None,
    }
}

fn announcement(n: usize, seq: u64, standing: Standing) -> Announcement {
    Announcement {
        id: format!("i-{n}"),
        address: format!("10.1.{}.{}:80", n / 250, n % 250),
        standing: standing.into(),
        born: 1,
        seq,
        ..Announcement::default()
    }
}

/// A message for each endpoint would overflow the subscriber's queue, so that it is disconnected and
/// starts over.
#[tokio::test]
async fn endpoints_that_announce_themselves_at_once_come_in_few_updates() {
    let replica = Replica::start().await;
    let (_link, mut call) = replica.subscribe(1).await;
    assert!(next_update(&mut call).await.unwrap().full);
    for n in 0..3_000 {
        replica.hub.announce(announcement(n, 1, Standing::Ready));
    }
    let (mut known, mut updates) = (std::collections::HashSet::new(), 0);
    while known.len() < 3_000 {
        let update = next_update(&mut call).await.expect("the subscription holds");
        known.extend(update.announcements.into_iter().map(|a| a.id));
        updates += 1;
    }
    assert!(updates < 50, "{updates} updates");
    let changed_at = Instant::now();
    replica.hub.announce(announcement(7, 2, Standing::Ready));
    replica.hub.announce(announcement(8, 2, Standing::Draining));
    let update = next_update(&mut call).await.unwrap();
    let delay = changed_at.elapsed();
    let changed: Vec<String> = update.announcements.into_iter().map(|a| a.id).collect();
    assert_eq!(changed, ["i-8"], "an announcement without change is not published");
    assert!(delay < Duration::from_millis(100), "the change took {delay:?}");
}

/// Lists of load addresses to each of hundreds of entries, for each that starts, would take all of a
/// host's processor.
#[tokio::test]
async fn entries_that_start_at_once_are_listed_in_few_updates() {
    const ENTRIES: u16 = 150;
    let replica = Replica::start().await;
    let (_link, mut first) = replica.subscribe(1).await;
    let initial = next_update(&mut first).await.unwrap();
    assert_eq!(initial.load_addresses, [load_address(1)], "the first update lists the entries");
    let mut links = Vec::new();
    for number in 2..=ENTRIES {
        links.push(replica.subscribe(number).await);
    }
    let initial = next_update(&mut links.last_mut().unwrap().1).await.unwrap();
    assert!(initial.load_addresses.contains(&load_address(ENTRIES)));
    let mut updates = 0;
    loop {
        let update = next_update(&mut first).await.expect("the subscription holds");
        updates += usize::from(update.load_addresses_changed);
        if update.load_addresses.len() == usize::from(ENTRIES) {
            break;
        }
    }
    assert!(updates <= 40, "{updates} lists for {ENTRIES} entries");
}

/// The compressed list is kept for later subscribers. One that misses the changes since then would
/// route to endpoints that have left.
#[tokio::test]
async fn a_list_that_was_built_earlier_comes_with_the_changes_since() {
    const ENDPOINTS: usize = 1_000;
    let replica = Replica::start().await;
    for n in 0..ENDPOINTS {
        replica.hub.announce(announcement(n, 1, Standing::Ready));
    }
    let packed = Subscribe { reads_packed: true, ..Subscribe::default() };
    let (_first_link, mut first) = replica.subscribe_with(1, packed.clone()).await;
    let list = next_update(&mut first).await.unwrap();
    assert!(list.full && list.unpacked_len > 0 && list.announcements.is_empty());
    replica.hub.announce(announcement(8, 2, Standing::Draining));
    replica.hub.announce(announcement(ENDPOINTS, 1, Standing::Ready));
    let (_second_link, mut second) = replica.subscribe_with(2, packed).await;
    let update = next_update(&mut second).await.unwrap();
    assert!(update.full && update.announcements.len() == 2, "the list was built anew");
    let update = unpack_update(update).unwrap();
    assert!(update.full);
    let standings = update.announcements.into_iter().map(|a| (a.id.clone(), a.standing()));
    let standings: std::collections::HashMap<String, Standing> = standings.collect();
    assert_eq!(standings.len(), ENDPOINTS + 1);
    assert_eq!(standings["i-8"], Standing::Draining);
}

/// Control processes without a disk need only the replicas. Endpoints and load addresses for them
/// would double the traffic where each host runs one.
#[tokio::test]
async fn a_subscriber_that_needs_only_replicas_gets_no_endpoints() {
    let replica = Replica::start().await;
    replica.hub.announce(announcement(1, 1, Standing::Ready));
    let subscribe = Subscribe { replicas_only: true, ..Subscribe::default() };
    let (_link, mut call) = replica.subscribe_with(1, subscribe).await;
    assert_eq!(next_update(&mut call).await, Some(News::default()));
    let (_other_link, mut other) = replica.subscribe(2).await;
    next_update(&mut other).await.unwrap();
    replica.hub.announce(announcement(2, 1, Standing::Ready));
    while next_update(&mut other).await.unwrap().announcements.is_empty() {}
    let update = timeout(Duration::from_millis(200), call.next()).await;
    assert!(update.is_err(), "{update:?}");
}
