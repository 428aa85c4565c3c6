//! Planned stops, leaving databases, and the distribution of configurations.

mod support;

use lentilspoke::clock::Span;
use lentilspoke::core::message::Message;
use lentilspoke::core::node::Input;
use lentilspoke::core::request::Kind;
use lentilspoke::types::Link;
use support::{World, id};

/// The steward's VM is stopped while callers write by way of it and of others. Requests under way are
/// answered, the open transaction commits, idle callers are dismissed, and the group moves to
/// another VM before the process ends.
#[test]
fn a_planned_stop_completes_requests_under_way() {
    let mut world = World::ready(4);
    let (steward, other) = world.steward_and_other();
    world.read(&steward, 7);
    world.wait(7, 1);
    world.say(&steward, 1, "begin");
    world.wait(1, 1);
    world.write(&steward, 2, "lot-2");
    world.write(other, 3, "lot-3");
    world.input(&id(&steward), Input::Stop);
    world.run(Span::from_secs(2));
    assert_eq!(world.dismissed, [Link(7), Link(2)]);
    assert!(world.stopped.is_empty(), "stopped with a transaction open");
    world.say(&steward, 1, "w lot-1");
    world.wait(1, 2);
    world.say(&steward, 1, "commit");
    world.wait(1, 3);
    world.run(Span::from_secs(1));
    assert!(world.stopped.contains(&id(&steward)));

    let asked = world.now;
    world.write(other, 4, "lot-4");
    world.wait(4, 1);
    assert!(
        world.now.since(asked) < Span::from_millis(100),
        "a gap after the handover"
    );
    let told = [1, 2, 3, 4].map(|link| world.told(link).pop().unwrap());
    assert!(
        told.iter().all(|told| told.starts_with("done by primary")),
        "{told:?}"
    );
}

/// Writes continue during a handover. The longest wait is far below that of a failover, because the
/// successor skips the window.
#[test]
fn a_handover_is_shorter_than_a_failover() {
    let mut world = World::ready(4);
    let (steward, other) = world.steward_and_other();
    world.input(&id(&steward), Input::Stop);
    let mut longest = Span::ZERO;
    for count in 1..400 {
        let asked = world.now;
        world.write(other, 1, &format!("lot-{count}"));
        world.wait(1, count);
        longest = longest.max(world.now.since(asked));
    }
    assert!(world.told(1).iter().all(|told| told.starts_with("done")));
    assert!(world.stopped.contains(&id(&steward)));
    assert!(longest < Span::from_millis(300), "{longest}");
}

/// A session reads and writes by way of two proxies while its group is handed over. No lease may
/// outlive the former term.
#[test]
fn a_session_sees_its_writes_through_a_handover() {
    let mut world = World::ready(4);
    let steward = world.steward().unwrap().to_string();
    let others: Vec<String> = world.nodes.keys().map(ToString::to_string).collect();
    let others: Vec<&String> = others.iter().filter(|vm| **vm != steward).collect();
    world.lag_replicas(Span::from_millis(300));
    world.input(&id(&steward), Input::Stop);
    for count in 1..200 {
        world.write_as(others[0], 1, "broker", &format!("lot-{count}"));
        world.wait(1, count);
        world.read_as(others[1], 2, "broker");
        world.wait(2, count);
        let told = world.told(2).pop().unwrap();
        assert!(
            told.ends_with(&format!("lot-{count}")),
            "after {count}: {told}"
        );
    }
}

/// Marks `database` as leaving in a new configuration, which reaches `vm` first.
fn mark_leaving(world: &mut World, vm: &str, database: &str) {
    let changed = world.change(|document| {
        let group = document.groups.get_mut(&id("ledger")).unwrap();
        let database = group.databases.get_mut(&id(database)).unwrap();
        database.leaving = true;
    });
    world.input(&id(vm), Input::Accepted(changed));
}

/// Within a few seconds a leaving replica gets no new work and its connections are closed. Its reads
/// are served by other databases.
#[test]
fn a_leaving_replica_gets_no_new_work() {
    let mut world = World::ready(3);
    for link in 1..10 {
        world.read("vm1", link);
        world.wait(link, 1);
    }
    mark_leaving(&mut world, "vm2", "b");
    world.run(Span::from_secs(3));
    let runs = world.database("b").runs;
    for link in 11..20 {
        world.read("vm1", link);
        world.wait(link, 1);
        assert!(world.told(link)[0].starts_with("done"));
    }
    assert_eq!(world.database("b").runs, runs);
    assert!(world.database("b").connections.is_empty());
}

/// A leaving primary is replaced by a planned handover, without a failed or lost write.
#[test]
fn a_leaving_primary_is_replaced() {
    let mut world = World::ready(3);
    world.write("vm1", 1, "lot-1");
    world.wait(1, 1);
    mark_leaving(&mut world, "vm0", "a");
    for count in 2..300 {
        world.write("vm1", 1, &format!("lot-{count}"));
        world.wait(1, count);
    }
    world.run(Span::from_secs(3));
    assert!(world.told(1).iter().all(|told| told.starts_with("done")));
    let primary = world.primary().unwrap();
    assert_ne!(primary, "a");
    assert_eq!(world.database(&primary).log.rows.len(), 299);
}

/// The store fails right after one proxy received a configuration. The other proxies receive it
/// from each other within seconds, and an old one that arrives late does not revert it.
#[test]
fn a_configuration_spreads_and_never_reverts() {
    let mut world = World::ready(7);
    let old = world.accepted();
    let changed = world.change(|document| {
        document.timing.probe = Span::from_millis(200);
    });
    let version = changed.version;
    world.input(&id("vm3"), Input::Accepted(changed));
    world.run(Span::from_secs(5));
    let vms: Vec<_> = world.nodes.keys().cloned().collect();
    for vm in &vms {
        world.input(vm, Input::Accepted(old.clone()));
    }
    world.run(Span::from_millis(1));
    for vm in &vms {
        assert_eq!(world.dump(vm.as_str())["version"], version.0, "{vm}");
    }
}

/// A VM starts during an outage in which the store returns an old configuration. It receives the
/// later one from other VMs and never serves the old one.
#[test]
fn a_new_vm_serves_no_old_configuration() {
    let mut world = World::ready(4);
    let old = world.accepted();
    world.kill("vm3");
    let changed = world.change(|document| {
        document
            .pools
            .remove(&id::<lentilspoke::types::PoolId>("fast"));
    });
    for vm in ["vm0", "vm1", "vm2"] {
        world.input(&id(vm), Input::Accepted(changed.clone()));
    }
    world.run(Span::from_secs(1));
    world.start_with(&id("vm3"), old);
    let mut request = world.request(1, Kind::Write, "w lot-1");
    request.pool = id("fast");
    world.submit("vm3", request.clone());
    world.run(Span::from_secs(2));
    world.submit("vm3", request);
    world.run(Span::from_secs(1));
    assert_eq!(world.told(1), ["not run: NoPool", "not run: NoPool"]);
    assert_eq!(world.dump("vm3")["version"], changed.version.0);
}

/// A VM sends malformed or truncated documents, which must be dropped.
#[test]
fn a_damaged_document_is_dropped() {
    let mut world = World::ready(2);
    for packed in [&b"nonsense"[..], b"", &[0x1f, 0x8b, 8, 0, 0, 0, 0, 0]] {
        let message = Message::Document(packed.to_vec().into());
        let from = id("vm1");
        world.input(&id("vm0"), Input::Message { from, message });
    }
    world.run(Span::from_millis(1));
    assert_eq!(world.counter("vm0", "nonsense"), 3);
}
