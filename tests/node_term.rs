//! Terms: who acknowledges writes, and how changes of primary or steward affect callers.

mod support;

use lentilspoke::clock::Span;
use lentilspoke::core::request::{Kind, Outcome, Unknown};
use lentilspoke::types::VmId;
use support::{World, id};

/// The primary fails with its connections. Writes that arrive meanwhile wait and are served by the
/// next primary, and no acknowledged write is lost.
#[test]
fn another_primary_is_promoted() {
    let mut world = World::ready(3);
    world.write("vm1", 1, "lot-1");
    world.wait(1, 1);
    // Wait until the damping after the first promotion has ended.
    world.run(Span::from_secs(10));
    world.kill_database("a");
    world.run(Span::from_millis(300));
    world.write("vm1", 1, "lot-2");
    assert!(matches!(world.wait(1, 2), Outcome::Done(_)));
    let primary = world.primary().unwrap();
    assert_ne!(primary, "a");
    assert_eq!(world.database(&primary).texts(), ["lot-1", "lot-2"]);
}

/// The steward's VM fails, but its primary does not. Another VM takes over the group, and the same
/// database stays the primary because its log goes furthest.
#[test]
fn another_vm_takes_the_group_over() {
    let mut world = World::ready(4);
    let first = world.steward().unwrap();
    world.kill(first.as_str());
    let alive = if first.as_str() == "vm1" {
        "vm2"
    } else {
        "vm1"
    };
    world.run(Span::from_millis(500));
    world.write(alive, 1, "lot-1");
    assert!(matches!(world.wait(1, 1), Outcome::Done(_)));
    assert_ne!(world.steward().unwrap(), first);
}

/// The primary and its steward are cut off from everything but one caller, whose write the primary
/// commits. The steward's confirmations have expired, so the write is reported as unknown or not
/// run, never as done, and the primary that the others promoted does not have it.
#[test]
fn a_primary_that_is_cut_off_acknowledges_nothing() {
    let mut world = World::ready(3);
    let steward = world.steward().unwrap().to_string();
    let primary = world.primary().unwrap();
    let cut_off = [steward.as_str(), primary.as_str()];
    let all = ["vm0", "vm1", "vm2", "a", "b", "c"];
    for other in all.iter().filter(|other| !cut_off.contains(other)) {
        for one in cut_off {
            world.cut(one, other);
        }
    }
    // Longer than the window, so that all confirmations from before the cut have expired.
    world.run(Span::from_millis(1_100));
    let mut request = world.request(1, Kind::Write, "w lot-1");
    request.pool = id("fast");
    world.submit(&steward, request);
    world.run(Span::from_secs(12));
    let told = world.told(1);
    assert_eq!(told.len(), 1);
    assert!(
        told[0].starts_with("unknown") || told[0].starts_with("not run"),
        "{told:?}"
    );
    let next = world.primary().unwrap();
    assert_ne!(next, primary);
    assert!(!world.database(&next).texts().contains(&"lot-1"));
}

/// The steward's process is paused after the primary has answered a write, and resumes when another
/// steward leads. Its confirmations have expired, so it reports the outcome as unknown.
#[test]
fn a_steward_that_was_paused_acknowledges_nothing() {
    let mut world = World::ready(3);
    let steward = world.steward().unwrap();
    world.write(steward.as_str(), 1, "lot-1");
    world.wait(1, 1);
    world.write(steward.as_str(), 2, "lot-2");
    world.run(Span(700));
    assert_eq!(world.database("a").texts(), ["lot-1", "lot-2"]);
    world.paused.insert(steward.clone());
    world.run(Span::from_secs(4));
    assert_ne!(world.steward_but(&steward), None, "nobody took over");
    world.paused.clear();
    world.wait(2, 1);
    assert_eq!(world.told(2), ["unknown: Unconfirmed"]);
}

/// No replica receives the log. A write in a pool with majority durability is reported as
/// unreplicated at its deadline; one in a pool without it is acknowledged.
#[test]
fn a_write_without_a_majority_is_not_acknowledged() {
    let mut world = World::ready(3);
    world.cut_replicas();
    let mut request = world.request(1, Kind::Write, "w lot-1");
    // Shorter than the time after which the steward may suspect the primary.
    request.deadline = world.now + Span::from_millis(500);
    world.submit("vm1", request.clone());
    assert_eq!(world.wait(1, 1), Outcome::Unknown(Unknown::Unreplicated));
    request.pool = id("fast");
    request.deadline = world.now + Span::from_secs(1);
    world.submit("vm1", request);
    assert!(matches!(world.wait(1, 2), Outcome::Done(_)));
}

