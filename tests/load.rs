//! `lentilspoke load`: its checker detects each fault, and small runs against the demo are
//! clean.

mod command;

use command::lentilspoke;
use lentilspoke::clock::{Span, Time};
use lentilspoke::core::database::State;
use lentilspoke::load::record::{Answer, Fault, Row};
use lentilspoke::load::{self, Kind, Mix, Plan, Report};
use lentilspoke::standin::database::Handle;
use lentilspoke::standin::demo;
use lentilspoke::types::{DatabaseId, Position};
use std::time::Duration;

/// Many times the duration of the longest run on a busy machine.
const RUN_TIMEOUT: Duration = Duration::from_secs(180);

fn row() -> Row {
    let answers = vec![
        Answer::Done(Time(10)),
        Answer::NotRun,
        Answer::Unknown,
        Answer::Done(Time(20)),
    ];
    Row {
        id: "r".into(),
        answers,
    }
}

#[test]
fn a_body_that_fits_what_was_told_is_clean() {
    for body in [";0;3", ";0;2;3"] {
        assert_eq!(row().check(Some(body), Time(u64::MAX)), Fault::default());
    }
    let before_the_last = row().check(Some(";0"), Time(20));
    assert!(!before_the_last.any());
}

#[test]
fn each_fault_is_found() {
    let bodies = [
        None,
        Some(";0"),
        Some(";0;0;3"),
        Some(";0;1;3"),
        Some(";0;3;9"),
        Some(";0;3;x"),
    ];
    let lines = bodies.map(|body| format!("{body:?}: {:?}", row().check(body, Time(u64::MAX))));
    insta::assert_snapshot!(lines.join("\n"), @r#"
    None: Fault { missing: 2, doubled: 0, not_run_but_there: 0, foreign: 0 }
    Some(";0"): Fault { missing: 1, doubled: 0, not_run_but_there: 0, foreign: 0 }
    Some(";0;0;3"): Fault { missing: 0, doubled: 1, not_run_but_there: 0, foreign: 0 }
    Some(";0;1;3"): Fault { missing: 0, doubled: 0, not_run_but_there: 1, foreign: 0 }
    Some(";0;3;9"): Fault { missing: 0, doubled: 0, not_run_but_there: 0, foreign: 1 }
    Some(";0;3;x"): Fault { missing: 0, doubled: 0, not_run_but_there: 0, foreign: 1 }
    "#);
}

async fn start() -> demo::Demo {
    demo::start(&demo::Plan::on_free_ports(2)).await.unwrap()
}

fn group<'d>(demo: &'d demo::Demo, name: &str) -> &'d Handle {
    &demo.groups()[&name.parse().unwrap()]
}

fn plan(demo: &demo::Demo) -> Plan {
    Plan {
        addresses: demo.callers(),
        admins: demo.admins(),
        groups: vec!["ledger1".parse().unwrap(), "ledger2".parse().unwrap()],
        callers: 4,
        mix: Mix {
            writes: 40,
            session_reads: 30,
            aged_reads: 30,
        },
        max_age: Span::from_secs(5),
        roam: 30,
        rate: None,
        seed: 7,
        timeout: Span::from_secs(10),
    }
}

/// The end of the primary's log.
fn end(group: &Handle) -> Position {
    let state = group.primary().and_then(|primary| group.state(&primary));
    state.map_or(Position::default(), |state| state.position)
}

/// Waits until callers have written `count` more times to a group, whichever database is its primary.
async fn wait_for_writes(group: &Handle, count: u64) {
    let offset = end(group).offset.0 + count;
    group
        .wait_until(|group| end(group).offset.0 >= offset)
        .await;
}

/// Waits until a group has a primary other than `former` and callers write to it.
async fn wait_for_replacement(group: &Handle, former: &DatabaseId) {
    let other = |group: &Handle| group.primary().is_some_and(|primary| primary != *former);
    group.wait_until(other).await;
    wait_for_writes(group, 20).await;
}

