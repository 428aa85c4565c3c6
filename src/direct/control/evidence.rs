//! Decides whether a primary is lost, by what all VMs observed of it.
//!
//! It tells apart a primary that crashed or does not answer, one that is slow, and one that only
//! some VMs cannot reach. Otherwise one VM's broken path, or a burst that makes answers late, would
//! replace a working primary; each replacement costs a second without writes and rolls transactions
//! back. A statement takes 6 to 50 ms and a connection 12 ms, besides a round trip of 24 ms, so 400
//! ms without any answer to attempts is not load. A primary that some VMs reach is kept for 1.2 s,
//! because a replacement costs all VMs about as much.
//!
//! Most VMs may reach a database through a few others and never connect to it: only those that it
//! answered recently, or that observe failures, have a vote.

use crate::clock::{Span, Time};
use crate::direct::view::Report;

/// A database that has not answered a VM for this long gets a vote against it.
const SILENCE_TIMEOUT: Span = Span::from_millis(400);

/// An answer at most this old is a vote for the database.
const MAX_ANSWER_AGE: Span = Span::from_secs(1);

/// A VM whose last heartbeat is older than this has no vote.
const MAX_REPORT_AGE: Span = Span::from_millis(1_500);

/// How long a primary that only some VMs reach is kept.
const SPLIT_TIMEOUT: Span = Span::from_millis(1_200);

/// A primary that some VMs reach is replaced only if one in `SPLIT_SHARE` of the VMs with a vote
/// has failed for [`SPLIT_TIMEOUT`], and at least `MIN_SPLIT_VMS` of them.
const SPLIT_SHARE: usize = 3;
const MIN_SPLIT_VMS: usize = 2;

/// How long the result of a connection attempt is valid.
const MAX_ATTEMPT_AGE: Span = Span::from_secs(1);

/// The result of a connection attempt by the steward.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attempt {
    /// The database answered: it runs, perhaps slowly.
    Answered,
    /// Nothing listens at its address, or another database does.
    Refused,
    /// It did not answer in time.
    Silent,
}

/// A connection attempt of the steward.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Probe {
    /// When it began.
    pub began: Time,
    /// When it ended.
    pub ended: Time,
    /// Its result.
    pub attempt: Attempt,
}

/// What one VM observed of the database.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    /// When its report arrived.
    pub received: Time,
    /// The report.
    pub report: Report,
}

/// The verdict on a primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// No VM reports a failure.
    Fine,
    /// Some VM reports a failure: the steward tries to connect, and checks again.
    Suspected,
    /// It is lost.
    Lost,
    /// Some VMs reach it, and many do not.
    Split,
}

/// The votes on a primary.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Votes {
    /// VMs that it has not answered for [`SILENCE_TIMEOUT`] although they tried.
    pub silent: usize,
    /// VMs that it has not answered for [`SPLIT_TIMEOUT`].
    pub long: usize,
    /// VMs that it has answered recently, and that observe no failure.
    pub fine: usize,
    /// VMs with a current report that either observe a failure or were answered recently.
    pub opinions: usize,
    /// The time of the earliest failure that no answer to the same VM followed.
    pub since: Option<Time>,
    /// The last answer to any VM.
    pub answered: Option<Time>,
}

impl Votes {
    /// Whether the share of VMs with a vote that observe a long failure is less than half of that
    /// of `other`.
    pub fn fails_less(&self, other: &Self) -> bool {
        self.long * other.opinions.max(1) * 2 < other.long * self.opinions.max(1)
    }
}

/// Counts the votes.
pub fn count(observations: impl IntoIterator<Item = Observation>, now: Time) -> Votes {
    let mut votes = Votes::default();
    for Observation { received, report } in observations {
        if received + MAX_REPORT_AGE < now {
            continue;
        }
        let answered = report.answered.map(|ago| received - ago);
        votes.answered = votes.answered.max(answered);
        let Some(failing) = report.failing.map(|ago| received - ago) else {
            let fine = usize::from(answered.is_some_and(|at| at + MAX_ANSWER_AGE >= now));
            votes.fine += fine;
            votes.opinions += fine;
            continue;
        };
        votes.opinions += 1;
        votes.since = Some(votes.since.map_or(failing, |since| since.min(failing)));
        votes.silent += usize::from(failing + SILENCE_TIMEOUT <= now);
        votes.long += usize::from(failing + SPLIT_TIMEOUT <= now);
    }
    votes
}

/// Judges a primary by the votes and the steward's own last attempt.
pub fn judge(votes: &Votes, tried: Option<Probe>, now: Time) -> Verdict {
    let Some(since) = votes.since else {
        return Verdict::Fine;
    };
    let fresh = tried.filter(|tried| tried.began >= since && tried.ended + MAX_ATTEMPT_AGE >= now);
    // The steward may be the only one that reaches it.
    let reached = votes.fine > 0 || fresh.is_some_and(|t| t.attempt == Attempt::Answered);
    let split = votes.long >= MIN_SPLIT_VMS && votes.long * SPLIT_SHARE >= votes.opinions;
    if reached && split {
        return Verdict::Split;
    }
    let lost = fresh.is_some_and(|tried| {
        let answered = votes.answered.is_some_and(|at| at > tried.began);
        match tried.attempt {
            Attempt::Answered => false,
            // Nothing listens there, so there is no need to wait for more votes.
            Attempt::Refused => !answered,
            Attempt::Silent => !answered && votes.silent > 0 && votes.fine == 0,
        }
    });
    if lost {
        return Verdict::Lost;
    }
    Verdict::Suspected
}
