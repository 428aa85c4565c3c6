//! Whether a request waits for a group's next primary.
//!
//! This handles a change of primary that takes seconds, for example because VMs that may hold a lease on the
//! former primary are cut off. Without it each request of the group waits for its share of the timeout, on each
//! of its tries, although earlier ones have shown that the primary does not return that soon.

use crate::clock::{Span, Time};
use crate::types::GroupId;
use std::collections::BTreeMap;

/// Bounds of the time after which a refused request should be tried again. A usual change of primary takes
/// about half a second; after more than two seconds callers would learn of its end too late.
const MIN_RETRY: Span = Span::from_millis(500);
const MAX_RETRY: Span = Span::from_secs(2);

/// What a request of a group without a primary does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It waits.
    Wait,
    /// It is refused, and may be tried again after this time.
    Refuse(Span),
}

/// A period in which a group had no primary whenever one was needed.
#[derive(Debug, Clone, Copy)]
struct Absence {
    since: Time,
    seen: Time,
}

/// The groups without a primary.
#[derive(Debug, Clone, Default)]
pub struct Absences(BTreeMap<GroupId, Absence>);

impl Absences {
    /// Records that a group has no usable primary at `now`, and decides for a request that arrived at `arrived`
    /// and has this timeout.
    ///
    /// If the group has had none for longer than the timeout, the request would not have been served even if it
    /// had waited all that time. The remaining time is estimated to be as long as the absence has lasted.
    pub fn decide(&mut self, group: &GroupId, arrived: Time, timeout: Span, now: Time) -> Decision {
        let new = Absence {
            since: now,
            seen: now,
        };
        let absence = self.0.entry(group.clone()).or_insert(new);
        if now.since(absence.seen) > timeout {
            // Nobody has looked for that long: there may have been a primary meanwhile.
            *absence = new;
        }
        absence.seen = now;
        let lasted = arrived.since(absence.since);
        match lasted <= timeout {
            true => Decision::Wait,
            false => Decision::Refuse(lasted.clamp(MIN_RETRY, MAX_RETRY)),
        }
    }

    /// Records that a group has a usable primary.
    pub fn end(&mut self, group: &GroupId) {
        self.0.remove(group);
    }
}
