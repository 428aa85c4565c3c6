//! Read-your-writes for sessions that roam between proxies.

mod support;

use lentilspoke::clock::Span;
use lentilspoke::config::Timing;
use lentilspoke::core::message::Message;
use lentilspoke::core::node::Input;
use lentilspoke::core::request::Kind;
use support::{World, id};

const LAG: Span = Span::from_millis(400);

/// A broker is connected to two proxies at once and reads at both. It books at one and, once
/// that is acknowledged, reads at the other, whose lease on the old floor would have run on.
/// The replicas lag, so a read under the old floor would miss the booking. The steward takes
/// the lease back before it acknowledges.
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

/// As above, but what takes the lease back is lost. The acknowledgement waits until the lease
/// has lapsed by itself, and the read at the other proxy comes after it.
#[test]
fn a_lease_that_cannot_be_taken_back_is_waited_for() {
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

/// The steward is lost right after it acknowledged a booking. The session goes to a proxy that
/// never met it, while both replicas have the booking in their logs and have not applied it.
/// The new steward knows no session, and takes the start of its term for everybody's floor.
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

/// A pool that acknowledges a write once the primary has it. The primary is cut from its
/// replicas, acknowledges a booking, and dies with it. The session hears of the loss once, on
/// its next request of any kind, and goes on from there.
#[test]
fn a_lost_write_is_told_once() {
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

/// A thousand phones read at an age while the group has no steward at all. They hear from the
/// replicas, whose age was proven before, for as long as the age allows, and nobody waits.
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

/// Cuts the primary off from its replicas, writes `lot-1` where it need not reach them, and lets
/// every proof of a replica's age grow old.
fn write_unreplicated(world: &mut World) {
    world.cut_replicas();
    let mut request = world.request(9, Kind::Write, "w lot-1");
    request.pool = id("fast");
    world.submit("vm1", request);
    world.wait(9, 1);
    world.run(Span::from_secs(2));
}

/// Replicas cut off from their primary go on answering. Once their proven age is past what a
/// phone accepts, its read goes to the primary, never to a replica.
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

/// A caller sets `lentilspoke.max_age` to zero in a pool that states an age: it asks for its own
/// writes and no more. The entry put the pool's age back in, so that with replicas whose age
/// nobody can prove the read went to the primary for nothing.
#[test]
fn an_age_of_zero_goes_before_the_pool_s() {
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

/// Nobody can vouch for a named session's floor, for so long that no failover is under way any
/// more. Its read is turned away at once and told when to come back.
#[test]
fn a_session_read_without_hope_is_turned_away_at_once() {
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

/// A broker books at two proxies at the same time, and both bookings wait for the replicas. The
/// second has taken the first proxy's lease back by then. Once both are acknowledged, the first
/// proxy must not read under the floor of the first booking alone.
#[test]
fn an_earlier_booking_renews_no_lease() {
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
