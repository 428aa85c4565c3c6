//! A simple fake of the proxy's core, to test callers' connections.

use super::Session;
use bytes::Bytes;
use lentilspoke::clock::{Span, Time};
use lentilspoke::core::request::{Cause, Done, Kind, NotRun, Outcome, Request, Status};
use lentilspoke::net::pg::{Core, Pool, Rules, Signal, serve};
use lentilspoke::types::{Link, Offset, Position, Term};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};

/// Answers every request immediately, in a new session unless a transaction is open.
#[derive(Default)]
pub struct World {
    pub signals: RefCell<HashMap<Link, UnboundedSender<Signal>>>,
    pub transactions: RefCell<HashMap<Link, Session>>,
    pub requests: RefCell<Vec<Request>>,
    /// Outcomes of the next requests, last one first, used instead of the session's answers.
    pub script: RefCell<Vec<Outcome>>,
    /// Whether requests get no outcome.
    pub silent: Cell<bool>,
    pub cancelled: RefCell<Vec<Link>>,
    pub departed: RefCell<Vec<Link>>,
    pub links: Cell<u64>,
}

impl World {
    fn submit(&self, request: Request) {
        let link = request.link;
        let kind = request.kind;
        let body = request.body.clone();
        self.requests.borrow_mut().push(request);
        if self.silent.get() {
            return;
        }
        let scripted = self.script.borrow_mut().pop();
        let outcome = scripted.unwrap_or_else(|| self.run(link, kind, body));
        let floor = Some(Position::new(Term(1), Offset(7)));
        let _ = self.signals.borrow()[&link].send(Signal::Outcome { outcome, floor });
    }

    fn run(&self, link: Link, kind: Kind, body: Bytes) -> Outcome {
        let mut transactions = self.transactions.borrow_mut();
        let mut session = transactions.remove(&link).unwrap_or_default();
        let body = session.answer(body);
        let status = session.status;
        if status != Status::Idle {
            transactions.insert(link, session);
        }
        Outcome::Done(Done {
            body,
            status,
            wrote: (kind == Kind::Write).then(|| Position::new(Term(1), Offset(7))),
            replica: kind == Kind::Read,
        })
    }

    pub fn kinds(&self) -> Vec<Kind> {
        self.requests.borrow().iter().map(|r| r.kind).collect()
    }

    pub fn signal_all(&self, signal: fn() -> Signal) {
        for sender in self.signals.borrow().values() {
            let _ = sender.send(signal());
        }
    }
}

pub fn core(world: &Rc<World>) -> Core {
    let [opened, submitted, departed, cancelled] = [(); 4].map(|()| Rc::clone(world));
    Core {
        open: Box::new(move || {
            let (sender, receiver) = unbounded_channel();
            opened.links.set(opened.links.get() + 1);
            let link = Link(opened.links.get());
            opened.signals.borrow_mut().insert(link, sender);
            (link, receiver)
        }),
        submit: Box::new(move |request| submitted.submit(request)),
        depart: Box::new(move |link| departed.departed.borrow_mut().push(link)),
        cancel: Box::new(move |link| {
            cancelled.cancelled.borrow_mut().push(link);
            let outcome = Outcome::NotRun(not_run(Cause::Expired));
            let _ = cancelled.signals.borrow()[&link].send(Signal::Outcome {
                outcome,
                floor: None,
            });
        }),
        now: Box::new(|| Time(0)),
        pool: Box::new(|_, group| {
            (group.as_str() == "ledger1").then(|| Pool {
                id: "desk".parse().unwrap(),
                max_age: None,
                patience: Span::from_secs(5),
            })
        }),
    }
}

pub fn not_run(cause: Cause) -> NotRun {
    NotRun {
        cause,
        retry_after: Span::from_millis(250),
    }
}

pub async fn listen(rules: Rules) -> (Rc<World>, SocketAddr) {
    let world = Rc::new(World::default());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(serve(listener, core(&world), rules));
    (world, address)
}
