//! Admission to a queue: what is accepted, how long it may wait, and when rejected work should be
//! retried.
//!
//! This handles bursts, and saturation above the slots' capacity. Without admission control a queue
//! grows until each request in it is served just after its caller has timed out: the slots are full
//! and no caller gets an answer in time. At four times the slots' rate that point is reached within
//! seconds, and goodput falls to a few per cent.
//!
//! The newest request is rejected rather than the oldest dropped: a caller that is rejected at once
//! can use its time elsewhere, while one that has waited half of its time loses that time. A
//! request is accepted by the wait that its own caller would see, so a caller with a hundred
//! requests waiting is rejected where another caller's first request is accepted.

use crate::clock::{Span, Time};
use crate::types::RequestId;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum part of a request's remaining time, in percent, that its run is expected to take.
/// Without this maximum a database that was slow once would get no more work and would never be
/// measured as fast again.
const MAX_RUN_PERCENT: u64 = 50;

/// A queue that has not been empty for longer than this is under sustained load, not a burst.
/// Bursts of callers that reconnect, or of one program's fan-out, are accepted within a second.
const MAX_BURST: Span = Span::from_secs(1);

/// The part of its time, in percent, that a request may wait under sustained load. Where the slots
/// are always full, a longer wait serves no more callers, since throughput is the same at any queue
/// length; a quarter still covers the gaps between arrivals by far.
const SUSTAINED_WAIT_PERCENT: u64 = 25;

/// Maximum number of requests that wait at one gate, whatever their deadlines: at about 300 bytes
/// each this keeps a queue under 5 MB.
pub const MAX_WAITING: usize = 16_384;

/// Minimum delay before a retry: the time of a few statements.
pub const MIN_RETRY_DELAY: Span = Span::from_millis(20);

/// The latest start, counted from now, of work that has `left` until its deadline and is expected
/// to run for `run`. Work that starts later would take a slot and still be late.
pub fn latest_start(left: Span, run: Span) -> Span {
    let run = run.min(left.percent(MAX_RUN_PERCENT));
    Span(left.0 - run.0)
}

/// Whether a queue that was last empty at `idle_at` is under sustained load.
pub fn is_sustained(now: Time, idle_at: Time) -> bool {
    now.since(idle_at) > MAX_BURST
}

/// The longest expected wait at which work is accepted that has to start within `start_within`.
pub fn max_wait(start_within: Span, sustained: bool) -> Span {
    if sustained {
        return start_within.percent(SUSTAINED_WAIT_PERCENT);
    }
    start_within
}

/// The delay before a retry of work that was rejected with an expected `wait`: at least that wait,
/// and up to twice as long, spread by a hash of the request's number. If all work rejected in a
/// burst were retried at the same time, it would be the next burst.
pub fn retry_after(wait: Span, request: RequestId) -> Span {
    let min_delay = wait.max(MIN_RETRY_DELAY);
    let spread = xxh3_64(&request.0.to_le_bytes()) % min_delay.0;
    Span(min_delay.0 + spread)
}
