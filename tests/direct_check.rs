//! The checker of direct access finds each kind of violation.

use bytes::Bytes;
use lentilspoke::direct::config::Kind;
use lentilspoke::direct::statement::{Answer, Code, End, State};
use lentilspoke::standin::direct::check::{Routes, compare, compare_on};
use lentilspoke::standin::direct::journal::{Commit, Events, Ordered, Run, Write};
use lentilspoke::standin::direct::known::Known;
use lentilspoke::standin::direct::said::Said;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// A write and a later read of it, both answered correctly.
struct Scene {
    said: Vec<Said>,
    events: Events,
    routes: Routes,
    began: Instant,
}

impl Scene {
    fn new() -> Self {
        let began = Instant::now();
        let at = |millis| began + Duration::from_millis(millis);
        let said = vec![
            said("q1", "write i1 v1", at(10)),
            said("q2", "read i1", at(30)),
        ];
        let mut events = Events {
            runs: vec![
                run("q1", "write i1 v1", at(12)),
                run("q2", "read i1", at(32)),
            ],
            ..Events::default()
        };
        events.runs[0].commit = Some(0);
        events.runs[1].saw = "1/1".parse().unwrap();
        events.commits.push(commit("q1", at(12)));
        Self {
            said,
            events,
            routes: [("ledger".into(), "g".parse().unwrap())].into(),
            began,
        }
    }

    /// The violations that are found after a change to the scene.
    fn found(change: impl FnOnce(&mut Scene)) -> String {
        let mut scene = Self::new();
        change(&mut scene);
        let report = compare(&scene.events, &scene.routes, scene.began, &scene.said);
        let rules = report
            .broken
            .iter()
            .filter_map(|text| text.split(':').next());
        rules.collect::<Vec<_>>().join("; ")
    }
}

fn said(id: &str, text: &str, sent: Instant) -> Said {
    Said {
        number: id[1..].parse().unwrap(),
        id: id.into(),
        text: text.into(),
        session: 1,
        operation: id[1..].parse().unwrap(),
        transaction: false,
        organisation: "-".into(),
        vm: "vm1".parse().unwrap(),
        route: "ledger".into(),
        kind: Kind::Primary,
        values: BTreeMap::new(),
        shape: None,
        since: sent,
        sent,
        told: Some((sent + Duration::from_millis(10), done(id))),
        broke: None,
    }
}

fn done(id: &str) -> Answer {
    Answer {
        rows: vec![Bytes::copy_from_slice(id.as_bytes())],
        end: End::Done(Some(format!("s{id}").into())),
        state: State::Idle,
        position: None,
    }
}

fn run(id: &str, text: &str, at: Instant) -> Run {
    Run {
        id: id.into(),
        text: text.into(),
        database: "a".parse().unwrap(),
        group: "g".parse().unwrap(),
        connection: 1,
        organisation: "-".into(),
        transaction: None,
        values: BTreeMap::new(),
        shape: None,
        saw: "1/0".parse().unwrap(),
        primary: true,
        at,
        signature: format!("s{id}").into(),
        rows: done(id).rows,
        commit: None,
    }
}

fn commit(id: &str, at: Instant) -> Commit {
    Commit {
        group: "g".parse().unwrap(),
        database: "a".parse().unwrap(),
        position: "1/1".parse().unwrap(),
        writes: vec![Write {
            id: id.into(),
            item: "i1".into(),
            data: "v1".into(),
        }],
        at,
        durable: false,
        replaced: false,
        lost: None,
    }
}

fn order(holder: &str, token: u64, at: Instant) -> Ordered {
    Ordered {
        holder: holder.parse().unwrap(),
        token,
        group: "g".parse().unwrap(),
        database: "b".parse().unwrap(),
        at,
    }
}

fn refuse(said: &mut Said, code: Code) {
    if let Some((_, answer)) = &mut said.told {
        answer.end = End::Error {
            code,
            text: "".into(),
        };
    }
}

