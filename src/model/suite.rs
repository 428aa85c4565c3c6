//! Every search there is: the protocol as it stands, and with each safeguard taken out.

mod leads;
mod vouch;

use crate::model::search::Report;
use crate::model::{floors, outcomes, terms};
use crate::types::Invalid;
use std::fmt;

/// One search, ready to run.
pub struct Case {
    /// What is searched, and within which bounds.
    pub name: Box<str>,
    /// How deep it goes where time is short, such as in CI.
    pub bound: usize,
    run: Box<dyn Fn(usize) -> Report>,
}

impl fmt::Debug for Case {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Case").field("name", &self.name).finish()
    }
}

impl Case {
    /// Searches all states within `limit` events.
    pub fn search(&self, limit: usize) -> Report {
        (self.run)(limit)
    }
}

/// One write, two terms, and time.
const CLOCK: terms::Scope = terms::Scope {
    terms: 2,
    writes: 1,
    restarts: 0,
    clock: true,
    repeats: false,
    majority: false,
    divided: false,
};
/// Two writes and two changes of term, held by a majority before they are acknowledged.
const LOG: terms::Scope = terms::Scope {
    terms: 3,
    writes: 2,
    clock: false,
    majority: true,
    ..CLOCK
};
/// Writes asked for again after two changes of term that left the databases divided.
const DIVIDED: terms::Scope = terms::Scope {
    terms: 4,
    repeats: true,
    divided: true,
    ..LOG
};

/// The protocol as it stands: no search may find a broken property.
pub fn sound() -> Result<Vec<Case>, Invalid> {
    let restarts = 1;
    let mut cases = vec![
        of_terms("two terms in time", CLOCK, None, 40)?,
        of_terms(
            "two terms in time, majority held",
            terms::Scope {
                majority: true,
                ..CLOCK
            },
            None,
            12,
        )?,
        of_terms(
            "three terms in time, one restart",
            terms::Scope {
                terms: 3,
                restarts,
                ..CLOCK
            },
            None,
            11,
        )?,
        of_terms("three terms", LOG, None, 13)?,
        of_terms(
            "three terms, primary alone",
            terms::Scope {
                majority: false,
                ..LOG
            },
            None,
            12,
        )?,
        of_terms("divided databases, repeated keys", DIVIDED, None, 9)?,
        of_floors("one session on two proxies", None)?,
        of_outcomes("a booking without a key", false, None),
        of_outcomes("a booking under a key", true, None),
    ];
    cases.extend(leads::sound()?);
    cases.extend(vouch::sound()?);
    Ok(cases)
}

/// What the protocol has to be able to do; the search has to find how.
pub fn reached() -> Result<Vec<Case>, Invalid> {
    Ok(vec![leads::change()?, vouch::order()?])
}

/// The protocol with one safeguard taken out of each case: every search has to find a broken
/// property.
pub fn unsound() -> Result<Vec<Case>, Invalid> {
    use terms::Safeguard as Out;
    let held = terms::Scope {
        majority: true,
        ..CLOCK
    };
    let later = terms::Scope { terms: 3, ..CLOCK };
    let restart = terms::Scope { restarts: 1, ..LOG };
    let mut cases = Vec::new();
    for (out, scope) in [
        (Out::StrictRaise, CLOCK),
        (Out::MajorityRaised, LOG),
        (Out::WaitOut, CLOCK),
        (Out::Drift, CLOCK),
        (Out::SentTime, CLOCK),
        (Out::ClockAfterAnswer, CLOCK),
        (Out::PrimaryConfirms, CLOCK),
        (Out::OthersConfirm, CLOCK),
        (Out::FurthestLog, LOG),
        (Out::OneChoice, LOG),
        (Out::YieldOfFormer, later),
        (Out::MajorityHolds, LOG),
        (Out::TermKept, restart),
        (Out::Fence, held),
        (Out::NoOlderLog, LOG),
        (Out::StartCounts, DIVIDED),
        (Out::OwnTerm, DIVIDED),
    ] {
        let name = format!("terms without {out:?}");
        cases.push(of_terms(&name, scope, Some(out), DEEP)?);
    }
    use floors::Safeguard as Floor;
    for out in [
        Floor::Revoke,
        Floor::WithinConfirmations,
        Floor::FromQuestion,
        Floor::StaleGrant,
        Floor::LateRelease,
        Floor::LeasesBeforeYield,
        Floor::Horizon,
    ] {
        cases.push(of_floors(&format!("floors without {out:?}"), Some(out))?);
    }
    use outcomes::Safeguard as Rule;
    for (out, keyed) in [
        (Rule::UnknownOnceSent, false),
        (Rule::KeyForRetry, false),
        (Rule::OneTransaction, true),
        (Rule::TurnedAwayIsGone, false),
    ] {
        let name = format!("outcomes without {out:?}");
        cases.push(of_outcomes(&name, keyed, Some(out)));
    }
    cases.extend(leads::unsound()?);
    cases.extend(vouch::unsound()?);
    Ok(cases)
}

/// How often a booking is sent at most.
const TRIES: u8 = 3;

fn of_outcomes(name: &str, keyed: bool, out: Option<outcomes::Safeguard>) -> Case {
    let spec = outcomes::Spec::new(keyed, TRIES, out);
    Case {
        name: name.into(),
        bound: DEEP,
        run: Box::new(move |limit| spec.search(limit)),
    }
}

/// Deeper than any search here gets.
const DEEP: usize = 60;

/// Writes of the session whose floor is followed.
const SESSION_WRITES: u8 = 2;

fn of_floors(name: &str, out: Option<floors::Safeguard>) -> Result<Case, Invalid> {
    let spec = floors::Spec::new(SESSION_WRITES, out)?;
    Ok(Case {
        name: name.into(),
        bound: DEEP,
        run: Box::new(move |limit| spec.search(limit)),
    })
}

fn of_terms(
    name: &str,
    scope: terms::Scope,
    out: Option<terms::Safeguard>,
    bound: usize,
) -> Result<Case, Invalid> {
    let spec = terms::Spec::new(scope, out)?;
    Ok(Case {
        name: name.into(),
        bound,
        run: Box::new(move |limit| spec.search(limit)),
    })
}
