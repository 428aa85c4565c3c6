//! Connections to a simplified database, over loopback.

mod fake;

use bytes::{Bytes, BytesMut};
use fake::query;
use fake::server::{Database, start};
use lentilspoke::core::database::{Command, Event, Order, Refusal, Reply, Run};
use lentilspoke::core::request::Status;
use lentilspoke::net::frame::{Frame, kind, put_raw, split};
use lentilspoke::net::splice::{Expect, Step, splice};
use lentilspoke::net::target::{Names, Targets, rewrite};
use lentilspoke::types::{ConnId, Offset, Position, RequestId, Term};
use quickcheck::quickcheck;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

const CONN: ConnId = ConnId(1);

struct World {
    targets: Targets,
    events: UnboundedReceiver<Event>,
    database: Rc<RefCell<Database>>,
    address: SocketAddr,
    runs: u64,
}

impl World {
    async fn start() -> Self {
        let (database, address) = start().await;
        let (sender, events) = unbounded_channel();
        Self {
            targets: Targets::new("127.0.0.7".parse().unwrap(), sender),
            events,
            database,
            address,
            runs: 0,
        }
    }

    async fn connected() -> Self {
        let mut world = Self::start().await;
        assert_eq!(world.connect().await, Event::Connected { conn: CONN });
        world
    }

    async fn connect(&mut self) -> Event {
        self.targets.command(Command::Connect {
            conn: CONN,
            database: "a".parse().unwrap(),
            address: self.address,
        });
        self.event().await
    }

    async fn event(&mut self) -> Event {
        self.events.recv().await.unwrap()
    }

    fn send(&mut self, term: Option<u64>, key: Option<&str>, body: Bytes) {
        self.runs += 1;
        let run = Run {
            request: RequestId(self.runs),
            term: term.map(Term),
            caller: "broker".parse().unwrap(),
            key: key.map(|key| key.parse().unwrap()),
            body,
        };
        self.targets.command(Command::Run { conn: CONN, run });
    }

    async fn run(&mut self, term: Option<u64>, key: Option<&str>, body: Bytes) -> Event {
        self.send(term, key, body);
        self.event().await
    }

    async fn answer(&mut self, body: Bytes) -> Reply {
        match self.run(Some(1), None, body).await {
            Event::Answered { reply, .. } => reply,
            other => panic!("{other:?}"),
        }
    }

    async fn control(&mut self, id: u64, order: Order) -> Event {
        self.targets.command(Command::Control {
            id: RequestId(id),
            database: "a".parse().unwrap(),
            address: self.address,
            order,
        });
        self.event().await
    }
}

/// The type bytes of an answer.
fn kinds(body: &Bytes) -> String {
    let frames = split(body.clone()).unwrap();
    frames
        .iter()
        .map(|frame| char::from(frame.kind()))
        .collect()
}

/// A batch of the extended protocol that prepares and runs a statement under a name.
fn extended(name: &str, text: &str) -> Bytes {
    let mut out = BytesMut::new();
    let zero: &[u8] = &[0];
    let parse = [name.as_bytes(), zero, text.as_bytes(), zero, &[0, 0]];
    put_raw(&mut out, kind::PARSE, &parse);
    put_raw(
        &mut out,
        kind::BIND,
        &[zero, name.as_bytes(), zero, &[0; 6]],
    );
    put_raw(&mut out, kind::EXECUTE, &[zero, &[0; 4]]);
    put_raw(&mut out, kind::SYNC, &[]);
    out.freeze()
}

/// A batch that runs one statement several times.
fn extended_rows(text: &str, times: usize) -> Bytes {
    let mut out = BytesMut::new();
    let zero: &[u8] = &[0];
    let parse = [zero, text.as_bytes(), zero, &[0, 0]];
    put_raw(&mut out, kind::PARSE, &parse);
    for _ in 0..times {
        put_raw(&mut out, kind::BIND, &[zero, zero, &[0; 6]]);
        put_raw(&mut out, kind::EXECUTE, &[zero, &[0; 4]]);
    }
    put_raw(&mut out, kind::SYNC, &[]);
    out.freeze()
}