#[test]
fn nothing_is_found_where_nothing_is_wrong() {
    assert_eq!(Scene::found(|_| ()), "");
    let lost = |scene: &mut Scene| {
        scene.events.runs[1].saw = "1/0".parse().unwrap();
        scene.events.commits[0].lost = Some(scene.began);
    };
    assert_eq!(Scene::found(lost), "", "a promotion rolled the commit back");
    let unknown = |scene: &mut Scene| refuse(&mut scene.said[0], Code::Unknown);
    assert_eq!(Scene::found(unknown), "");
    let young = |scene: &mut Scene| {
        scene.events.runs[1].saw = "1/0".parse().unwrap();
        scene.said[1].kind = Kind::Bounded(lentilspoke::clock::Span::from_millis(50));
    };
    assert_eq!(Scene::found(young), "");
}

#[test]
fn answers_of_others_are_found() {
    let other = |s: &mut Scene| s.said[1].told = s.said[0].told.clone();
    assert_eq!(
        Scene::found(other),
        "another caller's answer; stale, commit 0 was 10 ms old"
    );
    let torn = |s: &mut Scene| s.events.runs[1].rows.push(Bytes::new());
    assert_eq!(Scene::found(torn), "not the whole answer");
    let none = |s: &mut Scene| s.said[1].told.as_mut().unwrap().1.end = End::Done(None);
    assert_eq!(Scene::found(none), "done without a database");
}

#[test]
fn statements_that_ran_otherwise_are_found() {
    let text = |s: &mut Scene| s.events.runs[1].text = "read i2".into();
    assert_eq!(Scene::found(text), "another text or shape");
    let nobody = |s: &mut Scene| s.events.runs[1].id = "q9".into();
    assert_eq!(
        Scene::found(nobody),
        "another caller's answer; nobody asked"
    );
    let values = |s: &mut Scene| {
        s.said[1].values.insert("a".into(), "b".into());
    };
    assert_eq!(Scene::found(values), "other session values");
    let inside = |s: &mut Scene| s.events.runs[1].transaction = Some(7);
    assert_eq!(Scene::found(inside), "inside or outside a transaction");
    let route = |s: &mut Scene| s.routes.clear();
    assert_eq!(
        Scene::found(route),
        "a group that no route names; a group that no route names"
    );
}

#[test]
fn split_transactions_are_found() {
    let both = |s: &mut Scene| {
        for (said, run) in s.said.iter_mut().zip(&mut s.events.runs) {
            said.transaction = true;
            said.operation = 1;
            run.transaction = Some(7);
        }
    };
    let moved = |s: &mut Scene| {
        both(s);
        s.events.runs[1].connection = 2;
    };
    assert_eq!(Scene::found(moved), "a transaction on two connections");
    let left_behind = |s: &mut Scene| {
        both(s);
        let mut again = s.events.runs[0].clone();
        again.connection = 2;
        s.events.runs.push(again);
    };
    assert_eq!(
        Scene::found(left_behind),
        "a transaction on two connections"
    );
    let given_up = |s: &mut Scene| {
        both(s);
        let mut again = s.events.runs[0].clone();
        (again.connection, again.signature) = (2, "another".into());
        s.events.runs[1].connection = 2;
        s.events.runs.insert(1, again);
    };
    assert_eq!(Scene::found(given_up), "told of a run that was given up");
    let begun_anew = |s: &mut Scene| {
        both(s);
        let mut lost = s.events.runs[0].clone();
        (lost.connection, lost.transaction) = (2, Some(6));
        (lost.signature, lost.commit) = ("lost".into(), None);
        s.events.runs.insert(0, lost);
    };
    assert_eq!(Scene::found(begun_anew), "");
    let shared = |s: &mut Scene| {
        both(s);
        s.said[1].operation = 2;
    };
    assert_eq!(Scene::found(shared), "inside another caller's transaction");
}

