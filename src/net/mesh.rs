//! Questions between VMs, as calls over kept channels.

use crate::clock::Span;
use crate::direct::adapter::Later;
use crate::direct::mesh::{Answer, Call, Question};
use crate::net::rpc;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tonic::transport::server::TcpIncoming;
use tonic::transport::{Channel, Endpoint, Server};
use tonic::{Code, Status};

/// How long a connection attempt may take; some round trips between regions.
const DIAL: Duration = Duration::from_millis(700);

/// With less time left no new connection is tried.
const WORTH_DIALING: Span = Span::from_millis(30);

/// How many questions of other VMs may wait for this one; each VM has a few under way.
const WAITING: usize = 4_096;

/// Answers questions.
pub type Answerer = Rc<dyn Fn(Question) -> Later<Answer>>;

/// Asks other VMs, on one channel for each, which is dropped when a call on it fails.
///
/// Failure: a connection goes silent for good while new ones work. Symptom: a VM counts as lost
/// though it runs. Enough, because the next call opens a new connection.
pub fn call() -> Call {
    let channels = Rc::new(RefCell::new(HashMap::<SocketAddr, Channel>::new()));
    Rc::new(move |address, question, within| {
        let channels = Rc::clone(&channels);
        Box::pin(async move {
            let kept = channels.borrow().get(&address).cloned();
            let asked = tokio::time::Instant::now();
            if let Some(channel) = kept {
                match ask(channel, question.clone(), within).await {
                    Ok(answer) => return Some(answer),
                    Err(status) => log::debug!(address:%; "a VM gave no answer: {status}"),
                }
                channels.borrow_mut().remove(&address);
            }
            // A kept channel that broke at once says nothing of the VM: a new one does.
            let left = Span(within.0.saturating_sub(Span::from(asked.elapsed()).0));
            if left < WORTH_DIALING {
                return None;
            }
            let channel = open(address)?;
            match ask(channel.clone(), question, left).await {
                Ok(answer) => {
                    channels.borrow_mut().insert(address, channel);
                    Some(answer)
                }
                Err(status) => {
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

fn open(address: SocketAddr) -> Option<Channel> {
    let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
    Some(
        endpoint
            .connect_timeout(DIAL)
            .tcp_nodelay(true)
            .connect_lazy(),
    )
}

async fn ask(channel: Channel, question: Question, within: Span) -> Result<Answer, Status> {
    let asked = rpc::call::<Question, Answer>(channel, question);
    let late = |_| Status::new(Code::DeadlineExceeded, "no answer in time");
    tokio::time::timeout(within.into(), asked)
        .await
        .map_err(late)?
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