#[actix_rt::test]
async fn work_is_answered_with_positions() {
    let mut world = World::connected().await;
    let reply = world.answer(query("INSERT x")).await;
    let first = Position::new(Term(1), Offset(1));
    assert_eq!((reply.wrote, reply.applied), (Some(first), first));
    assert_eq!(
        (kinds(&reply.body).as_str(), reply.status),
        ("C", Status::Idle)
    );
    let reply = world.answer(query("SELECT 1")).await;
    assert_eq!((reply.wrote, reply.applied), (None, first));
    assert_eq!(kinds(&reply.body), "TDC");
    let reply = world.answer(query("BEGIN")).await;
    assert_eq!(reply.status, Status::Open);
    let reply = world.answer(query("FAIL")).await;
    assert_eq!(
        (kinds(&reply.body).as_str(), reply.status),
        ("E", Status::Failed)
    );
}

#[actix_rt::test]
async fn a_statement_is_prepared_once_on_a_connection() {
    let mut world = World::connected().await;
    for _ in 0..3 {
        let reply = world.answer(extended("ls_1", "SELECT 1")).await;
        assert_eq!(kinds(&reply.body), "12DC");
    }
    let reply = world.answer(extended("ls_2", "FAIL PARSE")).await;
    assert_eq!(kinds(&reply.body), "E");
    let reply = world.answer(extended("ls_2", "FAIL PARSE")).await;
    assert_eq!(kinds(&reply.body), "E");
    let log = &world.database.borrow().log;
    insta::assert_snapshot!(log.join("\n"), @r"
parse SELECT 1
SELECT 1
SELECT 1
SELECT 1
parse FAIL PARSE
parse FAIL PARSE
");
}

/// The database is in a later term than the proxy assumes, as after a replacement of the primary.
/// It refuses work of the old term before running it, and the connection stays usable.
#[actix_rt::test]
async fn work_of_another_term_is_refused_unrun() {
    let mut world = World::connected().await;
    world.answer(query("SELECT 1")).await;
    world.database.borrow_mut().term = 2;
    for body in [query("INSERT x"), extended("ls_1", "INSERT x")] {
        let event = world.run(Some(1), None, body).await;
        let Event::Refused { refusal, .. } = event else {
            panic!("{event:?}");
        };
        assert_eq!(refusal, Refusal::Term(Term(2)));
    }
    let event = world.run(Some(2), None, extended("ls_1", "INSERT x")).await;
    assert!(matches!(event, Event::Answered { .. }), "{event:?}");
    assert_eq!(
        world.database.borrow().log,
        ["SELECT 1", "parse INSERT x", "INSERT x"]
    );
}

/// A caller retries a booking under the same request key: it must get the first result, and only
/// one booking is made. Other work under the same key is an error; otherwise it would be answered
/// with the first work's result.
#[actix_rt::test]
async fn a_key_runs_once() {
    let mut world = World::connected().await;
    for body in [query("INSERT lot"), query("INSERT lot")] {
        let event = world.run(Some(1), Some("lot-9"), body).await;
        let Event::Answered { reply, .. } = event else {
            panic!("{event:?}");
        };
        assert_eq!(
            (kinds(&reply.body).as_str(), reply.status),
            ("C", Status::Idle)
        );
        assert_eq!(reply.wrote, Some(Position::new(Term(1), Offset(1))));
    }
    let event = world
        .run(Some(1), Some("lot-9"), query("INSERT other"))
        .await;
    let Event::Answered { reply, .. } = event else {
        panic!("{event:?}");
    };
    assert_eq!(kinds(&reply.body), "E");
    let log = world.database.borrow().log.clone();
    let inserts: Vec<&String> = log.iter().filter(|text| text.contains("INSERT")).collect();
    assert_eq!(inserts, ["INSERT lot"]);
}

/// Work under a key fails in the database: its transaction is rolled back, the caller receives the
/// error, and the connection stays in sync.
#[actix_rt::test]
async fn failed_work_under_a_key_is_rolled_back() {
    let mut world = World::connected().await;
    let event = world.run(Some(1), Some("lot-9"), query("FAIL")).await;
    let Event::Answered { reply, .. } = event else {
        panic!("{event:?}");
    };
    assert_eq!(
        (kinds(&reply.body).as_str(), reply.status),
        ("E", Status::Idle)
    );
    assert_eq!(world.database.borrow().log, ["FAIL", "ROLLBACK"]);
    world.answer(query("SELECT 1")).await;
}

/// A database sends more than one answer. The extra messages could be taken for the answer to the
/// next caller's work, so the connection is closed and no more work is sent on it.
#[actix_rt::test]
async fn a_connection_with_a_stray_answer_is_closed() {
    let mut world = World::connected().await;
    world.database.borrow_mut().stray = Some(fake::query("x").slice(0..0));
    world.answer(query("SELECT 1")).await;
    let mut stray = BytesMut::new();
    put_raw(&mut stray, kind::COMMAND_COMPLETE, &[b"SELECT 1\0"]);
    world.database.borrow_mut().stray = Some(stray.freeze());
    world.send(Some(1), None, query("SELECT 2"));
    let events = world.event().await;
    if matches!(events, Event::Answered { .. }) {
        assert_eq!(world.event().await, Event::Closed { conn: CONN });
    } else {
        assert_eq!(events, Event::Closed { conn: CONN });
    }
    let event = world.run(Some(1), None, query("SELECT 3")).await;
    assert_eq!(event, Event::Closed { conn: CONN });
    assert!(!world.database.borrow().log.contains(&"SELECT 3".to_owned()));
}

#[actix_rt::test]
async fn a_copy_closes_the_connection() {
    let mut world = World::connected().await;
    let mut copy = BytesMut::new();
    put_raw(&mut copy, b'G', &[&[0, 0, 0]]);
    world.database.borrow_mut().stray = Some(copy.freeze());
    world.send(Some(1), None, query("SELECT 1"));
    while world.event().await != (Event::Closed { conn: CONN }) {}
}

/// An answer is above the size limit, in one row or in many. The caller receives an error saying
/// that the work was run and the answer dropped; the connection stays in sync and open.
#[actix_rt::test]
async fn an_answer_too_long_is_dropped() {
    let mut world = World::connected().await;
    let row = format!("SELECT {}", "x".repeat(1 << 20));
    let rows = extended_rows(&row, 17);
    for body in [query(&"SELECT ".repeat(3 << 20)), rows] {
        let reply = world.answer(body).await;
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        assert!(text.contains("54000") && text.contains("The work was run."));
        assert_eq!(kinds(&reply.body), "E");
    }
    let reply = world.answer(query("SELECT 1")).await;
    assert_eq!(kinds(&reply.body), "TDC");
}

#[actix_rt::test]
async fn a_full_database_is_reported() {
    let mut world = World::start().await;
    world.database.borrow_mut().full = true;
    let failed = |full| Event::ConnectFailed { conn: CONN, full };
    assert_eq!(world.connect().await, failed(true));
    world.address.set_port(1);
    assert_eq!(world.connect().await, failed(false));
}

/// The core closes a connection that does not answer in time. The answer that arrives later must
/// not be read.
#[actix_rt::test]
async fn a_closed_connection_reports_nothing_more() {
    let mut world = World::connected().await;
    world.database.borrow_mut().silent = true;
    world.send(Some(1), None, query("SELECT 1"));
    while world.database.borrow().log.is_empty() {
        tokio::task::yield_now().await;
    }
    world.targets.command(Command::Cancel { conn: CONN });
    while world.database.borrow().cancels == 0 {
        tokio::task::yield_now().await;
    }
    world.targets.command(Command::Close { conn: CONN });
    world.database.borrow_mut().silent = false;
    assert_eq!(world.connect().await, Event::Connected { conn: CONN });
    let reply = world.answer(query("SELECT 2")).await;
    assert_eq!(reply.request, RequestId(2));
}

#[actix_rt::test]
async fn orders_are_carried_out_in_order() {
    let mut world = World::start().await;
    let raised = world.control(1, Order::Raise(Term(4))).await;
    let Event::Controlled {
        id,
        result: Some(Ok(state)),
    } = raised
    else {
        panic!("{raised:?}");
    };
    assert_eq!((id, state.term), (RequestId(1), Term(4)));
    let again = world.control(2, Order::Raise(Term(4))).await;
    let refused = Some(Err(Refusal::Term(Term(4))));
    assert_eq!(
        again,
        Event::Controlled {
            id: RequestId(2),
            result: refused
        }
    );
    world.control(3, Order::Report).await;
    assert_eq!(world.database.borrow().accepted, 1);
    world.control(4, Order::Reach(Position::default())).await;
    assert_eq!(world.database.borrow().accepted, 2);
}

/// A control connection stops answering while new connections work. Its pending order fails at the
/// deadline, and the next order is answered on a new connection.
#[actix_rt::test]
async fn a_silent_control_connection_is_replaced() {
    let mut world = World::start().await;
    world.control(1, Order::Report).await;
    world.database.borrow_mut().silent = true;
    let silent = world.control(2, Order::Report).await;
    assert_eq!(
        silent,
        Event::Controlled {
            id: RequestId(2),
            result: None
        }
    );
    world.database.borrow_mut().silent = false;
    let event = world.control(3, Order::Report).await;
    assert!(
        matches!(
            event,
            Event::Controlled {
                result: Some(_),
                ..
            }
        ),
        "{event:?}"
    );
}

fn frames(kinds: &[u8]) -> Vec<Frame> {
    let mut out = BytesMut::new();
    for kind in kinds {
        put_raw(&mut out, *kind, &[]);
    }
    split(out.freeze()).unwrap()
}

#[test]
fn answers_are_spliced_or_refused() {
    let steps = [
        Step::Drop(Expect::Parse),
        Step::Insert(Bytes::from_static(b"+")),
        Step::Pass(Expect::Bind),
        Step::Pass(Expect::Execute),
        Step::Insert(Bytes::from_static(b"!")),
    ];
    let spliced = |answer: &[u8]| match splice(&steps, &frames(answer)) {
        Ok(bytes) => bytes
            .iter()
            .filter(|byte| **byte > 31)
            .map(|byte| char::from(*byte))
            .collect(),
        Err(error) => error.to_string(),
    };
    let cases: [&[u8]; 7] = [b"12DDC", b"12DNs", b"E", b"12DE", b"12D", b"12DCC", b"2DC"];
    let lines: Vec<String> = cases
        .iter()
        .map(|case| format!("{}: {}", String::from_utf8_lossy(case), spliced(case)))
        .collect();
    insta::assert_snapshot!(lines.join("\n"), @r"
12DDC: +2DDC!
12DNs: +2DNs!
E: E
12DE: +2DE
12D: a message out of place: check that the peer speaks PostgreSQL's protocol
12DCC: a message out of place: check that the peer speaks PostgreSQL's protocol
2DC: a message out of place: check that the peer speaks PostgreSQL's protocol
");
}

#[test]
fn least_recently_used_statements_are_closed() {
    let mut names = Names::default();
    for number in 0..300 {
        let name = format!("ls_{number}");
        let rewritten = rewrite(&extended(&name, "SELECT 1"), &mut names).unwrap();
        let closes = rewritten
            .steps
            .iter()
            .filter(|step| matches!(step, Step::Drop(_)));
        assert_eq!(closes.count(), usize::from(number >= 256));
        names.insert(name.into());
        assert!(names.touch("ls_0"));
    }
    assert_eq!(names.len(), 256);
}

quickcheck! {
    fn any_bytes_are_rewritten_without_panic(bytes: Vec<u8>) -> bool {
        let bytes = Bytes::from(bytes);
        let _ = rewrite(&bytes, &mut Names::default());
        let mut out = BytesMut::new();
        for kind in bytes.iter() {
            put_raw(&mut out, *kind, &[&bytes]);
        }
        let _ = rewrite(&out.freeze(), &mut Names::default());
        true
    }
}
