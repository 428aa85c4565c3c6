//! Terms: who acknowledges, and what a change of primary or steward does to callers.

mod support;

use lentilspoke::clock::Span;
use lentilspoke::core::request::{Kind, Outcome, Unknown};
use lentilspoke::types::VmId;
use support::{World, id};

/// The association's primary dies with its connections. Brokers who book meanwhile wait and
/// are served by the next primary; nothing acknowledged is missing.
#[test]
fn another_primary_is_promoted() {
    let mut world = World::ready(3);
    world.write("vm1", 1, "lot-1");
    world.wait(1, 1);
    // The damping that follows the first promotion is over.
    world.run(Span::from_secs(10));
    world.kill_database("a");
    world.run(Span::from_millis(300));
    world.write("vm1", 1, "lot-2");
    assert!(matches!(world.wait(1, 2), Outcome::Done(_)));
    let primary = world.primary().unwrap();
    assert_ne!(primary, "a");
    assert_eq!(world.database(&primary).texts(), ["lot-1", "lot-2"]);
}

/// The steward's VM dies; its primary lives. Another VM takes the group over, and the same
/// database, whose log goes furthest, stays the primary.
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

/// The primary and its steward are cut off from everything but one caller, who goes on
/// booking. The primary says that it committed. The steward has no confirmations any more, so
/// the caller hears that the outcome is unknown, never that it is done; and the booking is
/// not in the log of the primary that the others promoted.
#[test]
fn a_primary_that_is_cut_off_acknowledges_nothing() {
    let mut world = World::ready(3);
    let steward = world.steward().unwrap().to_string();
    let primary = world.primary().unwrap();
    let mine = [steward.as_str(), primary.as_str()];
    let all = ["vm0", "vm1", "vm2", "a", "b", "c"];
    for other in all.iter().filter(|other| !mine.contains(other)) {
        for one in mine {
            world.cut(one, other);
        }
    }
    // Older than the window, so that no confirmation from before the cut counts.
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

/// The steward's process is paused just after the primary answered a booking, and wakes when
/// another steward leads. It finds the answer waiting and its confirmations lapsed, and says
/// that the outcome is unknown.
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

/// No replica keeps up. A booking in a pool that waits for a majority is told as unknown at
/// its deadline, with that cause; one in a pool that does not is acknowledged.
#[test]
fn a_write_without_a_majority_is_not_acknowledged() {
    let mut world = World::ready(3);
    world.cut_replicas();
    let mut request = world.request(1, Kind::Write, "w lot-1");
    // Before the steward may suspect the primary for it.
    request.deadline = world.now + Span::from_millis(500);
    world.submit("vm1", request.clone());
    assert_eq!(world.wait(1, 1), Outcome::Unknown(Unknown::Unreplicated));
    request.pool = id("fast");
    request.deadline = world.now + Span::from_secs(1);
    world.submit("vm1", request);
    assert!(matches!(world.wait(1, 2), Outcome::Done(_)));
}

/// The steward can't reach its primary, but another holder can. That VM gets the group, and
/// the primary, which is alive, stays.
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

/// A replica's holder is cut from the steward, and nothing else is wrong. The other holders
/// hear the steward, so the term stays.
#[test]
fn one_vm_that_misses_the_steward_changes_nothing() {
    let mut world = World::ready(3);
    let steward = world.steward().unwrap().to_string();
    let term = world.database("a").log.term;
    let other = if steward == "vm1" { "vm2" } else { "vm1" };
    world.cut(&steward, other);
    world.run(Span::from_secs(8));
    assert_eq!(world.database("a").log.term, term);
    assert_eq!(world.steward().unwrap().to_string(), steward);
}

/// Two VMs find the steward missing at the same moment and raise the term against each other.
/// One of them leads within seconds, in every order that their messages can take here.
#[test]
fn duelling_vms_come_to_an_end() {
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

/// The primary is cut off from its replicas, but answers its steward. A booking waits for a
/// majority that never has it; the steward sees that no log moves, promotes a replica although the
/// primary's log goes further, and the caller hears "outcome unknown" for the booking that stays
/// behind. The next booking is done at the new primary.
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

/// A replica is far behind and the other one dead. The log still moves, so that the primary is
/// not to blame: the booking is done, late, and nobody is replaced.
#[test]
fn a_primary_whose_replicas_lag_is_kept() {
    let mut stall = lentilspoke::core::detect::Stall::default();
    let suspicion = Span::from_secs(1);
    let second = |n: u64| lentilspoke::clock::Time(n * 1_000_000);
    let moving: Vec<bool> = (0..5)
        .map(|n| stall.look(second(n), true, n, suspicion))
        .collect();
    assert_eq!(moving, [false; 5]);
    assert!(!stall.look(second(5), false, 4, suspicion), "nothing waits");
    assert!(
        !stall.look(second(6), true, 4, suspicion),
        "a new wait starts afresh"
    );
    assert!(
        stall.look(second(7), true, 4, suspicion),
        "no log moved for the whole span"
    );
}
