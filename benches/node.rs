//! The cost of one statement in the core, by where it runs, and whether it grows with the number of
//! sessions, databases in the document, or VMs.
//!
//! Databases and other proxies answer at once, so only `Node::handle` and the construction of the
//! answers are measured; the time of a statement covers all inputs that it needs.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use lentilspoke::clock::{Span, Time};
use lentilspoke::config::{Accepted, Document};
use lentilspoke::core::database::{Command, Event, Order, Reply, State};
use lentilspoke::core::lineage::Lineage;
use lentilspoke::core::member::{Identity, Member};
use lentilspoke::core::message::{
    Answer, Controlled, Grant, Hint, Leased, Message, Observation, Primary, Report, Suspected, Work,
};
use lentilspoke::core::node::{Input, Node};
use lentilspoke::core::output::Output;
use lentilspoke::core::request::{Class, Done, Kind, Outcome, Request, Status};
use lentilspoke::types::{
    GroupId, Life, Link, Offset, Position, RequestId, SessionId, Term, Version, VmId,
};
use std::collections::{HashMap, VecDeque};
use std::hint::black_box;
use std::sync::Arc;

const DATABASES: [usize; 2] = [3, 1_200];
const VMS: [usize; 2] = [8, 580];
const SESSIONS: [usize; 3] = [1, 100, 10_000];

/// A node with simulated databases and peers that answer at once.
struct Bench {
    node: Node,
    now: Time,
    inputs: VecDeque<Input>,
    replies: usize,
    answers: usize,
    offset: u64,
    term: Term,
    lineage: Lineage,
    /// The VM that leads every group that the node does not.
    other: VmId,
    sessions: Vec<SessionId>,
    session_index: usize,
    group: GroupId,
    databases: HashMap<GroupId, String>,
}

fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().unwrap()
}

fn document(databases: usize) -> Document {
    let groups: Vec<String> = (0..databases / 3).map(group_json).collect();
    let names: Vec<String> = (0..databases / 3).map(|g| format!("\"g{g}\"")).collect();
    let pools = format!(r#"{{"all": {{"groups": [{}]}}}}"#, names.join(","));
    let text = format!(
        r#"{{"groups": {{{}}}, "pools": {pools}}}"#,
        groups.join(",")
    );
    serde_json::from_str(&text).unwrap()
}

fn group_json(group: usize) -> String {
    let database = |n: usize| {
        format!(
            r#""g{group}d{n}": {{"address": "10.0.0.1:1", "domain": "x{}",
            "slots": 64, "connections": 64}}"#,
            (group + n) % 7
        )
    };
    let databases: Vec<String> = (0..3).map(database).collect();
    format!(
        r#""g{group}": {{"databases": {{{}}}}}"#,
        databases.join(",")
    )
}

impl Bench {
    /// Creates `vm0`, which holds databases, or `vm5`, which is only an entry if there are few
    /// databases.
    fn new(databases: usize, vms: usize, sessions: usize, index: usize) -> Self {
        let now = Time(1_000_000);
        let me = Identity {
            vm: id(&format!("vm{index}")),
            domain: id(&format!("x{index}")),
            life: Life(1),
        };
        let member = |n: usize| Member {
            vm: id(&format!("vm{n}")),
            address: "10.0.0.1:1".parse().unwrap(),
            domain: id(&format!("x{}", n % 7)),
            leaving: false,
        };
        let mut bench = Self {
            node: Node::new(me, now),
            now,
            inputs: VecDeque::new(),
            replies: 0,
            answers: 0,
            offset: 0,
            term: Term(1),
            lineage: Lineage::default(),
            other: id("vm1"),
            sessions: (0..sessions).map(|n| id(&format!("session-{n}"))).collect(),
            session_index: 0,
            group: id("g0"),
            databases: HashMap::new(),
        };
        bench.handle(Input::Members((0..vms).map(member).collect()));
        bench.handle(Input::Accepted(Arc::new(Accepted {
            version: Version(1),
            document: document(databases),
        })));
        for _ in 0..400 {
            bench.now = bench.now + Span::from_millis(10);
            bench.handle(Input::Tick);
        }
        bench
    }

    /// Selects a group in which the node has no role.
    fn with_remote_group(mut self) -> Self {
        let state = serde_json::to_value(self.node.state()).unwrap();
        let stewards = state["stewards"].as_object().unwrap();
        let mut groups = (0..).map(|n| format!("g{n}"));
        self.group = id(&groups.find(|name| !stewards.contains_key(name)).unwrap());
        self
    }

