//! One VM's front with two databases whose behaviour a test scripts, on virtual time.

use bytes::BytesMut;
use lentilspoke::clock::{Span, Time};
use lentilspoke::direct::adapter::{Adapter, Documents, Stream};
use lentilspoke::direct::config::{Config, Database, Group, Kind, Route};
use lentilspoke::direct::front::{Front, Location};
use lentilspoke::direct::lead::Lead;
use lentilspoke::direct::table::{Fault, RowId};
use lentilspoke::direct::view::Shared;
use lentilspoke::standin::direct::wire::{self, Request};
use lentilspoke::types::{DatabaseId, GroupId, Version};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::time::{Duration, Instant, sleep};

/// How a database reacts to a statement.
pub enum Reaction {
    /// Answers with these lines, after some milliseconds.
    Answer(u64, String),
    /// Closes the connection.
    Break,
    /// Does not answer.
    Nothing,
}

/// The answer of a healthy database, which tracks the state of a transaction per connection.
fn healthy(open: &mut bool, text: &str) -> Reaction {
    let signature = match text.split(' ').next() {
        Some("read" | "write" | "exec" | "commit") => "sig",
        _ => "-",
    };
    match text.split(' ').next() {
        Some("begin") => *open = true,
        Some("commit" | "rollback") => *open = false,
        _ => {}
    }
    let state = if *open { "open" } else { "idle" };
    Reaction::Answer(1, format!("done {signature}\nstate {state} 1/10\n"))
}

/// Chooses a database's reaction by its id, the number of the connection, and the text (`start`
/// first); `None` is the healthy reaction.
type Script = Box<dyn FnMut(&str, u32, &str) -> Option<Reaction>>;

pub struct World {
    pub shared: Rc<Shared>,
    pub front: Rc<Front>,
    script: Rc<RefCell<Script>>,
    seen: Rc<RefCell<String>>,
    started: Instant,
}

const PRIMARY: &str = "a";
const REPLICA: &str = "b";

fn group() -> GroupId {
    "ledger".parse().unwrap()
}

fn database(id: &str, port: u16) -> Database {
    Database {
        id: id.parse().unwrap(),
        born: None,
        group: group(),
        address: ([10, 0, 0, 1], port).into(),
        domain: if id == PRIMARY { "kisumu" } else { "nairobi" }
            .parse()
            .unwrap(),
        slots: 2,
        leaving: false,
        primary: id == PRIMARY,
    }
}

fn route(kind: Kind) -> Route {
    Route {
        group: group(),
        kind,
        timeout: Span::from_millis(800),
        objective: Span::from_millis(400),
        priority: 1,
        public: false,
    }
}

pub fn config() -> Config {
    let stale = Span::from_millis(1_500);
    let routes = [
        ("newest", route(Kind::Primary)),
        ("aged", route(Kind::Bounded(stale))),
        ("own", route(Kind::Session(stale))),
    ];
    let settings = Group {
        connections: 4,
        durable: false,
    };
    Config {
        version: Version(1),
        routes: routes.map(|(name, route)| (name.into(), route)).into(),
        groups: [(group(), settings)].into(),
        idle: Span::from_secs(3),
        organisations: None,
    }
}

impl World {
    pub fn new() -> Self {
        let started = Instant::now();
        let shared = Rc::new(Shared::default());
        let script: Rc<RefCell<Script>> = Rc::new(RefCell::new(Box::new(|_, _, _| None)));
        let seen = Rc::new(RefCell::new(String::new()));
        let adapter = adapter(started, script.clone(), seen.clone());
        let place = Location {
            domain: "nairobi".parse().unwrap(),
            relay: None,
            regions: BTreeMap::new(),
        };
        let world = Self {
            front: Front::new(adapter, shared.clone(), place),
            shared,
            script,
            seen,
            started,
        };
        world.shared.modify(|view| {
            view.config = Some(Rc::new(config()));
            let databases = [database(PRIMARY, 1), database(REPLICA, 2)];
            view.databases = databases.map(|one| (one.id.clone(), one)).into();
        });
        world.lead(1, PRIMARY, false);
        world
    }

    /// Sets the reactions of databases that differ from a healthy one's.
    pub fn script(&self, script: impl FnMut(&str, u32, &str) -> Option<Reaction> + 'static) {
        *self.script.borrow_mut() = Box::new(script);
    }

    pub fn now(&self) -> Time {
        Time(self.started.elapsed().as_micros() as u64)
    }

    /// Records a reading of the group's lead, taken just now.
    pub fn lead(&self, epoch: u64, primary: &str, changing: bool) {
        let primary: DatabaseId = primary.parse().unwrap();
        let lead = Lead {
            epoch,
            primary,
            born: None,
            changing,
            continues: None,
        };
        let now = self.now();
        self.shared
            .modify(|view| view.leases.learn(&group(), lead, now));
    }

    /// Returns what the databases were sent since the last call.
    pub fn seen(&self) -> String {
        std::mem::take(&mut *self.seen.borrow_mut())
    }

    /// Opens a session and asserts that it is refused.
    #[allow(dead_code)]
    pub async fn refused_caller(&self, route: &str) {
        assert!(self.refusal(route).await.starts_with("error no-database"));
    }

