//! How long a steward that is itself scheduled late waits for other VMs.

use lentilspoke::clock::{Span, Time};
use lentilspoke::direct::control::delay::Delay;

fn at(millis: u64) -> Time {
    Time(1_000_000_000) + Span::from_millis(millis)
}

/// A steward reads heartbeats half a second late for a while. It gives their senders two seconds
/// more, and returns to its usual timeout within some measurements after it has caught up.
#[test]
fn late_steward_waits_longer_for_others() {
    let delay = Delay::default();
    delay.record(at(0), at(0));
    assert_eq!(delay.margin(), Span::ZERO);
    delay.record(at(100), at(600));
    assert_eq!(delay.margin(), Span::from_millis(2_000));
    for look in 7..30 {
        delay.record(at(look * 100), at(look * 100 + 1));
    }
    assert!(delay.margin() < Span::from_millis(20));
}