#[test]
fn broken_guarantees_are_found() {
    let run_all_the_same = |s: &mut Scene| refuse(&mut s.said[0], Code::Busy);
    assert_eq!(Scene::found(run_all_the_same), "told not run, and run");
    let twice = |s: &mut Scene| {
        let again = s.events.commits[0].clone();
        s.events.commits.push(again);
    };
    assert_eq!(Scene::found(twice), "a write took effect twice");
    let missing = |s: &mut Scene| s.events.runs[0].commit = None;
    assert_eq!(Scene::found(missing), "acknowledged, and not committed");
    let replaced = |s: &mut Scene| s.events.commits[0].replaced = true;
    assert_eq!(Scene::found(replaced), "acknowledged by a replaced primary");
}

#[test]
fn stale_reads_are_found() {
    let stale = |s: &mut Scene| s.events.runs[1].saw = "1/0".parse().unwrap();
    assert_eq!(Scene::found(stale), "stale, commit 0 was 10 ms old");
    let own = |s: &mut Scene| {
        s.events.runs[1].saw = "1/0".parse().unwrap();
        s.said[1].kind = Kind::Session(lentilspoke::clock::Span::from_secs(9));
    };
    assert_eq!(Scene::found(own), "stale, commit 0 was 10 ms old");
}

#[test]
fn wrong_orders_are_found() {
    let rising = |s: &mut Scene| {
        s.events.orders = vec![order("vm1", 1, s.began), order("vm2", 2, s.began)];
    };
    assert_eq!(Scene::found(rising), "");
    for token in [1, 0] {
        let wrong = |s: &mut Scene| {
            s.events.orders = vec![order("vm1", 1, s.began), order("vm2", token, s.began)];
        };
        assert_eq!(Scene::found(wrong), "orders");
    }
}

/// Statements are checked in two batches, and the first is discarded before the second. Violations
/// in the second that follow from the first are still found.
#[test]
fn batches_are_checked_like_the_whole() {
    let stale = |s: &mut Scene| s.events.runs[1].saw = "1/0".parse().unwrap();
    let behind =
        |s: &mut Scene| s.events.orders = vec![order("vm1", 2, s.began), order("vm2", 1, s.began)];
    let shared = |s: &mut Scene| {
        for (said, run) in s.said.iter_mut().zip(&mut s.events.runs) {
            said.transaction = true;
            run.transaction = Some(7);
        }
    };
    let found = |change: &dyn Fn(&mut Scene)| {
        let mut scene = Scene::new();
        change(&mut scene);
        let mut known = Known::default();
        let (runs, orders) = (scene.events.runs.clone(), scene.events.orders.clone());
        let mut texts = Vec::new();
        for (part, said) in scene.said.iter().enumerate() {
            scene.events.runs = vec![runs[part].clone()];
            scene.events.orders = orders.get(part).cloned().into_iter().collect();
            let said = std::slice::from_ref(said);
            let report = compare_on(&mut known, &scene.events, &scene.routes, scene.began, said);
            texts.extend(report.broken);
            // Everything in the first batch is recent enough to be kept for the second.
            known.forget(scene.began);
            scene.events.forget(scene.began + Duration::from_secs(1));
        }
        let rules = texts.iter().filter_map(|text| text.split(':').next());
        rules.collect::<Vec<_>>().join("; ")
    };
    assert_eq!(found(&|_| ()), "");
    assert_eq!(found(&stale), "stale, commit 0 was 10 ms old");
    assert_eq!(found(&behind), "orders");
    assert_eq!(found(&shared), "inside another caller's transaction");
}

/// A log contains the entries of an earlier term up to the position where the next term began, and
/// none after it.
#[test]
fn logs_fork_where_a_term_began() {
    let mut events = Events::default();
    let group = "g".parse().unwrap();
    let mut first = commit("q1", Instant::now());
    events.record_commit(first.clone(), "1/0".parse().unwrap());
    first.position = "2/2".parse().unwrap();
    events.record_commit(first, "1/1".parse().unwrap());
    let has = |log: &str, entry: &str| {
        events.contains(&group, log.parse().unwrap(), entry.parse().unwrap())
    };
    assert!(has("2/2", "1/1") && has("2/2", "2/2") && has("1/2", "1/2"));
    assert!(!has("2/2", "1/2") && !has("1/2", "2/2") && !has("2/2", "2/3"));
}
