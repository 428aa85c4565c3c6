//! Questions between VMs, over loopback.

use lentilspoke::clock::Span;
use lentilspoke::direct::mesh::{Answer, Question};
use lentilspoke::direct::table::{Era, Version};
use lentilspoke::net::{mesh, system};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

const TIMEOUT: Span = Span::from_secs(10);

/// Time for the end of a connection to be read at its other end. A question sent before that would reset it.
const DELIVERY_TIME: Duration = Duration::from_millis(100);

fn question(token: u64) -> Question {
    let version = 7;
    Question::HandOver {
        token,
        version: Version::new(Era(0), version),
    }
}

/// A VM that takes the duty if its token is even.
fn vm(address: SocketAddr) -> (SocketAddr, actix_rt::task::JoinHandle<()>) {
    let listener: TcpListener = system::listen(address).unwrap();
    let address = listener.local_addr().unwrap();
    let answerer: mesh::Answerer = Rc::new(|question| {
        Box::pin(async move {
            match question {
                Question::HandOver { token, .. } => Answer::Taken(token % 2 == 0),
                _ => std::future::pending().await,
            }
        })
    });
    (address, actix_rt::spawn(mesh::serve(listener, answerer)))
}

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

#[actix_rt::test]
async fn questions_are_answered_by_the_vm_that_was_asked() {
    let call = mesh::call();
    let (address, _vm) = vm(any_port());
    let asked = (0..20).map(|token| call(address, question(token), TIMEOUT));
    let answers = futures_util::future::join_all(asked).await;
    for (token, answer) in answers.into_iter().enumerate() {
        assert_eq!(answer, Some(Answer::Taken(token % 2 == 0)), "{token}");
    }
}

/// Guards against a refusing VM that is waited for like a silent one: other VMs suspect it at once.
#[actix_rt::test]
async fn a_vm_that_refuses_is_distinguished_from_a_silent_one() {
    let call = mesh::call();
    let (address, _vm) = vm(any_port());
    let forwarder = Forwarder::to(address);
    let address = forwarder.address;
    assert!(call(address, question(1), TIMEOUT).await.is_some());
    forwarder.close().await;
    assert_eq!(
        call(address, question(1), TIMEOUT).await,
        Some(Answer::Refused)
    );
    assert_eq!(call(address, question(1), Span::ZERO).await, None);
}

/// Guards against evidence from how a connection ended: a refusal tells the same after a reset as after an
/// end in order.
#[actix_rt::test]
async fn a_refusal_after_a_reset_is_no_other_evidence() {
    let call = mesh::call();
    let (address, _vm) = vm(any_port());
    let forwarder = Forwarder::to(address);
    let address = forwarder.address;
    assert!(call(address, question(1), TIMEOUT).await.is_some());
    forwarder.reset().await;
    assert_eq!(
        call(address, question(1), TIMEOUT).await,
        Some(Answer::Refused)
    );
}

/// Guards against a refusal that is told apart by whether the VM had answered before.
#[actix_rt::test]
async fn a_refusal_by_an_unknown_vm_is_no_other_evidence() {
    let listener = system::listen(any_port()).unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let call = mesh::call();
    assert_eq!(
        call(address, question(1), TIMEOUT).await,
        Some(Answer::Refused)
    );
}

/// A VM's process restarts at its address, which breaks the kept connection. The question is repeated on a
/// new connection, without an error to its caller.
#[actix_rt::test]
async fn a_restarted_vm_is_reached() {
    let call = mesh::call();
    let (address, first) = vm(any_port());
    assert_eq!(
        call(address, question(2), TIMEOUT).await,
        Some(Answer::Taken(true))
    );
    first.abort();
    let _ = first.await;
    let (_, _second) = vm(address);
    assert_eq!(
        call(address, question(3), TIMEOUT).await,
        Some(Answer::Taken(false))
    );
}

/// A TCP proxy to a VM, which can make its connections silent.
struct Forwarder {
    address: SocketAddr,
    opened: Rc<Cell<u32>>,
    signals: Signals,
    accepting: actix_rt::task::JoinHandle<()>,
}

