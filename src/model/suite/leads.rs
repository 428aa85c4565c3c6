//! Searches of leases on a group's primary.

use super::{Case, MAX_DEPTH};
use crate::model::leads::{Safeguard, Scope, Spec};
use crate::types::Invalid;

/// Two VMs, one steward, and one change of primary.
const ONE_STEWARD: Scope = Scope {
    vms: 2,
    known: 2,
    changes: 1,
    tokens: 1,
    renewals: 4,
    restarts: 0,
    late: 0,
    evictions: 0,
    ordered: false,
};
/// As [`ONE_STEWARD`], but the duty may be taken over or handed over.
const TWO_STEWARDS: Scope = Scope {
    tokens: 2,
    ..ONE_STEWARD
};
/// The duty is taken over after a new primary was ordered and before it is published.
const ORDERED: Scope = Scope {
    renewals: 5,
    ordered: true,
    ..TWO_STEWARDS
};

pub(super) fn sound() -> Result<Vec<Case>, Invalid> {
    let restarts = 1;
    let late = 1;
    let evictions = 1;
    Ok(vec![
        case("leads, one steward", ONE_STEWARD, None, 14)?,
        case("leads, two stewards", TWO_STEWARDS, None, 11)?,
        case(
            "leads, one steward, one restart",
            Scope {
                restarts,
                ..ONE_STEWARD
            },
            None,
            12,
        )?,
        case(
            "leads, two stewards, one restart",
            Scope {
                restarts,
                ..TWO_STEWARDS
            },
            None,
            10,
        )?,
        case(
            "leads, two stewards, a late write",
            Scope {
                late,
                ..TWO_STEWARDS
            },
            None,
            10,
        )?,
        case(
            "leads, a VM that is new",
            Scope {
                known: 1,
                ..ONE_STEWARD
            },
            None,
            13,
        )?,
        case(
            "leads, three VMs",
            Scope {
                vms: 3,
                ..ONE_STEWARD
            },
            None,
            10,
        )?,
        case(
            "leads, rows that are marked and removed",
            Scope {
                restarts,
                late,
                evictions,
                ..ONE_STEWARD
            },
            None,
            8,
        )?,
        case("leads, an order that was done", ORDERED, None, 10)?,
    ])
}

pub(super) fn unsound() -> Result<Vec<Case>, Invalid> {
    // No more renewals than the counterexample needs, so that fewer states are searched.
    let one = Scope {
        renewals: 2,
        ..ONE_STEWARD
    };
    let two = Scope {
        renewals: 2,
        ..TWO_STEWARDS
    };
    let renewed = Scope {
        renewals: 3,
        ..TWO_STEWARDS
    };
    let at_once = Scope {
        renewals: 1,
        ..ONE_STEWARD
    };
    let restart = Scope {
        restarts: 1,
        ..at_once
    };
    let new = Scope {
        known: 1,
        ..at_once
    };
    let mut cases = Vec::new();
    for (disabled, scope) in [
        (Safeguard::AskedTime, one),
        (Safeguard::ToldAge, one),
        (Safeguard::PauseCounted, one),
        (Safeguard::CheckAfter, at_once),
        (Safeguard::RowInReading, new),
        (Safeguard::RowInNews, restart),
        (Safeguard::RowsAfterIntent, new),
        (Safeguard::DropConfirmed, at_once),
        (Safeguard::DropBeforeReading, restart),
        (Safeguard::WaitOut, at_once),
        (Safeguard::WaitFromAnswer, one),
        (Safeguard::WaitFromIntent, at_once),
        (Safeguard::WaitAgain, two),
        (Safeguard::NeverBack, one),
        (Safeguard::RenewBeforeOrder, two),
        (Safeguard::RenewalAsked, renewed),
        (Safeguard::Deadline, two),
        (Safeguard::EndResets, Scope { restarts: 1, ..two }),
        (Safeguard::TakeOverWaits, two),
        (Safeguard::CompareAndSet, Scope { restarts: 1, ..two }),
        (Safeguard::TokenRises, two),
        (Safeguard::OfferEnds, two),
        (Safeguard::OfferCompared, two),
        (
            Safeguard::PublishUnderDuty,
            Scope {
                renewals: 2,
                ..ORDERED
            },
        ),
        (Safeguard::RemoveCompared, Scope { late: 1, ..restart }),
        (
            Safeguard::EvictionWaits,
            Scope {
                evictions: 1,
                ..at_once
            },
        ),
    ] {
        cases.push(case(
            &format!("leads without {disabled:?}"),
            scope,
            Some(disabled),
            MAX_DEPTH,
        )?);
    }
    Ok(cases)
}

/// Checks progress: a change of primary can complete, so the searches above do not pass merely
/// because too few steps are possible.
pub(super) fn change() -> Result<Case, Invalid> {
    let spec = Spec::new(ONE_STEWARD, None)?;
    Ok(Case {
        name: "leads by a change of primary".into(),
        bound: MAX_DEPTH,
        run: Box::new(move |limit| spec.search_change(limit)),
    })
}

fn case(
    name: &str,
    scope: Scope,
    disabled: Option<Safeguard>,
    bound: usize,
) -> Result<Case, Invalid> {
    let spec = Spec::new(scope, disabled)?;
    Ok(Case {
        name: name.into(),
        bound,
        run: Box::new(move |limit| spec.search(limit)),
    })
}
