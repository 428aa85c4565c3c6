//! The outcomes that callers get: the answer to their own request, "not run" only if it was not
//! run, and "unknown" at once if the outcome can't be known.

mod support;

use lentilspoke::clock::Span;
use lentilspoke::core::message::{Answer, Hint, Message};
use lentilspoke::core::node::Input;
use lentilspoke::core::request::{Done, Kind, Outcome, Status};
use lentilspoke::types::{RequestId, VmId};
use support::{World, id};

/// A holder answers a request twice, and another VM answers a request that it was not sent. The
/// caller gets only the first answer of the VM that was asked.
#[test]
fn unexpected_answers_are_dropped() {
    let mut world = World::ready(4);
    let (steward, entry) = world.steward_and_other();
    let other = if steward == "vm3" { "vm0" } else { "vm3" };
    world.write(entry, 1, "lot-1");
    let stray = |request| Answer {
        request: RequestId(request),
        outcome: Outcome::Done(Done {
            body: "somebody else's".into(),
            status: Status::Idle,
            wrote: None,
            replica: false,
        }),
        refused: None,
        lease: None,
        hint: Hint::default(),
    };
    for request in 0..200 {
        let (from, message) = (id(other), Message::Answer(stray(request)));
        world.input(&id(entry), Input::Message { from, message });
    }
    world.wait(1, 1);
    world.run(Span::from_secs(1));
    assert_eq!(world.told(1), ["done by primary: lot-1"]);
    assert_eq!(world.counter(entry, "dropped_answers"), 200);
}

/// The VM that runs a booking is lost. Without a request key the outcome is unknown at once, and
/// the booking is not sent again. With a key it is sent again and runs once.
#[test]
fn a_write_at_a_lost_vm_is_sent_again_only_under_a_key() {
    for key in [None, Some("key-1")] {
        let mut world = World::ready(4);
        world.run(Span::from_secs(10));
        let (steward, entry) = world.steward_and_other();
        world.swallow = Some(|message| matches!(message, Message::Answer(_)));
        let mut request = world.request(1, Kind::Write, "w lot-1");
        request.key = key.map(id);
        world.submit(entry, request);
        world.run(Span::from_millis(20));
        world.swallow = None;
        world.kill(&steward);
        world.wait(1, 1);
        let expected = if key.is_some() {
            "done by primary: lot-1"
        } else {
            "unknown: PeerLost"
        };
        assert_eq!(world.told(1), [expected]);
        let primary = world.primary().unwrap();
        assert_eq!(world.database(&primary).texts(), ["lot-1"]);
    }
}

/// Starts one VM whose connection to the primary stops answering after `lot-1`, and sends `lot-2`
/// on it.
fn write_on_silent_connection() -> World {
    let mut world = World::ready(1);
    world.write("vm0", 1, "lot-1");
    world.wait(1, 1);
    world.database("a").silent = true;
    let mut request = world.request(1, Kind::Write, "w lot-2");
    request.deadline = world.now + Span::from_secs(30);
    world.submit("vm0", request);
    world
}

/// A database stops answering on its open connections. When the time for an answer is over, a read
/// would be tried at another database, but the outcome of a booking is unknown, and the connection
/// is not used again.
#[test]
fn a_silent_connection_is_closed() {
    let mut world = write_on_silent_connection();
    let asked = world.now;
    world.wait(1, 2);
    assert_eq!(world.told(1)[1], "unknown: Broken");
    assert!(world.now.since(asked) < Span::from_millis(5_100));
    world.database("a").silent = false;
    world.write("vm0", 1, "lot-3");
    world.wait(1, 3);
    assert_eq!(world.told(1)[2], "done by primary: lot-1,lot-3");
    assert_eq!(world.counter("vm0", "silent_connections"), 1);
}

/// A statement that looks like a read writes. The replica refuses it unrun, and the primary runs it
/// once.
#[test]
fn a_read_that_writes_goes_to_the_primary() {
    let mut world = World::ready(3);
    let request = world.request(1, Kind::Read, "w lot-1");
    world.submit("vm1", request);
    world.wait(1, 1);
    assert_eq!(world.told(1), ["done by primary: lot-1"]);
    assert_eq!(world.database("a").texts(), ["lot-1"]);
}

