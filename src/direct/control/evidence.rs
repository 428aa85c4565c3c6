//! Whether a primary is lost, by what all VMs saw of it.
//!
//! **Pattern answered.** A primary that crashed or went dark, beside one that is slow, and one
//! that only some VMs cannot reach.
//! **Without it** one VM's broken path, or a burst that makes answers late, replaces a primary
//! that works: each change costs a second without writes and rolls transactions back.
//! **Thresholds.** A statement takes 6 to 50 ms and a connection 12 ms beside a round trip of
//! 24 ms: 400 ms without a single answer while something was tried is not load. A primary that
//! some VMs reach is left for 1.2 s, as a change costs all of them about that.
//!
//! Most VMs may reach a database by way of a few others and never try it: only those that it
//! answered of late, or that see it fail, have an opinion.

use crate::clock::{Span, Time};
use crate::direct::view::Report;

/// Silence of a database towards one VM that counts as a vote.
const SILENT: Span = Span::from_millis(400);

/// An answer this recent is a vote for the database.
const RECENT: Span = Span::from_secs(1);

/// A VM that was not heard for this long has no vote.
const HEARD: Span = Span::from_millis(1_500);

/// How long a primary that only some VMs reach is left.
const SPLIT: Span = Span::from_millis(1_200);

/// One in so many of the VMs with an opinion has to fail before a primary that others reach is
/// replaced, and this many at least.
const SPLIT_SHARE: usize = 3;
const SPLIT_LEAST: usize = 2;

/// How long the word of a connection attempt counts.
const TRIED: Span = Span::from_secs(1);

/// How a connection attempt of the steward's own ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attempt {
    /// The database answered: it runs, perhaps slowly.
    Answered,
    /// Nothing listens at its address, or another database does.
    Refused,
    /// No answer within the time.
    Silent,
}

/// A connection attempt and when it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tried {
    /// When it began.
    pub began: Time,
    /// When it ended.
    pub ended: Time,
    /// How.
    pub attempt: Attempt,
}

/// What one VM saw of the database.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Witness {
    /// When it told.
    pub heard: Time,
    /// What.
    pub report: Report,
}

/// What is believed of a primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nobody says that it fails.
    Fine,
    /// Somebody says so: try it, and look again.
    Suspected,
    /// It is lost.
    Lost,
    /// Some VMs reach it, and many do not.
    Split,
}

/// The votes on a primary.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Votes {
    /// VMs that it has not answered for [`SILENT`] although they tried.
    pub silent: usize,
    /// VMs that it has not answered for [`SPLIT`].
    pub long: usize,
    /// VMs that it has answered of late, and that do not see it fail.
    pub fine: usize,
    /// VMs that were heard, and that either see it fail or were answered of late.
    pub opinions: usize,
    /// When the first failure was that no answer to that VM followed.
    pub since: Option<Time>,
    /// The last answer to any VM.
    pub answered: Option<Time>,
}

impl Votes {
    /// Whether less than half as large a share of the VMs with an opinion sees it fail for long as
    /// of those with one on `other`.
    pub fn fails_less(&self, other: &Self) -> bool {
        self.long * other.opinions.max(1) * 2 < other.long * self.opinions.max(1)
    }
}

/// Counts what the VMs say.
pub fn count(witnesses: impl IntoIterator<Item = Witness>, now: Time) -> Votes {
    let mut votes = Votes::default();
    for Witness { heard, report } in witnesses {
        if heard + HEARD < now {
            continue;
        }
        let answered = report.answered.map(|ago| heard - ago);
        votes.answered = votes.answered.max(answered);
        let Some(failing) = report.failing.map(|ago| heard - ago) else {
            let fine = usize::from(answered.is_some_and(|at| at + RECENT >= now));
            votes.fine += fine;
            votes.opinions += fine;
            continue;
        };
        votes.opinions += 1;
        votes.since = Some(votes.since.map_or(failing, |since| since.min(failing)));
        votes.silent += usize::from(failing + SILENT <= now);
        votes.long += usize::from(failing + SPLIT <= now);
    }
    votes
}

/// Judges a primary by the votes and the steward's own last attempt.
pub fn judge(votes: &Votes, tried: Option<Tried>, now: Time) -> Verdict {
    let Some(since) = votes.since else {
        return Verdict::Fine;
    };
    let fresh = tried.filter(|tried| tried.began >= since && tried.ended + TRIED >= now);
    // The steward may be the only one that reaches it.
    let reached = votes.fine > 0 || fresh.is_some_and(|t| t.attempt == Attempt::Answered);
    let split = votes.long >= SPLIT_LEAST && votes.long * SPLIT_SHARE >= votes.opinions;
    if reached && split {
        return Verdict::Split;
    }
    let lost = fresh.is_some_and(|tried| {
        let answered = votes.answered.is_some_and(|at| at > tried.began);
        match tried.attempt {
            Attempt::Answered => false,
            // Nothing listens there: no need to wait for more voices.
            Attempt::Refused => !answered,
            Attempt::Silent => !answered && votes.silent > 0 && votes.fine == 0,
        }
    });
    if lost {
        return Verdict::Lost;
    }
    Verdict::Suspected
}
