//! Safeguards that ordinary schedules rarely need, each tested with the inputs that need it.

mod support;

use lentilspoke::clock::{Span, Time};
use lentilspoke::core::database::{Command, Event, Reply};
use lentilspoke::core::member::Identity;
use lentilspoke::core::message::{Hello, Message, Work};
use lentilspoke::core::node::{Input, Node};
use lentilspoke::core::output::Output;
use lentilspoke::core::request::{Class, Kind, Outcome, Status};
use lentilspoke::types::{ConnId, Life, Link, Offset, Position, RequestId, Term, Version, VmId};
use std::sync::Arc;
use support::{World, document, id};

/// A single node with a configuration, whose inputs the test supplies.
struct Driver {
    node: Node,
    now: Time,
}

impl Driver {
    fn new() -> Self {
        let now = Time(1_000_000);
        let identity = Identity {
            vm: id("vm0"),
            domain: id("x"),
            life: Life(7),
        };
        let mut driver = Self {
            node: Node::new(identity, now),
            now,
        };
        let accepted = lentilspoke::config::Accepted {
            version: Version(1),
            document: document(),
        };
        driver.input(Input::Accepted(Arc::new(accepted)));
        driver
    }

    fn input(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.node.handle(self.now, input, &mut out);
        out
    }

    /// Sends work of `vm`'s first caller for the replica `b` until it runs on a connection.
    fn run(&mut self, vm: &VmId, kind: Kind, floor: Option<Position>) -> (ConnId, RequestId) {
        let work = Work {
            request: RequestId(1),
            link: Link(1),
            session: None,
            caller: id("broker"),
            pool: id("safe"),
            group: id("ledger"),
            database: id("b"),
            kind,
            primary: false,
            class: Class::Session,
            floor,
            max_age: None,
            key: None,
            timeout: Span::from_secs(5),
            leader: None,
            body: "r".into(),
        };
        let (from, message) = (vm.clone(), Message::Work(work));
        let mut out = self.input(Input::Message { from, message });
        let conns: Vec<ConnId> = out.iter().filter_map(connecting).collect();
        for conn in conns {
            out.extend(self.input(Input::Database(Event::Connected { conn })));
        }
        out.iter().find_map(running).expect("the work runs")
    }

    fn answer(&mut self, conn: ConnId, request: RequestId, status: Status) -> Vec<Output> {
        let reply = Reply {
            request,
            body: "rows".into(),
            status,
            applied: Position::new(Term(1), Offset(0)),
            wrote: None,
        };
        self.input(Input::Database(Event::Answered { conn, reply }))
    }
}

fn connecting(output: &Output) -> Option<ConnId> {
    match output {
        Output::Database(Command::Connect { conn, .. }) => Some(*conn),
        _ => None,
    }
}

fn running(output: &Output) -> Option<(ConnId, RequestId)> {
    match output {
        Output::Database(Command::Run { conn, run }) => Some((*conn, run.request)),
        _ => None,
    }
}

fn closes(out: &[Output], wanted: ConnId) -> bool {
    let close = Output::Database(Command::Close { conn: wanted });
    out.contains(&close)
}

fn outcomes(out: &[Output]) -> Vec<String> {
    let answers = out.iter().filter_map(|output| match output {
        Output::Send { message, .. } => Some(message),
        _ => None,
    });
    let outcomes = answers.filter_map(|message| match message {
        Message::Answer(answer) => Some(support::short(&answer.outcome)),
        _ => None,
    });
    outcomes.collect()
}

/// A connection returns an answer to other work than it runs. That answer is dropped, the connection
/// is closed, and the outcome of the work that ran on it is unknown.
#[test]
fn an_answer_to_other_work_closes_its_connection() {
    let mut driver = Driver::new();
    let (conn, request) = driver.run(&id("vm1"), Kind::Read, None);
    let out = driver.answer(conn, RequestId(request.0 + 1), Status::Idle);
    assert!(closes(&out, conn));
    assert_eq!(outcomes(&out), ["unknown: Broken"]);
    assert!(outcomes(&driver.answer(conn, request, Status::Idle)).is_empty());
}

/// A VM is replaced by one of the same name, and its stream was never seen to break. The former
/// process's transaction is rolled back when the new one sends its hello.
#[test]
fn a_new_process_ends_its_predecessors_transactions() {
    let mut driver = Driver::new();
    let vm: VmId = id("vm1");
    let hello = |life| Input::Message {
        from: id("vm1"),
        message: Message::Hello(Hello {
            life: Life(life),
            version: Version(1),
            stopping: false,
        }),
    };
    driver.input(hello(1));
    let (conn, request) = driver.run(&vm, Kind::BeginRead, None);
    driver.answer(conn, request, Status::Open);
    assert!(!closes(&driver.input(hello(1)), conn));
    assert!(closes(&driver.input(hello(2)), conn));
}

/// A statement of a transaction is refused without being run, and its caller commits nevertheless.
/// The transaction is rolled back with the statement, so the commit must commit nothing.
#[test]
fn a_statement_that_was_not_run_ends_its_transaction() {
    let mut world = World::ready(3);
    world.begin("vm1", 1, "lot-1");
    world.database("a").refuse = 1;
    world.say("vm1", 1, "w lot-2");
    world.wait(1, 3);
    world.say("vm1", 1, "commit");
    world.wait(1, 4);
    assert_eq!(
        world.told(1)[2..],
        ["not run: RolledBack", "not run: RolledBack"]
    );
    assert!(world.database("a").texts().is_empty());
}

/// A replica is restored from a backup and loses data that it had reported as applied. The position
/// in its answer is too low, so the session's read must not get that answer.
#[test]
fn a_restored_replica_answers_no_session() {
    let mut world = World::ready(3);
    world.write_as("vm1", 1, "broker", "lot-1");
    world.wait(1, 1);
    for link in 2..12 {
        world.read_as("vm1", link, "broker");
        world.wait(link, 1);
    }
    for replica in ["b", "c"] {
        world.database(replica).log.applied = 0;
    }
    for link in 12..16 {
        world.read_as("vm1", link, "broker");
        let outcome = world.wait(link, 1);
        let shown = support::short(&outcome);
        let done = matches!(outcome, Outcome::Done(_));
        assert!(!done || shown.ends_with("lot-1"), "{shown}");
    }
}
