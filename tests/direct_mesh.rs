//! Questions between VMs, over loopback.

use lentilspoke::clock::Span;
use lentilspoke::direct::mesh::{Answer, Question};
use lentilspoke::direct::table::{Era, Version};
use lentilspoke::net::{mesh, system};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

const WITHIN: Span = Span::from_secs(10);

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

fn anywhere() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

#[actix_rt::test]
async fn questions_are_answered_by_the_vm_that_was_asked() {
    let call = mesh::call();
    let (address, _vm) = vm(anywhere());
    let asked = (0..20).map(|token| call(address, question(token), WITHIN));
    let answers = futures_util::future::join_all(asked).await;
    for (token, answer) in answers.into_iter().enumerate() {
        assert_eq!(answer, Some(Answer::Taken(token % 2 == 0)), "{token}");
    }
}

/// The process of a VM is gone and its machine still answers. Whoever asks learns at once that
/// nobody is there, and does not wait for its lease.
#[actix_rt::test]
async fn a_vm_that_has_ended_is_told_from_a_silent_one() {
    let listener = system::listen(anywhere()).unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let call = mesh::call();
    assert_eq!(
        call(address, question(1), WITHIN).await,
        Some(Answer::Absent)
    );
    assert_eq!(call(address, question(1), Span::ZERO).await, None);
}

/// A VM's process starts again at its address. The channel that was kept to the former one is
/// broken; the question is asked again on a new one, and its caller sees nothing of it.
#[actix_rt::test]
async fn a_vm_that_started_again_is_reached() {
    let call = mesh::call();
    let (address, first) = vm(anywhere());
    assert_eq!(
        call(address, question(2), WITHIN).await,
        Some(Answer::Taken(true))
    );
    first.abort();
    let _ = first.await;
    let (_, _second) = vm(address);
    assert_eq!(
        call(address, question(3), WITHIN).await,
        Some(Answer::Taken(false))
    );
}

/// Connections to a VM, passed on until they are to go silent.
struct Path {
    address: SocketAddr,
    opened: Rc<Cell<u32>>,
    silence: Rc<Notify>,
}

impl Path {
    fn to(vm: SocketAddr) -> Self {
        let listener: TcpListener = system::listen(anywhere()).unwrap();
        let path = Self {
            address: listener.local_addr().unwrap(),
            opened: Rc::default(),
            silence: Rc::default(),
        };
        let (opened, silence) = (path.opened.clone(), path.silence.clone());
        actix_rt::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                opened.set(opened.get() + 1);
                let far = TcpStream::connect(vm).await.unwrap();
                actix_rt::spawn(pass(near, far, silence.clone()));
            }
        });
        path
    }
}

/// Passes bytes on until it is to be silent; then both ends stay open, and nothing comes through.
async fn pass(mut near: TcpStream, mut far: TcpStream, silence: Rc<Notify>) {
    let silenced = {
        let copied = tokio::io::copy_bidirectional(&mut near, &mut far);
        tokio::select! {
            _ = copied => false,
            () = silence.notified() => true,
        }
    };
    if silenced {
        std::future::pending::<()>().await;
    }
}

/// How long a question that gets no answer in time is waited for.
const SHORT: Span = Span::from_millis(40);

/// A steward answers a heartbeat after whoever asked has given up. Its connection works, so that the next
/// question goes there too: a new connection for each late answer is more work for a steward that is
/// late already, and of hundreds of VMs at once.
#[actix_rt::test]
async fn a_late_answer_costs_no_connection() {
    let call = mesh::call();
    let listener: TcpListener = system::listen(anywhere()).unwrap();
    let address = listener.local_addr().unwrap();
    let gate = Rc::new(Notify::new());
    let opens = gate.clone();
    let answerer: mesh::Answerer = Rc::new(move |question| {
        let gate = gate.clone();
        Box::pin(async move {
            if question == Question::Vouch {
                gate.notified().await;
            }
            Answer::Noted
        })
    });
    let _vm = actix_rt::spawn(mesh::serve(listener, answerer));
    let path = Path::to(address);
    let asked = call(path.address, question(1), WITHIN).await;
    assert_eq!(asked, Some(Answer::Noted));
    for _ in 0..3 {
        assert_eq!(call(path.address, Question::Vouch, SHORT).await, None);
        opens.notify_one();
        let asked = call(path.address, question(1), WITHIN).await;
        assert_eq!(asked, Some(Answer::Noted));
    }
    assert_eq!(path.opened.get(), 1);
}

/// A kept connection goes silent for good, and new ones work. One question is missed; the next one is
/// answered, on a new connection.
#[actix_rt::test]
async fn a_silent_connection_is_left_after_one_question() {
    let call = mesh::call();
    let (address, _vm) = vm(anywhere());
    let path = Path::to(address);
    let asked = call(path.address, question(2), WITHIN).await;
    assert_eq!(asked, Some(Answer::Taken(true)));
    path.silence.notify_waiters();
    assert_eq!(call(path.address, question(2), SHORT).await, None);
    let asked = call(path.address, question(2), Span::from_secs(4)).await;
    assert_eq!(asked, Some(Answer::Taken(true)));
    assert_eq!(path.opened.get(), 2);
}