    /// Opens a session and returns the refusal.
    #[allow(dead_code)]
    pub async fn refusal(&self, route: &str) -> String {
        self.connect(route).await.answer().await
    }

    /// Opens a session on a route.
    pub async fn caller(&self, route: &str) -> Caller {
        let mut caller = self.connect(route).await;
        assert_eq!(caller.line().await, "state idle -");
        caller
    }

    async fn connect(&self, route: &str) -> Caller {
        let (ours, theirs) = duplex(64 * 1024);
        tokio::task::spawn_local(self.front.clone().serve_stream(Box::new(theirs)));
        let mut caller = Caller { stream: ours };
        let mut output = BytesMut::new();
        wire::write_caller_start(&mut output, route, "someone");
        caller.stream.write_all(&output).await.unwrap();
        caller
    }
}

fn adapter(started: Instant, script: Rc<RefCell<Script>>, seen: Rc<RefCell<String>>) -> Adapter {
    let numbers = Rc::new(Cell::new(0));
    let promote = |_| -> lentilspoke::direct::adapter::LocalFuture<_> {
        Box::pin(async { lentilspoke::direct::adapter::Promoted::Refused })
    };
    Adapter {
        wire: wire::wire(),
        documents: Documents {
            config: RowId::new("op", "config"),
            register: "servers".into(),
            read_config: |_| Err("unused".into()),
            read_database: |_, _| Err("unused".into()),
        },
        store: Rc::new(|_, _| Box::pin(async { Err(Fault::Refused("unused".into())) })),
        promote: Rc::new(promote),
        connect: Rc::new(move |_, _| {
            let (ours, theirs) = duplex(64 * 1024);
            numbers.set(numbers.get() + 1);
            let serve = serve(theirs, numbers.get(), script.clone(), seen.clone());
            tokio::task::spawn_local(serve);
            Box::pin(async move { Ok(Box::new(ours) as Box<dyn Stream>) })
        }),
        clock: Rc::new(move || Time(started.elapsed().as_micros() as u64)),
    }
}

/// Serves one connection to a database.
async fn serve(
    mut stream: DuplexStream,
    number: u32,
    script: Rc<RefCell<Script>>,
    seen: Rc<RefCell<String>>,
) {
    let mut input = BytesMut::new();
    let mut id = String::new();
    let mut open = false;
    loop {
        let request = loop {
            if let Some(request) = wire::read_request(&mut input).unwrap() {
                break request;
            }
            if stream.read_buf(&mut input).await.unwrap_or(0) == 0 {
                seen.borrow_mut()
                    .push_str(&format!("{id}{number} closed\n"));
                return;
            }
        };
        let (line, text) = match &request {
            Request::Start { database, .. } => {
                id = database.to_string();
                ("start".to_string(), "start".to_string())
            }
            Request::Ask {
                id, after, text, ..
            } => {
                let after = after.map_or(String::new(), |after| format!("after {after} "));
                (format!("{id} {after}{text}"), text.to_string())
            }
            Request::Bye => return,
        };
        seen.borrow_mut()
            .push_str(&format!("{id}{number} {line}\n"));
        let reaction = (script.borrow_mut())(&id, number, &text);
        let reaction = reaction.unwrap_or_else(|| match text.as_str() {
            "start" => Reaction::Answer(12, "state idle 1/10\n".into()),
            text => healthy(&mut open, text),
        });
        match reaction {
            Reaction::Answer(millis, lines) => {
                sleep(Duration::from_millis(millis)).await;
                if stream.write_all(lines.as_bytes()).await.is_err() {
                    return;
                }
            }
            Reaction::Break => return,
            Reaction::Nothing => {}
        }
    }
}

/// A caller with an open connection.
pub struct Caller {
    stream: DuplexStream,
}

impl Caller {
    /// Sends a statement, and returns the lines of its answer joined into one.
    pub async fn ask(&mut self, text: &str) -> String {
        self.send(text).await;
        self.answer().await
    }

    pub async fn send(&mut self, text: &str) {
        self.send_as("q", text).await;
    }

    /// Sends a statement under an id.
    pub async fn send_as(&mut self, id: &str, text: &str) {
        let mut output = BytesMut::new();
        wire::write_caller_query(&mut output, id, text);
        self.stream.write_all(&output).await.unwrap();
    }

    pub async fn answer(&mut self) -> String {
        let mut lines = Vec::new();
        loop {
            let line = self.line().await;
            let last = line.starts_with("state") || line == "(closed)";
            lines.push(line);
            if last {
                return lines.join(" | ");
            }
        }
    }

    /// Runs statements one after the other, and returns each with its answer.
    pub async fn run_all(&mut self, texts: &[&str]) -> String {
        let mut answers = String::new();
        for text in texts {
            let answer = self.ask(text).await;
            answers.push_str(&format!("{text}: {answer}\n"));
        }
        answers
    }

    pub async fn line(&mut self) -> String {
        let mut line = Vec::new();
        let mut byte = [0];
        loop {
            match self.stream.read(&mut byte).await {
                Ok(0) | Err(_) => return "(closed)".into(),
                Ok(_) if byte[0] == b'\n' => return String::from_utf8(line).unwrap(),
                Ok(_) => line.push(byte[0]),
            }
        }
    }
}
