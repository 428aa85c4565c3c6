//! `lentilspoke load`: its checker finds what it is for, and a small run against the demo is
//! clean.

mod command;

use command::lentilspoke;
use lentilspoke::clock::{Span, Time};
use lentilspoke::core::database::State;
use lentilspoke::load::record::{Fault, Row, Told};
use lentilspoke::load::{self, Kind, Mix, Plan, Report};
use lentilspoke::standin::database::Handle;
use lentilspoke::standin::demo;
use lentilspoke::types::{DatabaseId, Position};
use std::time::Duration;

/// Many times what a busy machine takes for the longest run.
const GIVE_UP: Duration = Duration::from_secs(180);

fn row() -> Row {
    let told = vec![
        Told::Done(Time(10)),
        Told::NotRun,
        Told::Unknown,
        Told::Done(Time(20)),
    ];
    Row {
        id: "r".into(),
        told,
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

/// Where the primary's log ends.
fn end(group: &Handle) -> Position {
    let state = group.primary().and_then(|primary| group.state(&primary));
    state.map_or(Position::default(), |state| state.position)
}

/// Waits until callers have written `count` more times to a group, whichever primary it has.
async fn written(group: &Handle, count: u64) {
    let offset = end(group).offset.0 + count;
    group
        .wait_until(|group| end(group).offset.0 >= offset)
        .await;
}

/// Waits until a group has another primary than `former`, and callers write to it.
async fn replaced(group: &Handle, former: &DatabaseId) {
    let other = |group: &Handle| group.primary().is_some_and(|primary| primary != *former);
    group.wait_until(other).await;
    written(group, 20).await;
}

/// Puts load on until `end`. Whoever waits for what never comes is told so, in place of a run
/// without an end.
async fn run(plan: &Plan, end: impl Future<Output = ()>) -> Report {
    let run = load::run(plan, end, |_| ());
    let report = tokio::time::timeout(GIVE_UP, run).await;
    report.expect("what the run waits for does not come")
}

/// Sessions write and read through two proxies, moving between them: what they are told is so.
#[actix_rt::test]
async fn a_small_run_against_the_demo_is_clean() {
    let demo = start().await;
    let (first, second) = (group(&demo, "ledger1"), group(&demo, "ledger2"));
    let enough = async {
        written(first, 100).await;
        written(second, 100).await;
    };
    let report = run(&plan(&demo), enough).await;
    assert!(report.is_clean(), "{report}");
    assert_eq!(report.kinds.len(), 3, "{report}");
    assert!(report.kinds.values().all(|line| line.done > 0), "{report}");
    assert!(report.replica_share.is_some(), "{report}");
}

/// While callers write and read, the primary of one group is killed; another group's primary loses
/// answers after their effect; connections to a replica of it fall silent for good. Callers may
/// hear "not run" or "outcome unknown", and nothing that they were told turns out otherwise.
#[actix_rt::test]
async fn a_run_under_faults_is_clean() {
    let demo = start().await;
    let (first, second) = (group(&demo, "ledger1"), group(&demo, "ledger2"));
    let mut plan = plan(&demo);
    plan.callers = 6;
    let faults = async {
        written(first, 50).await;
        written(second, 50).await;
        let primary = second.primary().unwrap();
        second.lose_answers(&primary, 3);
        let replica = second.group().databases.keys().find(|id| **id != primary);
        second.silence(replica.unwrap());
        let former = first.primary().unwrap();
        first.kill(&former);
        replaced(first, &former).await;
        written(second, 50).await;
    };
    let report = run(&plan, faults).await;
    assert!(report.is_clean(), "{report}");
    assert!(report.kinds[&Kind::Write].unknown >= 1, "{report}");
    assert!(first.primary().is_some());
}

/// The primary of one group is cut off from its replicas, but neither from the proxies nor the
/// callers: what it commits from there on will vanish. None of that is told to be done; the group
/// gets another primary, and when the cut heals nothing that was told is undone.
#[actix_rt::test]
async fn a_primary_cut_off_from_its_replicas_is_replaced() {
    let demo = start().await;
    let first = group(&demo, "ledger1");
    let mut plan = plan(&demo);
    plan.callers = 6;
    let before = first.primary().unwrap();
    let faults = async {
        written(first, 50).await;
        first.isolate(&before, true);
        replaced(first, &before).await;
        first.isolate(&before, false);
        let healed = end(first);
        let follows = |state: &State| state.term >= healed.term && state.applied >= healed;
        first.wait_for_state(&before, follows).await;
        written(first, 50).await;
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
