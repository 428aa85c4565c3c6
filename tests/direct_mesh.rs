//! Questions between VMs, over loopback.

use lentilspoke::clock::Span;
use lentilspoke::direct::mesh::{Answer, Question};
use lentilspoke::net::{mesh, system};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;

const WITHIN: Span = Span::from_secs(10);

fn question(token: u64) -> Question {
    let version = 7;
    Question::HandOver { token, version }
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
