//! Writes and reads with one proxy or several, without failures.

mod support;

use lentilspoke::clock::Span;
use lentilspoke::core::request::Outcome;
use support::{World, short};

#[test]
fn one_proxy_serves_writes_and_reads() {
    let mut world = World::new(1);
    world.run(Span::from_secs(4));
    assert_eq!(world.steward(), Some(support::id("vm0")));

    world.write("vm0", 1, "lot-1");
    assert!(matches!(world.wait(1, 1), Outcome::Done(_)));
    world.read("vm0", 1);
    insta::assert_snapshot!(short(&world.wait(1, 2)), @"done by replica: lot-1");
}

#[test]
fn a_session_reads_its_write_by_way_of_any_proxy() {
    let mut world = World::new(4);
    world.run(Span::from_secs(4));
    world.write_as("vm1", 1, "broker-17", "lot-1");
    world.wait(1, 1);
    for (link, vm) in [(2, "vm0"), (3, "vm1"), (4, "vm2"), (5, "vm3")] {
        world.read_as(vm, link, "broker-17");
        assert_eq!(short(&world.wait(link, 1)), "done by replica: lot-1");
    }
}
