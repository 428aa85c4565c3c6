//! Control traffic between idle proxies.

mod support;

use lentilspoke::clock::Span;
use support::World;

/// One group on three VMs is idle for ten seconds. The group costs its steward and its replicas'
/// holders a fixed number of messages a second, and sessions cost none.
#[test]
fn a_quiet_group_costs_a_few_messages_a_second() {
    let mut world = World::ready(3);
    for link in 0..100 {
        world.write_as("vm1", link, &format!("session-{link}"), "lot");
        world.wait(link, 1);
    }
    world.run(Span::from_secs(3));
    let count = |world: &World| {
        let vms = ["vm0", "vm1", "vm2"];
        let sum = |name| vms.iter().map(|vm| world.counter(vm, name)).sum::<u64>();
        (sum("control_messages"), sum("control_bytes"))
    };
    let before = count(&world);
    world.run(Span::from_secs(10));
    let after = count(&world);
    let (messages, bytes) = (after.0 - before.0, after.1 - before.1);
    insta::assert_snapshot!(format!("{messages} messages, {bytes} bytes in 10 s"), @"230 messages, 6520 bytes in 10 s");
}
