//! Read-your-writes for sessions that use several proxies.

mod support;

use lentilspoke::clock::Span;
use lentilspoke::config::Timing;
use lentilspoke::core::message::Message;
use lentilspoke::core::node::Input;
use lentilspoke::core::request::Kind;
use support::{World, id};

const LAG: Span = Span::from_millis(400);

/// A session writes at one proxy and then reads at another one, which has a lease on the old floor.
/// The replicas lag, so a read under the old floor would miss the write. The steward revokes the
/// lease before it acknowledges the write.
#[test]
fn a_write_at_one_proxy_is_seen_at_the_other() {
    let mut world = World::ready(3);
    world.write_as("vm0", 1, "broker", "lot-1");
    world.wait(1, 1);
    world.read_as("vm1", 2, "broker");
    world.wait(2, 1);
    world.lag_replicas(LAG);
    world.write_as("vm2", 3, "broker", "lot-2");
    world.wait(3, 1);
    world.read_as("vm1", 2, "broker");
    world.wait(2, 2);
    assert_eq!(world.told(2)[1], "done by primary: lot-1,lot-2");
    assert_eq!(world.counter("vm0", "revokes"), 2);
}

/// As above, but the revocation is lost. The acknowledgement waits until the lease has expired, and
/// the read at the other proxy follows it.
#[test]
fn a_write_waits_for_a_lease_that_cannot_be_revoked() {
    let mut world = World::ready(3);
    world.write_as("vm0", 1, "broker", "lot-1");
    world.wait(1, 1);
    world.read_as("vm1", 2, "broker");
    world.wait(2, 1);
    world.database("b").lag = LAG;
    world.swallow = Some(|message| matches!(message, Message::Revoke(_)));
    let asked = world.now;
    world.write_as("vm2", 3, "broker", "lot-2");
    world.wait(3, 1);
    assert!(
        world.now.since(asked) > Timing::default().window.percent(50),
        "did not wait"
    );
    world.read_as("vm1", 2, "broker");
    world.wait(2, 2);
    assert!(world.told(2)[1].ends_with("lot-1,lot-2"));
}

/// The steward is lost right after it acknowledged a write. The session reads at a proxy that has no
/// state of it, while both replicas have the write in their logs but have not applied it. The new
/// steward has no sessions and uses the start of its term as the floor of all.
#[test]
fn a_session_sees_its_write_after_the_steward_is_lost() {
    let mut world = World::ready(4);
    world.run(Span::from_millis(100));
    let steward = world.steward().unwrap().to_string();
    let others = ["vm0", "vm1", "vm2", "vm3"].map(str::to_owned);
    let mut others = others.into_iter().filter(|vm| *vm != steward);
    let (writer, reader) = (others.next().unwrap(), others.next().unwrap());
    world.lag_replicas(Span::from_secs(20));
    world.write_as(&writer, 1, "broker", "lot-1");
    world.wait(1, 1);
    world.kill(&steward);
    world.run(Span::from_millis(1));
    world.read_as(&reader, 2, "broker");
    world.wait(2, 1);
    assert_eq!(world.told(2)[0], "done by primary: lot-1");
}

/// In a pool with primary durability, a primary that is cut off from its replicas acknowledges a
/// write and fails. The loss is reported to the session once, on its next request of any kind, and
/// the session then continues.
#[test]
fn a_lost_write_is_reported_once() {
    for next in [Kind::Read, Kind::Write] {
        let mut world = World::ready(3);
        let primary = world.primary().unwrap();
        for other in ["a", "b", "c"] {
            world.cut(&primary, other);
        }
        let mut request = world.request(1, Kind::Write, "w lot-1");
        request.pool = id("fast");
        request.session = Some(id("broker"));
        world.submit("vm1", request.clone());
        world.wait(1, 1);
        world.kill_database(&primary);
        world.run(Span::from_secs(15));

        request.kind = next;
        request.deadline = world.now + Span::from_secs(5);
        request.body = if next == Kind::Read {
            "r".into()
        } else {
            "w lot-2".into()
        };
        world.submit("vm1", request.clone());
        world.wait(1, 2);
        world.submit("vm1", request);
        world.wait(1, 3);
        let told = world.told(1);
        assert_eq!(told[1], "not run: Lost", "{next:?}");
        assert!(told[2].starts_with("done by"), "{next:?}: {told:?}");
    }
}