/// The steward cannot reach its primary, but another holder can. The group is handed over to that
/// VM, and the primary stays.
#[test]
fn a_primary_that_others_reach_is_not_replaced() {
    let mut world = World::ready(3);
    let steward = world.steward().unwrap();
    world.run(Span::from_secs(11));
    world.cut(steward.as_str(), "a");
    world.run(Span::from_secs(6));
    assert_eq!(world.primary().unwrap(), "a");
    assert_ne!(world.steward().unwrap(), steward);
    world.write("vm1", 1, "lot-1");
    assert!(matches!(world.wait(1, 1), Outcome::Done(_)));
}

/// Only one replica's holder is cut off from the steward. The other holders still receive the
/// steward's probes, so the term stays.
#[test]
fn one_vm_cut_off_from_the_steward_changes_nothing() {
    let mut world = World::ready(3);
    let steward = world.steward().unwrap().to_string();
    let term = world.database("a").log.term;
    let other = if steward == "vm1" { "vm2" } else { "vm1" };
    world.cut(&steward, other);
    world.run(Span::from_secs(8));
    assert_eq!(world.database("a").log.term, term);
    assert_eq!(world.steward().unwrap().to_string(), steward);
}

/// VMs that suspect the steward at the same time raise the term against each other. One of them
/// must lead within seconds.
#[test]
fn competing_takeovers_end_with_a_leader() {
    let mut world = World::ready(4);
    let first = world.steward().unwrap();
    let others: Vec<VmId> = world
        .nodes
        .keys()
        .filter(|vm| **vm != first)
        .cloned()
        .collect();
    for vm in others {
        world.paused.insert(vm);
    }
    world.run(Span::from_secs(3));
    world.kill(first.as_str());
    world.paused.clear();
    world.run(Span::from_secs(8));
    assert!(world.steward().is_some());
    let entry = world.nodes.keys().next().unwrap().to_string();
    world.write(&entry, 1, "lot-1");
    assert!(matches!(world.wait(1, 1), Outcome::Done(_)));
}

/// The primary is cut off from its replicas, but answers its steward, so a write waits for a majority
/// that never has it. The steward finds that no log makes progress and promotes a replica although
/// the primary's log goes further. The outcome of the write is reported as unknown, and the next
/// write is done by the new primary.
#[test]
fn a_primary_that_no_replica_follows_is_replaced() {
    let mut world = World::ready(3);
    let before = world.primary().unwrap();
    for other in ["a", "b", "c"] {
        world.cut(&before, other);
    }
    world.write("vm1", 1, "lot-1");
    world.wait(1, 1);
    assert!(
        world.told(1)[0].starts_with("unknown"),
        "{:?}",
        world.told(1)
    );
    world.run(Span::from_secs(3));
    assert_ne!(world.primary().unwrap(), before);
    world.write("vm1", 2, "lot-2");
    world.wait(2, 1);
    assert!(world.told(2)[0].starts_with("done"), "{:?}", world.told(2));
}

/// A primary whose replicas make slow progress must not be replaced. Only writes that wait for the
/// whole suspicion span without any progress of a log count as a stall.
#[test]
fn a_primary_whose_replicas_lag_is_kept() {
    let mut stall = lentilspoke::core::detect::Stall::default();
    let suspicion = Span::from_secs(1);
    let second = |n: u64| lentilspoke::clock::Time(n * 1_000_000);
    let moving: Vec<bool> = (0..5)
        .map(|n| stall.update(second(n), true, n, suspicion))
        .collect();
    assert_eq!(moving, [false; 5]);
    assert!(
        !stall.update(second(5), false, 4, suspicion),
        "nothing waits"
    );
    assert!(
        !stall.update(second(6), true, 4, suspicion),
        "a new wait starts afresh"
    );
    assert!(
        stall.update(second(7), true, 4, suspicion),
        "no log moved for the whole span"
    );
}
