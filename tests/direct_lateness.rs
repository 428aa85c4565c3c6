//! How long a steward that is late itself waits for other VMs.

use lentilspoke::clock::{Span, Time};
use lentilspoke::direct::control::lateness::Lateness;

fn at(millis: u64) -> Time {
    Time(1_000_000_000) + Span::from_millis(millis)
}

/// A steward reads heartbeats half a second late for a while. It gives their senders two seconds more, and
/// comes back to its usual patience within some looks after it has caught up.
#[test]
fn who_is_late_waits_longer_for_others() {
    let lateness = Lateness::default();
    lateness.note(at(0), at(0));
    assert_eq!(lateness.margin(), Span::ZERO);
    lateness.note(at(100), at(600));
    assert_eq!(lateness.margin(), Span::from_millis(2_000));
    for look in 7..30 {
        lateness.note(at(look * 100), at(look * 100 + 1));
    }
    assert!(lateness.margin() < Span::from_millis(20));
}
