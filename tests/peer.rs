//! Streams between proxies, over loopback.

use lentilspoke::core::message::{Hello, Message};
use lentilspoke::net::peer::{Event, Identity, Peers};
use lentilspoke::types::{Life, Version, VmId};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

struct Vm {
    peers: Rc<Peers>,
    events: UnboundedReceiver<Event>,
    address: SocketAddr,
}

async fn vm(name: &str, life: u64) -> Vm {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, events) = unbounded_channel();
    let source = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let identity = Identity {
        vm: name.parse().unwrap(),
        life: Life(life),
        source,
    };
    let peers = Peers::new(identity, sender);
    peers.listen(listener);
    Vm {
        peers,
        events,
        address,
    }
}

fn id(name: &str) -> VmId {
    name.parse().unwrap()
}

fn hello(version: u64) -> Message {
    Message::Hello(Hello {
        life: Life(9),
        version: Version(version),
        stopping: false,
    })
}

async fn next(vm: &mut Vm) -> String {
    let event = vm.events.recv().await.unwrap();
    if let Event::Down(other) = &event {
        vm.peers.confirm_down(other);
    }
    match event {
        Event::Up(vm) => format!("up {vm}"),
        Event::Down(vm) => format!("down {vm}"),
        Event::Message { from, message } => match *message {
            Message::Hello(hello) => format!("{from}: {}", hello.version),
            other => format!("{from}: {other:?}"),
        },
    }
}

#[actix_rt::test]
async fn messages_arrive_in_order_both_ways_on_one_stream() {
    let (mut a, mut b) = (vm("a", 1).await, vm("b", 1).await);
    a.peers.set_addresses([(id("b"), b.address)]);
    for version in 1..=3 {
        a.peers.send(id("b"), hello(version));
    }
    let mut received = Vec::new();
    for _ in 0..4 {
        received.push(next(&mut b).await);
    }
    assert_eq!(received, ["up a", "a: 1", "a: 2", "a: 3"]);
    // b has no address of a, so its message must use the stream that a opened.
    b.peers.send(id("a"), hello(7));
    assert_eq!([next(&mut a).await, next(&mut a).await], ["up b", "b: 7"]);
}

#[actix_rt::test]
async fn an_unsent_message_is_reported_as_down_without_up() {
    // Nothing listens at the peer's address. "Down" without a previous "up" means that no message
    // was sent, so the core can answer "not run" instead of "outcome unknown".
    let mut a = vm("a", 1).await;
    let vacant = TcpListener::bind("127.0.0.1:0")
        .await
        .unwrap()
        .local_addr()
        .unwrap();
    a.peers.set_addresses([(id("b"), vacant)]);
    a.peers.send(id("b"), hello(1));
    assert_eq!(next(&mut a).await, "down b");
}

#[actix_rt::test]
async fn nothing_is_sent_to_an_address_taken_over_by_another_vm() {
    // The platform's list is outdated: c now listens at b's address. Messages to b must not reach c.
    let (mut a, c) = (vm("a", 1).await, vm("c", 1).await);
    a.peers.set_addresses([(id("b"), c.address)]);
    a.peers.send(id("b"), hello(1));
    assert_eq!(next(&mut a).await, "down b");
}

#[actix_rt::test]
async fn a_restart_of_a_peer_closes_streams_to_its_former_life() {
    // b is restarted under the same name. The messages that a sent to the former life may be lost,
    // so a must receive "down" before any event of the new life.
    let (mut a, mut b) = (vm("a", 1).await, vm("b", 1).await);
    b.peers.set_addresses([(id("a"), a.address)]);
    b.peers.send(id("a"), hello(1));
    assert_eq!([next(&mut a).await, next(&mut a).await], ["up b", "b: 1"]);
    let reborn = vm("b", 2).await;
    reborn.peers.set_addresses([(id("a"), a.address)]);
    reborn.peers.send(id("a"), hello(2));
    let received = [next(&mut a).await, next(&mut a).await, next(&mut a).await];
    assert_eq!(received, ["down b", "up b", "b: 2"]);
    assert_eq!(next(&mut b).await, "up a");
}

#[actix_rt::test]
async fn nothing_is_sent_before_a_down_is_handled() {
    // b is restarted, and a's core sends a booking before it has received the "down". The core
    // will count the booking as lost with the old stream and resend it, so the first copy must not
    // reach the new life.
    let (mut a, b) = (vm("a", 1).await, vm("b", 1).await);
    b.peers.set_addresses([(id("a"), a.address)]);
    b.peers.send(id("a"), hello(1));
    assert_eq!([next(&mut a).await, next(&mut a).await], ["up b", "b: 1"]);
    let mut reborn = vm("b", 2).await;
    reborn.peers.set_addresses([(id("a"), a.address)]);
    reborn.peers.send(id("a"), hello(2));
    assert!(matches!(a.events.recv().await, Some(Event::Down(_))));
    a.peers.send(id("b"), hello(5));
    a.peers.confirm_down(&id("b"));
    a.peers.send(id("b"), hello(6));
    assert_eq!(
        [next(&mut reborn).await, next(&mut reborn).await],
        ["up a", "a: 6"]
    );
}