/// Signals to all connections of a forwarder.
#[derive(Clone, Default)]
struct Signals {
    silence: Rc<Notify>,
    close: Rc<Notify>,
    reset: Rc<Notify>,
}

impl Forwarder {
    fn to(vm: SocketAddr) -> Self {
        let listener: TcpListener = system::listen(any_port()).unwrap();
        let address = listener.local_addr().unwrap();
        let opened: Rc<Cell<u32>> = Rc::default();
        let signals = Signals::default();
        let shared = (Rc::clone(&opened), signals.clone());
        let accepting = actix_rt::spawn(async move {
            let (opened, signals) = shared;
            while let Ok((near, _)) = listener.accept().await {
                opened.set(opened.get() + 1);
                let far = TcpStream::connect(vm).await.unwrap();
                actix_rt::spawn(forward(near, far, signals.clone()));
            }
        });
        Self {
            address,
            opened,
            signals,
            accepting,
        }
    }

    /// Refuses new connections, and closes open ones in order.
    async fn close(self) {
        self.accepting.abort();
        let _ = self.accepting.await;
        self.signals.close.notify_waiters();
        tokio::time::sleep(DELIVERY_TIME).await;
    }

    /// Refuses new connections, and resets open ones.
    async fn reset(self) {
        self.accepting.abort();
        let _ = self.accepting.await;
        self.signals.reset.notify_waiters();
        tokio::time::sleep(DELIVERY_TIME).await;
    }
}

/// Forwards bytes until a signal comes. After `silence` both ends stay open, but nothing is forwarded.
async fn forward(mut near: TcpStream, mut far: TcpStream, signals: Signals) {
    let silenced = {
        let copied = tokio::io::copy_bidirectional(&mut near, &mut far);
        tokio::select! {
            _ = copied => false,
            () = signals.close.notified() => false,
            () = signals.silence.notified() => true,
            () = signals.reset.notified() => {
                near.set_zero_linger().unwrap();
                false
            }
        }
    };
    if silenced {
        std::future::pending::<()>().await;
    }
}

/// The timeout of questions that are not to be answered in time.
const SHORT_TIMEOUT: Span = Span::from_millis(40);

/// A steward answers a heartbeat after its timeout. The connection still works and is used for the next
/// question: new connections from hundreds of VMs would slow down a steward that is late already.
#[actix_rt::test]
async fn a_late_answer_keeps_the_connection() {
    let call = mesh::call();
    let listener: TcpListener = system::listen(any_port()).unwrap();
    let address = listener.local_addr().unwrap();
    let gate = Rc::new(Notify::new());
    let release = gate.clone();
    let answerer: mesh::Answerer = Rc::new(move |question| {
        let gate = gate.clone();
        Box::pin(async move {
            if question == Question::Confirm {
                gate.notified().await;
            }
            Answer::Noted
        })
    });
    let _vm = actix_rt::spawn(mesh::serve(listener, answerer));
    let forwarder = Forwarder::to(address);
    let asked = call(forwarder.address, question(1), TIMEOUT).await;
    assert_eq!(asked, Some(Answer::Noted));
    for _ in 0..3 {
        assert_eq!(
            call(forwarder.address, Question::Confirm, SHORT_TIMEOUT).await,
            None
        );
        release.notify_one();
        let asked = call(forwarder.address, question(1), TIMEOUT).await;
        assert_eq!(asked, Some(Answer::Noted));
    }
    assert_eq!(forwarder.opened.get(), 1);
}

/// A kept connection goes silent for good, while new ones work. One question times out; the next one is
/// answered, on a new connection.
#[actix_rt::test]
async fn a_silent_connection_is_dropped_after_one_question() {
    let call = mesh::call();
    let (address, _vm) = vm(any_port());
    let forwarder = Forwarder::to(address);
    let asked = call(forwarder.address, question(2), TIMEOUT).await;
    assert_eq!(asked, Some(Answer::Taken(true)));
    forwarder.signals.silence.notify_waiters();
    assert_eq!(
        call(forwarder.address, question(2), SHORT_TIMEOUT).await,
        None
    );
    let asked = call(forwarder.address, question(2), Span::from_secs(4)).await;
    assert_eq!(asked, Some(Answer::Taken(true)));
    assert_eq!(forwarder.opened.get(), 2);
}
