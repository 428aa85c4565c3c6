//! Questions between VMs, as calls over kept channels.

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

/// How long a connection attempt may take; some round trips between regions.
const DIAL: Duration = Duration::from_millis(700);

/// With less time left no new connection is tried.
const WORTH_DIALING: Span = Span::from_millis(30);

/// How many questions of other VMs may wait for this one; each VM has a few under way.
const WAITING: usize = 4_096;

/// Answers questions.
pub type Answerer = Rc<dyn Fn(Question) -> LocalFuture<Answer>>;

/// How long an answer that is late is still listened for, beyond what its caller waited. It tells a
/// VM that is slow from a connection that nothing comes through any more.
const LATE: Span = Span::from_secs(2);

/// A channel to another VM.
#[derive(Debug, Clone)]
struct Kept {
    channel: Channel,
    /// Questions that were given up, and to which no answer has come since.
    missed: Rc<Cell<u32>>,
}

type Channels = Rc<RefCell<HashMap<SocketAddr, Kept>>>;

/// How a question on a channel ended.
enum Asked {
    Answered(Answer),
    /// No answer within the time.
    Late,
    Failed(Status),
}

/// Asks other VMs, on one channel for each.
///
/// **Failure answered.** A connection goes silent for good while new ones work. **Symptom without it.** A
/// VM counts as lost though it runs. **Why it suffices.** A channel on which one question was missed
/// gets half of the time for the next one, and a new one takes its place for the other half.
///
/// **Pattern answered.** A steward of hundreds of VMs answers some heartbeats late. **Without it** each
/// of these is a new connection, which costs the steward more than an answer, so that whatever made
/// it late once keeps it late. A late answer shows that its channel works.
pub fn call() -> Call {
    let channels = Channels::default();
    Rc::new(move |address, question, within| {
        let channels = Rc::clone(&channels);
        Box::pin(async move {
            let kept = channels.borrow().get(&address).cloned();
            let asked = tokio::time::Instant::now();
            if let Some(kept) = kept {
                let doubted = kept.missed.get() > 0;
                let patience = if doubted { within.percent(50) } else { within };
                match ask(&kept, question.clone(), patience).await {
                    Asked::Answered(answer) => return Some(answer),
                    Asked::Late if !doubted => return None,
                    Asked::Late => log::debug!(address:%; "a VM is silent on a kept connection"),
                    Asked::Failed(status) => {
                        log::debug!(address:%; "a VM gave no answer: {status}")
                    }
                }
                if kept.missed.get() == 0 && doubted {
                    // An answer to an earlier question has come meanwhile: it is slow.
                    return None;
                }
                channels.borrow_mut().remove(&address);
            }
            // A kept channel that broke at once says nothing of the VM: a new one does.
            let left = Span(within.0.saturating_sub(Span::from(asked.elapsed()).0));
            if left < WORTH_DIALING {
                return None;
            }
            let opened = open(address)?;
            let told = ask(&opened, question, left).await;
            match told {
                Asked::Answered(answer) => {
                    channels.borrow_mut().insert(address, opened);
                    Some(answer)
                }
                Asked::Late => None,
                Asked::Failed(status) => {
                    log::debug!(address:%; "a VM gave no answer: {status}");
                    is_refused(&status).then_some(Answer::Absent)
                }
            }
        })
    })
}

/// Whether nobody listens there.
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

fn open(address: SocketAddr) -> Option<Kept> {
    let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
    let channel = endpoint
        .connect_timeout(DIAL)
        .tcp_nodelay(true)
        .connect_lazy();
    Some(Kept {
        channel,
        missed: Rc::default(),
    })
}

async fn ask(kept: &Kept, question: Question, within: Span) -> Asked {
    let mut asked = Box::pin(rpc::call::<Question, Answer>(
        kept.channel.clone(),
        question,
    ));
    match tokio::time::timeout(within.into(), &mut asked).await {
        Ok(Ok(answer)) => {
            kept.missed.set(0);
            Asked::Answered(answer)
        }
        Ok(Err(status)) => Asked::Failed(status),
        Err(_) => {
            kept.missed.set(kept.missed.get() + 1);
            let missed = kept.missed.clone();
            actix_rt::spawn(async move {
                let late = tokio::time::timeout(LATE.into(), asked).await;
                if let Ok(Ok(_)) = late {
                    missed.set(0);
                }
            });
            Asked::Late
        }
    }
}

/// Answers the questions of other VMs by `answerer`, until it is dropped.
pub async fn serve(listener: TcpListener, answerer: Answerer) {
    let (sender, mut questions) = mpsc::channel::<(Question, oneshot::Sender<Answer>)>(WAITING);
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
                // Whoever asked may have given up.
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
