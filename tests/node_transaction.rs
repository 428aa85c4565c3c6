//! Transactions: each has its own connection, and failures roll it back.

mod support;

use lentilspoke::clock::Span;
use lentilspoke::core::node::Input;
use lentilspoke::types::Link;
use support::{World, id};

/// Two callers at different proxies interleave their statements. Each transaction has its own
/// connection, so a rollback of one does not affect the other.
#[test]
fn transactions_do_not_mix() {
    let mut world = World::ready(3);
    for (vm, link) in [("vm1", 1), ("vm2", 2)] {
        world.say(vm, link, "begin");
        world.wait(link, 1);
    }
    for (vm, link) in [("vm1", 1), ("vm2", 2)] {
        world.say(vm, link, &format!("w lot-{link}"));
        world.wait(link, 2);
    }
    world.say("vm1", 1, "rollback");
    world.wait(1, 3);
    world.say("vm2", 2, "commit");
    world.wait(2, 3);
    assert_eq!(world.database("a").texts(), ["lot-2"]);
}

/// An entry fails during a transaction. The transaction's connection to the database is closed, which
/// rolls back its write, and the next caller gets another one.
#[test]
fn a_transaction_whose_entry_died_is_rolled_back() {
    let mut world = World::ready(4);
    let steward = world.steward().unwrap().to_string();
    let entry = if steward == "vm3" { "vm2" } else { "vm3" };
    world.begin(entry, 1, "lot-1");
    assert_eq!(world.database("a").open_transactions(), 1);
    world.kill(entry);
    world.run(Span::from_secs(1));
    assert_eq!(world.database("a").open_transactions(), 0);
    world.write(&steward, 2, "lot-2");
    world.wait(2, 1);
    assert_eq!(world.database("a").texts(), ["lot-2"]);
}

/// A transaction that is idle for too long is rolled back, and its commit is reported as rolled back.
#[test]
fn an_idle_transaction_is_rolled_back() {
    let mut world = World::ready(3);
    world.begin("vm1", 1, "lot-1");
    world.run(Span::from_secs(31));
    world.say("vm1", 1, "commit");
    world.wait(1, 3);
    assert_eq!(world.told(1)[2], "not run: RolledBack");
    assert!(world.database("a").texts().is_empty());
}

/// A caller disconnects during a transaction.
#[test]
fn a_transaction_whose_caller_left_is_rolled_back() {
    let mut world = World::ready(3);
    world.say("vm1", 1, "begin");
    world.wait(1, 1);
    world.input(&id("vm1"), Input::Depart(Link(1)));
    world.run(Span::from_millis(20));
    assert_eq!(world.database("a").open_transactions(), 0);
}

/// The group changes its steward while a transaction is open. The database in the new term refuses the
/// commit, which is reported as rolled back, and the write does not exist.
#[test]
fn a_transaction_of_an_old_term_is_rolled_back() {
    let mut world = World::ready(4);
    let steward = world.steward().unwrap();
    let entry = if steward.as_str() == "vm1" {
        "vm2"
    } else {
        "vm1"
    };
    world.begin(entry, 1, "lot-1");
    world.paused.insert(steward.clone());
    world.run(Span::from_secs(4));
    assert_ne!(world.steward_but(&steward), None);
    world.paused.clear();
    world.run(Span::from_secs(1));
    world.say(entry, 1, "commit");
    world.wait(1, 3);
    assert_eq!(world.told(1)[2], "not run: RolledBack");
    let primary = world.primary().unwrap();
    assert!(world.database(&primary).texts().is_empty());
}

/// The holder of a transaction is lost while its commit runs. The commit may have taken effect, so its
/// outcome is reported as unknown.
#[test]
fn a_commit_whose_holder_was_lost_is_unknown() {
    let mut world = World::ready(3);
    let (steward, entry) = world.steward_and_other();
    world.say(entry, 1, "begin");
    world.wait(1, 1);
    world.database("a").work = Span::from_millis(50);
    world.say(entry, 1, "commit");
    world.run(Span::from_millis(10));
    world.kill(&steward);
    world.wait(1, 2);
    assert_eq!(world.told(1)[1], "unknown: PeerLost");
}
