//! All searches: of the protocol with every safeguard, and with each safeguard disabled.

mod ages;
mod allowance;
mod leads;
mod vouch;

use crate::model::search::Report;
use crate::model::{floors, outcomes, terms};
use crate::types::Invalid;
use std::fmt;

/// A named search.
pub struct Case {
    /// The specification and its bounds.
    pub name: Box<str>,
    /// The depth limit for short runs, such as in CI.
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

/// One write, two terms, and passing time.
const CLOCK: terms::Scope = terms::Scope {
    terms: 2,
    writes: 1,
    restarts: 0,
    clock: true,
    repeats: false,
    majority: false,
    diverged: false,
};
/// Two writes and two changes of term; a majority holds each write before its acknowledgement.
const LOG: terms::Scope = terms::Scope {
    terms: 3,
    writes: 2,
    clock: false,
    majority: true,
    ..CLOCK
};
/// Writes repeated after two changes of term that left the databases' logs diverged.
const DIVERGED: terms::Scope = terms::Scope {
    terms: 4,
    repeats: true,
    diverged: true,
    ..LOG
};

/// Searches of the protocol with every safeguard; none may find a broken property.
pub fn sound() -> Result<Vec<Case>, Invalid> {
    let restarts = 1;
    let mut cases = vec![
        terms_case("two terms in time", CLOCK, None, 40)?,
        terms_case(
            "two terms in time, majority held",
            terms::Scope {
                majority: true,
                ..CLOCK
            },
            None,
            12,
        )?,
        terms_case(
            "three terms in time, one restart",
            terms::Scope {
                terms: 3,
                restarts,
                ..CLOCK
            },
            None,
            11,
        )?,
        terms_case("three terms", LOG, None, 13)?,
        terms_case(
            "three terms, primary alone",
            terms::Scope {
                majority: false,
                ..LOG
            },
            None,
            12,
        )?,
        terms_case("divided databases, repeated keys", DIVERGED, None, 9)?,
        floors_case("one session on two proxies", None)?,
        outcomes_case("a booking without a key", false, None),
        outcomes_case("a booking under a key", true, None),
    ];
    cases.extend(leads::sound()?);
    cases.extend(vouch::sound()?);
    cases.extend(ages::sound()?);
    cases.extend(allowance::sound());
    Ok(cases)
}

/// Searches for states that the protocol must be able to reach; each has to find its state.
pub fn reachable() -> Result<Vec<Case>, Invalid> {
    Ok(vec![leads::change()?, vouch::order()?])
}

/// Searches of the protocol with one safeguard disabled in each; each has to find a broken
/// property.
pub fn unsound() -> Result<Vec<Case>, Invalid> {
    let majority = terms::Scope {
        majority: true,
        ..CLOCK
    };
    let three_terms = terms::Scope { terms: 3, ..CLOCK };
    let restart = terms::Scope { restarts: 1, ..LOG };
    let mut cases = Vec::new();
    for (disabled, scope) in [
        (terms::Safeguard::StrictRaise, CLOCK),
        (terms::Safeguard::MajorityRaised, LOG),
        (terms::Safeguard::WaitOut, CLOCK),
        (terms::Safeguard::Drift, CLOCK),
        (terms::Safeguard::SentTime, CLOCK),
        (terms::Safeguard::ClockAfterAnswer, CLOCK),
        (terms::Safeguard::PrimaryConfirms, CLOCK),
        (terms::Safeguard::OthersConfirm, CLOCK),
        (terms::Safeguard::FurthestLog, LOG),
        (terms::Safeguard::OneChoice, LOG),
        (terms::Safeguard::YieldOfFormer, three_terms),
        (terms::Safeguard::MajorityHolds, LOG),
        (terms::Safeguard::TermKept, restart),
        (terms::Safeguard::Fence, majority),
        (terms::Safeguard::NoOlderLog, LOG),
        (terms::Safeguard::StartCounts, DIVERGED),
        (terms::Safeguard::OwnTerm, DIVERGED),
    ] {
        let name = format!("terms without {disabled:?}");
        cases.push(terms_case(&name, scope, Some(disabled), MAX_DEPTH)?);
    }

    for disabled in [
        floors::Safeguard::Revoke,
        floors::Safeguard::WithinConfirmations,
        floors::Safeguard::FromQuestion,
        floors::Safeguard::StaleGrant,
        floors::Safeguard::LateRelease,
        floors::Safeguard::LeasesBeforeYield,
        floors::Safeguard::Horizon,
    ] {
        cases.push(floors_case(
            &format!("floors without {disabled:?}"),
            Some(disabled),
        )?);
    }

    for (disabled, keyed) in [
        (outcomes::Safeguard::UnknownOnceSent, false),
        (outcomes::Safeguard::KeyForRetry, false),
        (outcomes::Safeguard::OneTransaction, true),
        (outcomes::Safeguard::TurnedAwayIsGone, false),
    ] {
        let name = format!("outcomes without {disabled:?}");
        cases.push(outcomes_case(&name, keyed, Some(disabled)));
    }
    cases.extend(leads::unsound()?);
    cases.extend(vouch::unsound()?);
    cases.extend(ages::unsound()?);
    cases.extend(allowance::unsound());
    Ok(cases)
}

/// The maximum number of tries of a booking.
const MAX_TRIES: u8 = 3;

fn outcomes_case(name: &str, keyed: bool, disabled: Option<outcomes::Safeguard>) -> Case {
    let spec = outcomes::Spec::new(keyed, MAX_TRIES, disabled);
    Case {
        name: name.into(),
        bound: MAX_DEPTH,
        run: Box::new(move |limit| spec.search(limit)),
    }
}

/// Deeper than any search here reaches.
const MAX_DEPTH: usize = 60;

/// Number of writes of the modelled session.
const SESSION_WRITES: u8 = 2;

fn floors_case(name: &str, disabled: Option<floors::Safeguard>) -> Result<Case, Invalid> {
    let spec = floors::Spec::new(SESSION_WRITES, disabled)?;
    Ok(Case {
        name: name.into(),
        bound: MAX_DEPTH,
        run: Box::new(move |limit| spec.search(limit)),
    })
}

fn terms_case(
    name: &str,
    scope: terms::Scope,
    disabled: Option<terms::Safeguard>,
    bound: usize,
) -> Result<Case, Invalid> {
    let spec = terms::Spec::new(scope, disabled)?;
    Ok(Case {
        name: name.into(),
        bound,
        run: Box::new(move |limit| spec.search(limit)),
    })
}
