//! What is let into a queue, for how long it may wait, and when to come back.
//!
//! **Pattern answered.** Bursts, and saturation above what the slots can serve.
//! **Without it** a queue grows until each request in it is served just after its caller has given
//! up: the slots are full and nobody gets an answer in time. At four times the slots' rate that
//! point is reached within seconds, and goodput falls to a few per cent.
//!
//! The newest is turned away, not the oldest dropped: a caller that is told at once can use its
//! time elsewhere, while one that has waited half its patience has paid for its place. What is
//! let in is let in by the wait that its own caller would see, so that a caller with a
//! hundred requests waiting is turned away where another's first one is not.

use crate::clock::{Span, Time};
use crate::types::RequestId;
use xxhash_rust::xxh3::xxh3_64;

/// The part of its remaining time that a request can be expected to run, at most. Else a
/// database that was slow once would be offered no more work and never seen to be fast again.
const MOST_RUN_PERCENT: u64 = 50;

/// A queue that was never empty for this long is a load that lasts, not a burst. Bursts of
/// callers that reconnect, or of one program's fan-out, are let in within a second.
const BURST: Span = Span::from_secs(1);

/// The part of its time that a request may wait in a queue that lasts. Where the slots are always
/// full, waiting longer serves nobody more, since as much leaves per second at any length; a
/// quarter still covers the gaps between arrivals by far.
const STANDING_PERCENT: u64 = 25;

/// The most that may wait at one gate, whatever the patience: at about 300 bytes each this keeps
/// a queue under 5 MB.
pub const MOST_WAITING: usize = 16_384;

/// The least time to stay away: a few statements' time.
pub const LEAST_RETRY: Span = Span::from_millis(20);

/// The latest start, counted from now, of work with `left` of its time that will run about
/// `run`. Work that starts later would take a slot and still be late.
pub fn latest_start(left: Span, run: Span) -> Span {
    let run = run.min(left.percent(MOST_RUN_PERCENT));
    Span(left.0 - run.0)
}

/// Whether a queue that was last empty at `idle_at` is a load that lasts.
pub fn is_standing(now: Time, idle_at: Time) -> bool {
    now.since(idle_at) > BURST
}

/// The longest expected wait with which work is let in that has to start within `start_within`.
pub fn bound(start_within: Span, standing: bool) -> Span {
    if standing {
        return start_within.percent(STANDING_PERCENT);
    }
    start_within
}

/// When to come back after being turned away with an expected `wait`: when about as much has
/// been served, and up to as long again, spread by the request's number. If all those who are turned
/// away in a burst came back in the same instant, they would be the next burst.
pub fn retry_after(wait: Span, request: RequestId) -> Span {
    let least = wait.max(LEAST_RETRY);
    let spread = xxh3_64(&request.0.to_le_bytes()) % least.0;
    Span(least.0 + spread)
}
