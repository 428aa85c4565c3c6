//! The log lines by which a caller's complaint is investigated, for each way in which a request or a
//! session can end abnormally.

mod scripted;

use lentilspoke::clock::{Span, Time};
use lentilspoke::direct::trace::{Completion, Operation, Reason, SAMPLE_INTERVAL, Sampler};
use lentilspoke::logs::body;
use lentilspoke::logs::queue::Queue;
use lentilspoke::standin::direct::host::simulate;
use scripted::{Reaction, World};
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Once;

thread_local! {
    static LINES: RefCell<String> = const { RefCell::new(String::new()) };
    static QUEUE: RefCell<Option<Queue>> = const { RefCell::new(None) };
}

struct Capture;

impl log::Log for Capture {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        if record.target().starts_with("lentilspoke::direct") {
            QUEUE.with_borrow(|queue| {
                if let Some(queue) = queue {
                    queue.push((body(record) + "\n").as_bytes());
                }
            });
            LINES.with_borrow_mut(|lines| lines.push_str(&(body(record) + "\n")));
        }
    }

    fn flush(&self) {}
}

/// Runs `scene`, and returns the log lines.
fn lines(scene: impl Future<Output = ()> + 'static) -> String {
    static ONCE: Once = Once::new();
    ONCE.call_once(|| {
        log::set_logger(&Capture).unwrap();
        log::set_max_level(log::LevelFilter::Info);
    });
    simulate(scene).unwrap();
    LINES.take()
}

/// A primary refuses each statement, and the caller gets `busy`: the line names the database, the number
/// of attempts and the known lead.
#[test]
fn a_refusal_under_load() {
    let lines = lines(async {
        let world = World::new();
        world.script(|_, _, text| {
            let busy = "error busy 4\nstate idle 1/10\n";
            text.starts_with("write")
                .then(|| Reaction::Answer(30, busy.into()))
        });
        world.caller("newest").await.ask("write x 1").await;
    });
    insta::assert_snapshot!(lines);
}

/// The database fails a statement of an open transaction, and the proxy refuses the next one: both have
/// lines, and the first one names the database as the cause.
#[test]
fn a_statement_refused_within_a_transaction() {
    let lines = lines(async {
        let world = World::new();
        world.script(|_, _, text| {
            let failed = "error failed disk full\nstate failed 1/10\n";
            (text == "write y 1").then(|| Reaction::Answer(1, failed.into()))
        });
        let mut caller = world.caller("newest").await;
        caller
            .run_all(&["begin", "write x 1", "write y 1", "read x", "commit"])
            .await;
    });
    insta::assert_snapshot!(lines);
}

/// The connection breaks during a write, and another write gets no answer: the lines show which attempt was
/// lost on which database, and the answers to the caller.
#[test]
fn an_answer_that_is_lost() {
    let lines = lines(async {
        let world = World::new();
        world.script(|_, _, text| match text {
            "write x 1" => Some(Reaction::Break),
            "write y 1" => Some(Reaction::Nothing),
            _ => None,
        });
        let mut caller = world.caller("newest").await;
        caller.run_all(&["write x 1", "write y 1"]).await;
        insta::assert_snapshot!(world.seen());
    });
    insta::assert_snapshot!(lines);
}

/// An idle transaction is rolled back: the line names its last request. Another caller disconnects within
/// a transaction.
#[test]
fn a_transaction_that_is_broken_off() {
    let lines = lines(async {
        let world = World::new();
        let mut rests = world.caller("newest").await;
        rests.run_all(&["begin", "write x 1"]).await;
        tokio::time::sleep(Span::from_secs(4).into()).await;
        world.lead(1, "a", false);
        let mut leaves = world.caller("newest").await;
        leaves.run_all(&["begin", "write x 1"]).await;
        tokio::time::sleep(Span::from_millis(10).into()).await;
        drop(leaves);
        tokio::time::sleep(Span::from_millis(10).into()).await;
    });
    insta::assert_snapshot!(lines);
}

/// A caller disconnects while its statement runs. The line says that the answer was not taken, although
/// nothing was refused. A caller that disconnects after its answer has no line.
#[test]
fn an_answer_that_nobody_takes() {
    let lines = lines(async {
        let world = World::new();
        world.script(|_, _, text| {
            (text == "read slow")
                .then(|| Reaction::Answer(100, "done sig\nstate idle 1/10\n".into()))
        });
        let (mut one, mut two) = (world.caller("newest").await, world.caller("newest").await);
        one.send("read slow").await;
        two.ask("read x").await;
        tokio::time::sleep(Span::from_millis(50).into()).await;
        drop((one, two));
        tokio::time::sleep(Span::from_millis(100).into()).await;
    });
    insta::assert_snapshot!(lines);
}