/// A read with a maximum age is served without waiting while the group has no steward, by a replica
/// whose age was proven before.
#[test]
fn aged_reads_go_on_during_a_failover() {
    let mut world = World::ready(3);
    let steward = world.steward().unwrap().to_string();
    world.kill(&steward);
    world.kill_database("a");
    world.run(Span::from_millis(300));
    let entry = if steward == "vm2" { "vm1" } else { "vm2" };
    let mut request = world.request(1, Kind::Read, "r");
    request.max_age = Some(Span::from_secs(5));
    let asked = world.now;
    world.submit(entry, request);
    world.wait(1, 1);
    assert_eq!(world.told(1)[0], "done by replica: ");
    assert!(world.now.since(asked) < Span::from_millis(10));
}

/// Cuts the primary off from its replicas, writes `lot-1` with primary durability, and waits until
/// the proofs of the replicas' ages are old.
fn write_unreplicated(world: &mut World) {
    world.cut_replicas();
    let mut request = world.request(9, Kind::Write, "w lot-1");
    request.pool = id("fast");
    world.submit("vm1", request);
    world.wait(9, 1);
    world.run(Span::from_secs(2));
}

/// Replicas that are cut off from their primary still answer. Once their proven age exceeds a read's
/// maximum age, the read must go to the primary.
#[test]
fn a_replica_without_proof_serves_no_aged_read() {
    let mut world = World::ready(3);
    write_unreplicated(&mut world);
    let mut request = world.request(1, Kind::Read, "r");
    request.max_age = Some(Span::from_secs(1));
    world.submit("vm1", request);
    world.wait(1, 1);
    assert_eq!(world.told(1)[0], "done by primary: lot-1");
}

/// A caller sets `lentilspoke.max_age` to zero in a pool with a maximum age, to require only its own
/// writes. If the entry applied the pool's age again, the read would go to the primary needlessly
/// when no replica's age can be proven.
#[test]
fn an_age_of_zero_overrides_the_pools_age() {
    let mut world = World::ready(3);
    let accepted = world.change(|document| {
        let pool = document.pools.get_mut(&id("safe")).unwrap();
        pool.max_age = Some(Span::from_secs(1));
    });
    world.input(&id("vm1"), Input::Accepted(accepted));
    write_unreplicated(&mut world);
    let request = world.request(1, Kind::Read, "r");
    world.submit("vm1", request);
    world.wait(1, 1);
    assert_eq!(world.told(1)[0], "done by replica: ");
}

/// No steward has granted a session's floor for longer than a failover takes. The session's read is
/// refused at once instead of waiting.
#[test]
fn a_session_read_without_a_steward_is_refused_at_once() {
    let mut world = World::ready(3);
    for name in ["a", "b", "c"] {
        world.kill_database(name);
    }
    world.run(Span::from_secs(1));
    world.read_as("vm1", 1, "broker");
    world.wait(1, 1);
    world.run(Span::from_secs(10));
    let asked = world.now;
    world.read_as("vm1", 2, "broker");
    world.wait(2, 1);
    assert_eq!(world.told(2)[0], "not run: NoPrimary");
    assert!(
        world.now.since(asked) < Span::from_millis(5),
        "{:?}",
        world.now.since(asked)
    );
}

/// A session writes at two proxies at the same time, and both writes wait for the replicas. The second
/// write has revoked the first proxy's lease. Once both are acknowledged, the first proxy must not
/// read under the floor of the first write.
#[test]
fn an_earlier_write_renews_no_lease() {
    let mut world = World::ready(3);
    world.write_as("vm1", 1, "broker", "lot-0");
    world.wait(1, 1);
    world.cut_replicas();
    world.lag_replicas(Span::from_secs(20));
    world.write_as("vm1", 1, "broker", "lot-1");
    world.run(Span::from_millis(10));
    world.write_as("vm2", 2, "broker", "lot-2");
    world.run(Span::from_millis(10));
    world.heal();
    world.write("vm0", 3, "lot-3");
    world.wait(1, 2);
    world.wait(2, 1);
    for replica in ["b", "c"] {
        world.database(replica).log.applied = 2;
    }
    world.read_as("vm1", 1, "broker");
    world.wait(1, 3);
    assert_eq!(world.told(1)[2], "done by primary: lot-0,lot-1,lot-2,lot-3");
}