    /// Selects a group that the node leads.
    fn with_led_group(mut self) -> Self {
        let state = serde_json::to_value(self.node.state()).unwrap();
        let stewards = state["stewards"].as_object().unwrap();
        let led = stewards
            .iter()
            .find(|(_, steward)| steward["phase"] == "lead");
        self.group = id(led.expect("leads a group").0);
        self
    }

    fn handle(&mut self, input: Input) {
        self.inputs.push_back(input);
        let mut out = Vec::new();
        while let Some(input) = self.inputs.pop_front() {
            self.node.handle(self.now, input, &mut out);
            for output in out.drain(..) {
                self.answer(output);
            }
        }
    }

    fn answer(&mut self, output: Output) {
        match output {
            Output::Reply { outcome, .. } => {
                assert!(matches!(outcome, Outcome::Done(_)), "{outcome:?}");
                self.replies += 1;
            }
            Output::Database(command) => self.command(command),
            Output::Send { to, message } => self.message(to, message),
            Output::Dismiss(_) | Output::Stopped => {}
        }
    }

    fn position(&self) -> Position {
        Position::new(self.term, Offset(self.offset))
    }

    fn state(&self) -> State {
        State {
            term: self.term,
            position: self.position(),
            applied: self.position(),
            open: true,
            lineage: self.lineage.clone(),
        }
    }

    fn command(&mut self, command: Command) {
        let event = match command {
            Command::Connect { conn, .. } => Event::Connected { conn },
            Command::Run { conn, run } => {
                let writes = run.body.first() == Some(&b'w');
                self.offset += u64::from(writes);
                let reply = Reply {
                    request: run.request,
                    body: run.body,
                    status: Status::Idle,
                    applied: self.position(),
                    wrote: writes.then(|| self.position()),
                };
                Event::Answered { conn, reply }
            }
            Command::Control { id, order, .. } => {
                let result = Some(Ok(self.order(order)));
                Event::Controlled { id, result }
            }
            Command::Cancel { .. } | Command::Close { .. } => return,
        };
        self.inputs.push_back(Input::Database(event));
    }

    fn order(&mut self, order: Order) -> State {
        match order {
            Order::Raise(term) => self.term = self.term.max(term),
            Order::Open(term) if self.lineage.last() != Some(term) => {
                self.lineage.open(term, self.position());
            }
            _ => {}
        }
        self.state()
    }

    fn message(&mut self, from: VmId, message: Message) {
        let message = match message {
            Message::Work(work) => Message::Answer(answer(work, self.position())),
            Message::Answer(_) => {
                self.answers += 1;
                return;
            }
            Message::FloorRequest(question) => Message::Grant(Grant {
                request: question.request,
                group: question.group.clone(),
                floor: question.session.map(|_| Leased {
                    floor: Position::default(),
                    span: Span::from_millis(900),
                    lineage: Lineage::default(),
                }),
                primary: Some(self.leader(&question.group)),
            }),
            Message::Probe(probe) => Message::Report(Report {
                group: probe.group,
                database: probe.database,
                round: probe.round,
                observation: Some(Observation {
                    term: self.term,
                    position: self.position(),
                    open: false,
                }),
                version: probe.version,
            }),
            Message::Control(control) => Message::Controlled(Controlled {
                request: control.request,
                database: control.database,
                result: Some(Ok(self.order(control.order))),
            }),
            Message::Suspect(suspect) => Message::Suspected(Suspected {
                request: suspect.request,
                group: suspect.group,
                steward_responds: false,
                reached: None,
                primary: None,
            }),
            _ => return,
        };
        self.inputs.push_back(Input::Message { from, message });
    }

    fn leader(&mut self, group: &GroupId) -> Primary {
        let name = self.databases.entry(group.clone());
        let name = name.or_insert_with(|| format!("{group}d0"));
        Primary {
            term: Term(1),
            database: id(name),
            steward: self.other.clone(),
        }
    }

    fn request(&mut self, kind: Kind) -> Request {
        self.session_index = (self.session_index + 1) % self.sessions.len();
        Request {
            link: Link(self.session_index as u64),
            session: Some(self.sessions[self.session_index].clone()),
            caller: id("broker"),
            pool: id("all"),
            group: self.group.clone(),
            kind,
            max_age: None,
            key: None,
            token_floor: None,
            deadline: self.now + Span::from_secs(5),
            body: if kind == Kind::Write {
                "w".into()
            } else {
                "r".into()
            },
        }
    }

