//! Questions between VMs, as calls over channels that are reused.

use crate::clock::Span;
use crate::direct::adapter::LocalFuture;
use crate::direct::mesh::{Answer, Call, Question};
use crate::net::rpc;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tonic::Status;
use tonic::transport::server::TcpIncoming;
use tonic::transport::{Channel, Endpoint, Server};

/// How long a connection attempt may take: a few round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// With less time remaining than this, no new connection is tried.
const MIN_CONNECT_TIME: Span = Span::from_millis(30);

/// How many questions of other VMs may be queued; each VM has a few in flight.
const MAX_QUEUED_QUESTIONS: usize = 4_096;

/// Answers the questions of other VMs.
pub type Answerer = Rc<dyn Fn(Question) -> LocalFuture<Answer>>;

/// How long to wait for a late answer after its call timed out. A late answer distinguishes a slow VM
/// from a connection that has gone silent.
const LATE_ANSWER_TIMEOUT: Span = Span::from_secs(2);

/// A channel to another VM.
#[derive(Debug, Clone)]
struct Connection {
    channel: Channel,
    /// How many questions in a row timed out; an answer, even a late one, resets it.
    missed: Rc<Cell<u32>>,
}

type Channels = Rc<RefCell<HashMap<SocketAddr, Connection>>>;

/// The outcome of a question on a channel.
enum Outcome {
    Answered(Answer),
    /// No answer within the timeout.
    Late,
    Failed(Status),
}

/// Returns the function that asks other VMs, over one channel for each.
///
/// A connection can go silent for good while new ones work, and the VM would count as lost though it
/// runs. So after a question without an answer, the next one has half of its timeout on the same
/// channel, and the other half on a new one.
///
/// A steward of hundreds of VMs answers some heartbeats late. A new connection for each of these would
/// cost the steward more than an answer does, and keep it late. So a late answer shows that its
/// channel works, and the channel is kept.
pub fn call() -> Call {
    let channels = Channels::default();
    Rc::new(move |address, question, timeout| {
        let channels = Rc::clone(&channels);
        Box::pin(async move {
            let connection = channels.borrow().get(&address).cloned();
            let start = tokio::time::Instant::now();
            if let Some(connection) = connection {
                let is_suspect = connection.missed.get() > 0;
                let share = if is_suspect {
                    timeout.percent(50)
                } else {
                    timeout
                };
                match ask(&connection, question.clone(), share).await {
                    Outcome::Answered(answer) => return Some(answer),
                    Outcome::Late if !is_suspect => return None,
                    Outcome::Late => log::debug!(address:%; "a VM is silent on a kept connection"),
                    Outcome::Failed(status) => {
                        log::debug!(address:%; "a VM gave no answer: {status}")
                    }
                }
                if connection.missed.get() == 0 && is_suspect {
                    // An answer to an earlier question has arrived meanwhile: the VM is slow.
                    return None;
                }
                channels.borrow_mut().remove(&address);
            }
            // A reused channel may have broken while idle; a new one shows whether the VM runs.
            let remaining = Span(timeout.0.saturating_sub(Span::from(start.elapsed()).0));
            if remaining < MIN_CONNECT_TIME {
                return None;
            }
            let opened = open(address)?;
            let outcome = ask(&opened, question, remaining).await;
            match outcome {
                Outcome::Answered(answer) => {
                    channels.borrow_mut().insert(address, opened);
                    Some(answer)
                }
                Outcome::Late => None,
                Outcome::Failed(status) => {
                    log::debug!(address:%; "a VM gave no answer: {status}");
                    is_refused(&status).then_some(Answer::Refused)
                }
            }
        })
    })
}

/// Whether the connection was refused: no process listens at the address, or a partition refuses it.
fn is_refused(status: &Status) -> bool {
    let mut cause = std::error::Error::source(status);
    while let Some(error) = cause {
        let io = error.downcast_ref::<std::io::Error>();
        if io.is_some_and(|io| io.kind() == std::io::ErrorKind::ConnectionRefused) {
            return true;
        }
        cause = error.source();
    }
    false
}

fn open(address: SocketAddr) -> Option<Connection> {
    let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
    let channel = endpoint
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .connect_lazy();
    Some(Connection {
        channel,
        missed: Rc::default(),
    })
}

async fn ask(connection: &Connection, question: Question, timeout: Span) -> Outcome {
    let mut call = Box::pin(rpc::call::<Question, Answer>(
        connection.channel.clone(),
        question,
    ));
    match tokio::time::timeout(timeout.into(), &mut call).await {
        Ok(Ok(answer)) => {
            connection.missed.set(0);
            Outcome::Answered(answer)
        }
        Ok(Err(status)) => Outcome::Failed(status),
        Err(_) => {
            connection.missed.set(connection.missed.get() + 1);
            let missed = connection.missed.clone();
            actix_rt::spawn(async move {
                let late = tokio::time::timeout(LATE_ANSWER_TIMEOUT.into(), call).await;
                if let Ok(Ok(_)) = late {
                    missed.set(0);
                }
            });
            Outcome::Late
        }
    }
}

/// Answers the questions of other VMs with `answerer`, until it is dropped.
pub async fn serve(listener: TcpListener, answerer: Answerer) {
    let (sender, mut questions) =
        mpsc::channel::<(Question, oneshot::Sender<Answer>)>(MAX_QUEUED_QUESTIONS);
    let service = rpc::unary(move |question: Question| {
        let sender = sender.clone();
        async move {
            let (answer, answered) = oneshot::channel();
            let stopping = || Status::unavailable("this VM is stopping");
            sender
                .try_send((question, answer))
                .map_err(|_| stopping())?;
            answered.await.map_err(|_| stopping())
        }
    });
    let server = Server::builder()
        .add_service(service)
        .serve_with_incoming(TcpIncoming::from(listener).with_nodelay(Some(true)));
    let answers = async {
        while let Some((question, sender)) = questions.recv().await {
            let answer = answerer(question);
            actix_rt::spawn(async move {
                // Sending fails if the VM that asked no longer waits for the answer.
                let _ = sender.send(answer.await);
            });
        }
    };
    tokio::select! {
        ended = server => if let Err(error) = ended {
            log::error!("the listener for other VMs ended: {error}; restart this process");
        },
        () = answers => {}
    }
}
