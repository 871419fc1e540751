//! Delivery of departures from one replica of control to another.

use std::net::SocketAddr;
use std::time::Duration;

use bitternlead::control::acknowledgements::Acknowledgements;
use bitternlead::control::announcement_relay::{RelayedAnnouncement, relay_announcements};
use bitternlead::control::core_config::Published;
use bitternlead::control::service::build_link_config;
use bitternlead::wire::envelope::Body;
use bitternlead::wire::frame::{EnvelopeCodec, PROTOCOL_VERSION};
use bitternlead::wire::{Ack, Announcement, Envelope, Hello, Replica, Standing};
use futures::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;

const MAX_WAIT: Duration = Duration::from_secs(10);

type Frames = Framed<TcpStream, EnvelopeCodec>;

/// The sending side of a replica that knows one other.
struct Sender {
    relay: mpsc::UnboundedSender<RelayedAnnouncement>,
    _published: watch::Sender<Published>,
}

impl Sender {
    fn start(other: SocketAddr) -> Self {
        let replicas = vec![Replica { id: 1, address: other.to_string(), ..Replica::default() }];
        let published = Published { replicas, ..Published::default() };
        let (published, watcher) = watch::channel(published);
        let (relay, rx) = mpsc::unbounded_channel();
        let link = build_link_config("control", "control");
        let cx = CancellationToken::new();
        tokio::spawn(relay_announcements(rx, watcher, "own".into(), link, cx));
        Self { relay, _published: published }
    }

    fn depart(&self, id: &str, born: u64) -> Acknowledgements {
        let mut announcement = Announcement { id: id.into(), born, ..Announcement::default() };
        announcement.set_standing(Standing::Gone);
        let (ack, acknowledgements) = Acknowledgements::channel();
        let ack = Some(ack);
        assert!(self.relay.send(RelayedAnnouncement { announcement, ack }).is_ok());
        acknowledgements
    }
}

/// Accepts one connection and greets like a build that acknowledges announcements, or an earlier one.
async fn accept(listener: &TcpListener, acknowledges_announcements: bool) -> Frames {
    let (stream, _) = timeout(MAX_WAIT, listener.accept()).await.unwrap().unwrap();
    let mut frames = Framed::new(stream, EnvelopeCodec::new(1 << 20));
    frames.next().await.unwrap().unwrap();
    let hello = Hello { version: PROTOCOL_VERSION, acknowledges_announcements, ..Hello::default() };
    frames.send(Envelope { call: 0, body: Some(Body::Hello(hello)) }).await.unwrap();
    frames
}

/// The next departure with the number of its call; keepalive frames are passed over.
async fn next_departure(frames: &mut Frames) -> (u64, Announcement) {
    loop {
        let frame = timeout(MAX_WAIT, frames.next()).await.unwrap().unwrap().unwrap();
        if let Some(Body::Announcement(announcement)) = frame.body {
            assert_eq!(announcement.standing(), Standing::Gone);
            return (frame.call, announcement);
        }
    }
}

/// Guards against a departure that is lost with the connection that it was sent on: its endpoint does
/// not repeat it.
#[tokio::test]
async fn a_departure_is_sent_until_the_replica_acknowledges_it() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let sender = Sender::start(listener.local_addr().unwrap());
    let acknowledgements = sender.depart("e-1", 7);
    let mut lost = accept(&listener, true).await;
    next_departure(&mut lost).await;
    drop(lost);
    let mut frames = accept(&listener, true).await;
    next_departure(&mut frames).await;
    // The first answer does not come; the departure is sent again on the same connection.
    let (call, departure) = next_departure(&mut frames).await;
    assert_eq!((departure.id.as_str(), departure.born), ("e-1", 7));
    frames.send(Envelope { call, body: Some(Body::Ack(Ack {})) }).await.unwrap();
    assert!(acknowledgements.wait(1, MAX_WAIT).await);
    let again = timeout(Duration::from_secs(1), next_departure(&mut frames)).await;
    assert!(again.is_err(), "sent again after it was acknowledged: {again:?}");
}

/// Guards against a late repetition that ends the next start of its endpoint.
#[tokio::test]
async fn a_departure_that_names_no_start_is_not_repeated_for_long() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let sender = Sender::start(listener.local_addr().unwrap());
    let acknowledgements = sender.depart("e-1", 0);
    let mut frames = accept(&listener, true).await;
    next_departure(&mut frames).await;
    assert!(!acknowledgements.wait(1, Duration::from_secs(1)).await);
    drop(frames);
    let connected = timeout(Duration::from_secs(1), listener.accept()).await;
    assert!(connected.is_err(), "connected to send it once more");
}

/// Guards against an upgrade in which no departure is acknowledged while earlier builds run.
#[tokio::test]
async fn earlier_builds_acknowledge_by_receiving() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let sender = Sender::start(listener.local_addr().unwrap());
    let acknowledgements = sender.depart("e-1", 7);
    let mut frames = accept(&listener, false).await;
    assert_eq!(next_departure(&mut frames).await.0, 0);
    assert!(acknowledgements.wait(1, MAX_WAIT).await);
}