/// No connection to the primary can be opened. A booking that waits for one was not run; its caller
/// gets "not run" by the deadline at the latest, and the booking is in no log.
#[test]
fn work_that_got_no_connection_was_not_run() {
    let mut world = World::ready(1);
    for name in ["a", "b", "c"] {
        world.kill_database(name);
    }
    let mut request = world.request(1, Kind::Write, "w lot-1");
    request.deadline = world.now + Span::from_secs(1);
    world.submit("vm0", request);
    world.wait(1, 1);
    assert_eq!(world.told(1), ["not run: NoPrimary"]);
    assert!(world.database("a").texts().is_empty());
}

/// The answer to a keyed booking is lost with its connection after the booking was stored. The
/// booking is sent again with the key and gets the first result.
#[test]
fn a_keyed_write_whose_answer_was_lost_happens_once() {
    let mut world = World::ready(3);
    world.write("vm1", 9, "lot-0");
    world.wait(9, 1);
    world.database("a").lose_answers = 1;
    let mut request = world.request(1, Kind::Write, "w lot-1");
    request.key = Some(id("key-1"));
    world.submit("vm1", request);
    world.wait(1, 1);
    assert_eq!(world.told(1), ["done by primary: lot-0,lot-1"]);
    assert_eq!(world.database("a").texts(), ["lot-0", "lot-1"]);
}

/// A caller cancels a request that waits for a leader.
#[test]
fn a_cancelled_request_that_waits_was_not_run() {
    let mut world = World::new(1);
    world.write("vm0", 1, "lot-1");
    world.run(Span::from_millis(10));
    world.input(&id("vm0"), Input::Cancel(lentilspoke::types::Link(1)));
    world.run(Span::from_millis(10));
    assert_eq!(world.told(1), ["not run: Expired"]);
}

/// A proxy receives an input every millisecond. Deadlines are still checked: the next tick counts
/// from the last tick, not from the last input.
#[test]
fn a_busy_proxy_keeps_deadlines() {
    let mut world = write_on_silent_connection();
    for link in 10_000..16_000 {
        world.read("vm0", link);
        world.run(Span::from_millis(1));
    }
    assert_eq!(world.told(1)[1], "unknown: Broken");
}

/// An entry dies while its bookings wait for a majority, and is replaced under its name. The new
/// process starts its request numbers elsewhere, and no answer to an old request is sent to it, so
/// none of its callers gets the answer to another's request.
#[test]
fn a_replaced_entry_gets_no_answer_of_its_predecessor() {
    let mut world = World::ready(4);
    let entry: VmId = id(world.steward_and_other().1);
    world.cut_replicas();
    world.write(entry.as_str(), 1, "old");
    world.run(Span::from_millis(50));
    world.kill(entry.as_str());
    world.run(Span::from_millis(300));
    let before = world.sent.len();
    world.start(&entry);
    world.heal();
    world.run(Span::from_secs(1));
    world.write(entry.as_str(), 2, "new");
    world.wait(2, 1);
    let to_entry = world.sent[before..]
        .iter()
        .filter(|(_, _, to, _)| *to == entry);
    let answers = to_entry.filter(|(_, _, _, message)| matches!(message, Message::Answer(_)));
    assert_eq!(answers.count(), 1);
    let mut ids = world
        .sent
        .iter()
        .filter_map(|(_, from, _, message)| match message {
            Message::Work(work) if *from == entry => Some(work.request.0),
            _ => None,
        });
    let (old, new) = (ids.next().unwrap(), ids.last().unwrap());
    assert!(old.abs_diff(new) > 1 << 19, "{old} and {new}");
}

/// A caller repeats a keyed request while the first one still runs. The second one is not run, but
/// the first may still commit and "not run" could turn out false, so the outcome is unknown and the
/// caller can ask again with the key.
#[test]
fn a_key_in_use_is_an_unknown_outcome() {
    let mut world = World::ready(1);
    world.database("a").refuse = 1;
    let mut request = world.request(1, Kind::Write, "w lot-1");
    request.key = Some(id("key-1"));
    world.submit("vm0", request);
    world.wait(1, 1);
    assert_eq!(world.told(1), ["unknown: KeyBusy"]);
}
