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
        vm.peers.taken_down(other);
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
    a.peers.learn([(id("b"), b.address)]);
    for version in 1..=3 {
        a.peers.send(id("b"), hello(version));
    }
    let mut heard = Vec::new();
    for _ in 0..4 {
        heard.push(next(&mut b).await);
    }
    assert_eq!(heard, ["up a", "a: 1", "a: 2", "a: 3"]);
    // b knows no address of a: the answer has to take the stream that a opened.
    b.peers.send(id("a"), hello(7));
    assert_eq!([next(&mut a).await, next(&mut a).await], ["up b", "b: 7"]);
}

#[actix_rt::test]
async fn a_message_that_never_left_shows_as_down_without_up() {
    // A peer's VM is gone from its address. "Down" with no "up" before it tells the core that
    // nothing left, so that it may say "not run" in place of "outcome unknown".
    let mut a = vm("a", 1).await;
    let vacant = TcpListener::bind("127.0.0.1:0")
        .await
        .unwrap()
        .local_addr()
        .unwrap();
    a.peers.learn([(id("b"), vacant)]);
    a.peers.send(id("b"), hello(1));
    assert_eq!(next(&mut a).await, "down b");
}

#[actix_rt::test]
async fn an_address_taken_over_by_another_vm_is_not_talked_to() {
    // The platform's list lags: b's address belongs to c by now. A message for b must not reach c.
    let (mut a, c) = (vm("a", 1).await, vm("c", 1).await);
    a.peers.learn([(id("b"), c.address)]);
    a.peers.send(id("b"), hello(1));
    assert_eq!(next(&mut a).await, "down b");
}

#[actix_rt::test]
async fn a_restarted_peer_ends_its_former_life_s_stream() {
    // b is restarted under the same name. What a sent to the former life is in doubt, so a hears
    // "down" before it hears anything of the new life.
    let (mut a, mut b) = (vm("a", 1).await, vm("b", 1).await);
    b.peers.learn([(id("a"), a.address)]);
    b.peers.send(id("a"), hello(1));
    assert_eq!([next(&mut a).await, next(&mut a).await], ["up b", "b: 1"]);
    let reborn = vm("b", 2).await;
    reborn.peers.learn([(id("a"), a.address)]);
    reborn.peers.send(id("a"), hello(2));
    let heard = [next(&mut a).await, next(&mut a).await, next(&mut a).await];
    assert_eq!(heard, ["down b", "up b", "b: 2"]);
    assert_eq!(next(&mut b).await, "up a");
}

#[actix_rt::test]
async fn nothing_is_sent_before_a_break_was_heard() {
    // b is restarted. Before a's core has heard of the break it sends a booking, which it will take
    // for lost with the old stream and send again. The booking must not reach the new life too.
    let (mut a, b) = (vm("a", 1).await, vm("b", 1).await);
    b.peers.learn([(id("a"), a.address)]);
    b.peers.send(id("a"), hello(1));
    assert_eq!([next(&mut a).await, next(&mut a).await], ["up b", "b: 1"]);
    let mut reborn = vm("b", 2).await;
    reborn.peers.learn([(id("a"), a.address)]);
    reborn.peers.send(id("a"), hello(2));
    assert!(matches!(a.events.recv().await, Some(Event::Down(_))));
    a.peers.send(id("b"), hello(5));
    a.peers.taken_down(&id("b"));
    a.peers.send(id("b"), hello(6));
    assert_eq!(
        [next(&mut reborn).await, next(&mut reborn).await],
        ["up a", "a: 6"]
    );
}