    /// Runs a statement of a local caller until its reply.
    fn statement(&mut self, kind: Kind) {
        self.now = self.now + Span(50);
        let request = self.request(kind);
        let before = self.replies;
        self.handle(Input::Submit(request));
        black_box(self.node.wake());
        if self.node.wake().is_some_and(|wake| wake <= self.now) {
            self.handle(Input::Tick);
        }
        assert_eq!(self.replies, before + 1, "no reply");
    }

    /// Runs a statement sent by another entry until its answer.
    fn work(&mut self, kind: Kind, database: &str) {
        self.now = self.now + Span(50);
        let request = self.request(kind);
        let work = Work {
            request: RequestId(self.answers as u64),
            link: request.link,
            session: request.session,
            caller: request.caller,
            pool: request.pool,
            group: request.group,
            database: id(database),
            kind,
            primary: kind == Kind::Write,
            class: Class::Session,
            floor: None,
            max_age: None,
            key: None,
            timeout: Span::from_secs(5),
            leader: Some(self.term),
            body: request.body,
        };
        let (before, from) = (self.answers, self.other.clone());
        let message = Message::Work(work);
        self.handle(Input::Message { from, message });
        if self.node.wake().is_some_and(|wake| wake <= self.now) {
            self.handle(Input::Tick);
        }
        assert_eq!(self.answers, before + 1, "no answer");
    }
}

fn answer(work: Work, position: Position) -> Answer {
    let writes = work.kind == Kind::Write;
    Answer {
        request: work.request,
        outcome: Outcome::Done(Done {
            body: work.body,
            status: Status::Idle,
            wrote: writes.then_some(position),
            replica: !writes,
        }),
        refused: None,
        lease: writes.then_some(Span::from_millis(900)),
        hint: Hint {
            position,
            ..Hint::default()
        },
    }
}

fn statements(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("statement");
    for (databases, vms) in DATABASES.into_iter().zip(VMS) {
        for sessions in SESSIONS {
            let name = |what: &str| {
                let size = format!("{databases} databases, {vms} VMs, {sessions} sessions");
                BenchmarkId::new(what, size)
            };
            let mut bench = Bench::new(databases, vms, sessions, 0).with_led_group();
            group.bench_function(name("local write"), |b| {
                b.iter(|| bench.statement(Kind::Write))
            });
            group.bench_function(name("read at entry"), |b| {
                b.iter(|| bench.statement(Kind::Read))
            });
            let held_database = held_database(&bench);
            group.bench_function(name("write at holder"), |b| {
                b.iter(|| bench.work(Kind::Write, &held_database));
            });
            group.bench_function(name("read at holder"), |b| {
                b.iter(|| bench.work(Kind::Read, &held_database));
            });
            let mut bench = Bench::new(databases, vms, sessions, 5).with_remote_group();
            group.bench_function(name("forwarded write at entry"), |b| {
                b.iter(|| bench.statement(Kind::Write));
            });
            group.bench_function(name("forwarded read at entry"), |b| {
                b.iter(|| bench.statement(Kind::Read));
            });
        }
    }
    group.finish();
}

/// The primary of the group that the node leads.
fn held_database(bench: &Bench) -> String {
    let state = serde_json::to_value(bench.node.state()).unwrap();
    let leader = &state["leaders"][bench.group.as_str()];
    leader["database"].as_str().unwrap().to_owned()
}

/// The immediate cost of a change of the VM list, with the whole document.
fn members(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("members");
    group.sample_size(10);
    for (databases, vms) in DATABASES.into_iter().zip(VMS) {
        let mut bench = Bench::new(databases, vms, 1, 0);
        let member = |n: usize| Member {
            vm: id(&format!("vm{n}")),
            address: "10.0.0.1:1".parse().unwrap(),
            domain: id(&format!("x{}", n % 7)),
            leaving: false,
        };
        let list: Vec<Member> = (0..vms).map(member).collect();
        let name = format!("{databases} databases, {vms} VMs");
        group.bench_function(name, |b| {
            b.iter(|| bench.handle(Input::Members(list.clone())))
        });
    }
    group.finish();
}

criterion_group!(benches, statements, members);
criterion_main!(benches);