/// Runs the load until `end`, and panics after a timeout if that never happens.
async fn run(plan: &Plan, end: impl Future<Output = ()>) -> Report {
    let run = load::run(plan, end, |_| ());
    let report = tokio::time::timeout(RUN_TIMEOUT, run).await;
    report.expect("the run did not end in time")
}

/// Sessions write and read through two proxies and move between them; all answers are correct.
#[actix_rt::test]
async fn a_small_run_against_the_demo_is_clean() {
    let demo = start().await;
    let (first, second) = (group(&demo, "ledger1"), group(&demo, "ledger2"));
    let enough = async {
        wait_for_writes(first, 100).await;
        wait_for_writes(second, 100).await;
    };
    let report = run(&plan(&demo), enough).await;
    assert!(report.is_clean(), "{report}");
    assert_eq!(report.kinds.len(), 3, "{report}");
    assert!(report.kinds.values().all(|line| line.done > 0), "{report}");
    assert!(report.replica_share.is_some(), "{report}");
}

/// While callers write and read, the primary of one group is killed; another group's primary loses
/// answers after their effect, and connections to a replica of it become silent for good. Callers
/// may get "not run" or "outcome unknown", and no answer proves wrong.
#[actix_rt::test]
async fn a_run_under_faults_is_clean() {
    let demo = start().await;
    let (first, second) = (group(&demo, "ledger1"), group(&demo, "ledger2"));
    let mut plan = plan(&demo);
    plan.callers = 6;
    let faults = async {
        wait_for_writes(first, 50).await;
        wait_for_writes(second, 50).await;
        let primary = second.primary().unwrap();
        second.lose_answers(&primary, 3);
        let replica = second.group().databases.keys().find(|id| **id != primary);
        second.silence(replica.unwrap());
        let former = first.primary().unwrap();
        first.kill(&former);
        wait_for_replacement(first, &former).await;
        wait_for_writes(second, 50).await;
    };
    let report = run(&plan, faults).await;
    assert!(report.is_clean(), "{report}");
    assert!(report.kinds[&Kind::Write].unknown >= 1, "{report}");
    assert!(first.primary().is_some());
}

/// The primary of one group is cut off from its replicas, but not from the proxies and callers, so
/// that its later commits will be lost. None of them is acknowledged. The group gets another primary,
/// and when the connection is restored, no acknowledged write is undone.
#[actix_rt::test]
async fn a_primary_cut_off_from_its_replicas_is_replaced() {
    let demo = start().await;
    let first = group(&demo, "ledger1");
    let mut plan = plan(&demo);
    plan.callers = 6;
    let before = first.primary().unwrap();
    let faults = async {
        wait_for_writes(first, 50).await;
        first.isolate(&before, true);
        wait_for_replacement(first, &before).await;
        first.isolate(&before, false);
        let healed = end(first);
        let follows = |state: &State| state.term >= healed.term && state.applied >= healed;
        first.wait_for_state(&before, follows).await;
        wait_for_writes(first, 50).await;
    };
    let report = run(&plan, faults).await;
    assert!(report.is_clean(), "{report}");
    assert_ne!(first.primary().unwrap(), before);
}

#[test]
fn a_wrong_use_ends_with_2() {
    insta::assert_snapshot!(lentilspoke(&["load"]), @r#"
    exit 2
    lentilspoke: ADDRESS is missing: write a proxy's IP:PORT
    "#);
    insta::assert_snapshot!(lentilspoke(&["load", "--mix", "50/50/50", "127.0.0.1:1"]), @r#"
    exit 2
    lentilspoke: --mix 50/50/50: write three percentages that make 100, such as 20/30/50
    "#);
    insta::assert_snapshot!(lentilspoke(&["load", "localhost:6432"]), @r#"
    exit 2
    lentilspoke: ADDRESS `localhost:6432`: invalid socket address syntax
    "#);
}