/// A caller names a route that does not exist, or one that is removed later.
#[test]
fn a_name_without_a_route() {
    let lines = lines(async {
        let world = World::new();
        world.refused_caller("nowhere").await;
        let mut caller = world.caller("newest").await;
        world.shared.modify(|view| {
            let mut config = scripted::config();
            config.version.0 = 2;
            config.routes.remove("newest");
            view.config = Some(Rc::new(config));
        });
        caller.ask("read x").await;
    });
    insta::assert_snapshot!(lines);
}

/// A planned stop closes an idle session that has sent a request before; a session without requests has no
/// line.
#[test]
fn what_a_stop_closes() {
    let lines = lines(async {
        let world = World::new();
        let (mut one, mut two) = (world.caller("newest").await, world.caller("newest").await);
        one.ask("read x").await;
        let front = Rc::clone(&world.front);
        tokio::task::spawn_local(async move { front.stop(Span::from_secs(6)).await });
        assert_eq!(one.line().await, "(closed)");
        assert_eq!(two.line().await, "(closed)");
    });
    insta::assert_snapshot!(lines);
}

/// A statement is served, but takes longer than its route's objective, which callers complain about.
#[test]
fn a_late_answer() {
    let lines = lines(async {
        let world = World::new();
        world.script(|_, _, text| {
            text.starts_with("read")
                .then(|| Reaction::Answer(500, "done sig\nstate idle 1/10\n".into()))
        });
        world.caller("newest").await.ask("read x").await;
    });
    insta::assert_snapshot!(lines);
}

/// Nothing reads the log lines: the pipe is full, and the thread that writes them blocks. Every request is
/// refused and has a line. Callers are still answered at once, and dropped lines are counted.
#[test]
fn callers_are_answered_while_nobody_reads_the_lines() {
    const REQUESTS: usize = 2_000;
    let (_reader, writer) = std::io::pipe().unwrap();
    let queue = Queue::start(writer, 16 * 1024, |_| String::new()).unwrap();
    QUEUE.set(Some(queue.clone()));
    let lines = lines(async {
        let world = World::new();
        let mut caller = world.caller("newest").await;
        let before = world.now();
        for _ in 0..REQUESTS {
            assert!(caller.ask("exec missing x").await.starts_with("error"));
        }
        assert_eq!(world.now(), before, "an answer waited for something");
    });
    QUEUE.set(None);
    assert_eq!(lines.lines().count(), REQUESTS);
    assert!(queue.dropped() > 0);
}

/// A caller identifies its transaction by the id of the first statement sent to a database. A later
/// statement of it fails with that id; the next operation has its own.
#[test]
fn a_transaction_is_found_by_its_first_statement() {
    let lines = lines(async {
        let world = World::new();
        world.script(|_, _, text| {
            let failed = "error failed disk full\nstate failed 1/10\n";
            (text == "write y 1").then(|| Reaction::Answer(1, failed.into()))
        });
        let mut caller = world.caller("newest").await;
        let texts = ["begin", "read x", "write y 1", "rollback", "write y 1"];
        for (id, text) in texts.iter().enumerate() {
            caller.send_as(&id.to_string(), text).await;
            caller.answer().await;
        }
    });
    let ids = |line: &str| line.split(" route=").next().unwrap().to_owned();
    let ids: Vec<String> = lines.lines().map(ids).collect();
    let refused = "the database refused it request=";
    let expected = ["2 operation=1", "4 operation=4"].map(|ids| format!("{refused}{ids}"));
    assert_eq!(ids, expected);
}

/// One in [`SAMPLE_INTERVAL`] requests served in time has a line. A late transaction has one at the
/// statement with which it becomes late; the caller's pauses don't count.
#[test]
fn which_requests_have_a_line() {
    let sampler = Sampler::default();
    let mut operation = Operation::default();
    let completion = Completion::Served {
        objective: Span::from_millis(300),
    };
    let mut play = |at: u64, took: u64, first, completion| {
        let came = Time(at * 1_000);
        operation.begin("q", came, first);
        operation.end(came + Span::from_millis(took), completion, &sampler)
    };
    assert_eq!(play(0, 200, true, completion), None);
    assert_eq!(play(5_000, 90, false, completion), None);
    assert_eq!(play(6_000, 11, false, completion), Some(Reason::Late));
    assert_eq!(play(7_000, 10, false, completion), None);
    assert_eq!(
        play(8_000, 1, false, Completion::NotServed),
        Some(Reason::NotServed)
    );
    let picked = (0..2 * SAMPLE_INTERVAL)
        .filter(|_| play(9_000, 1, true, completion) == Some(Reason::Sample));
    assert_eq!(picked.count(), 2);
}
