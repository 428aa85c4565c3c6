//! The searches of how each VM knows who leads.

use super::{Case, DEEP};
use crate::model::leads::{Safeguard, Scope, Spec};
use crate::types::Invalid;

/// Two VMs of which one is steward, and one change of primary.
const ONE: Scope = Scope {
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
/// The same, and the duty may be taken over or handed over.
const TWO: Scope = Scope { tokens: 2, ..ONE };
/// The duty is taken over where a new primary was ordered and is not named.
const ORDERED: Scope = Scope {
    renewals: 5,
    ordered: true,
    ..TWO
};

pub(super) fn sound() -> Result<Vec<Case>, Invalid> {
    let restarts = 1;
    let late = 1;
    let evictions = 1;
    Ok(vec![
        of("leads, one steward", ONE, None, 14)?,
        of("leads, two stewards", TWO, None, 11)?,
        of(
            "leads, one steward, one restart",
            Scope { restarts, ..ONE },
            None,
            12,
        )?,
        of(
            "leads, two stewards, one restart",
            Scope { restarts, ..TWO },
            None,
            10,
        )?,
        of(
            "leads, two stewards, a late write",
            Scope { late, ..TWO },
            None,
            10,
        )?,
        of(
            "leads, a VM that is new",
            Scope { known: 1, ..ONE },
            None,
            13,
        )?,
        of("leads, three VMs", Scope { vms: 3, ..ONE }, None, 10)?,
        of(
            "leads, rows that are marked and removed",
            Scope {
                restarts,
                late,
                evictions,
                ..ONE
            },
            None,
            8,
        )?,
        of("leads, an order that was done", ORDERED, None, 10)?,
    ])
}

pub(super) fn unsound() -> Result<Vec<Case>, Invalid> {
    use Safeguard as Out;
    // No more renewals than the counterexample needs: fewer states to look at.
    let one = Scope { renewals: 2, ..ONE };
    let two = Scope { renewals: 2, ..TWO };
    let renewed = Scope { renewals: 3, ..TWO };
    let at_once = Scope { renewals: 1, ..ONE };
    let restart = Scope {
        restarts: 1,
        ..at_once
    };
    let new = Scope {
        known: 1,
        ..at_once
    };
    let mut cases = Vec::new();
    for (out, scope) in [
        (Out::AskedTime, one),
        (Out::ToldAge, one),
        (Out::PauseCounted, one),
        (Out::CheckAfter, at_once),
        (Out::RowInReading, new),
        (Out::RowInNews, restart),
        (Out::RowsAfterIntent, new),
        (Out::DropConfirmed, at_once),
        (Out::DropBeforeReading, restart),
        (Out::WaitOut, at_once),
        (Out::WaitFromAnswer, one),
        (Out::WaitFromIntent, at_once),
        (Out::WaitAgain, two),
        (Out::NeverBack, one),
        (Out::RenewBeforeOrder, two),
        (Out::RenewalAsked, renewed),
        (Out::Deadline, two),
        (Out::EndResets, Scope { restarts: 1, ..two }),
        (Out::TakeOverWaits, two),
        (Out::CompareAndSet, Scope { restarts: 1, ..two }),
        (Out::TokenRises, two),
        (Out::OfferEnds, two),
        (Out::OfferCompared, two),
        (
            Out::PublishUnderDuty,
            Scope {
                renewals: 2,
                ..ORDERED
            },
        ),
        (Out::RemoveCompared, Scope { late: 1, ..restart }),
        (
            Out::EvictionWaits,
            Scope {
                evictions: 1,
                ..at_once
            },
        ),
    ] {
        cases.push(of(
            &format!("leads without {out:?}"),
            scope,
            Some(out),
            DEEP,
        )?);
    }
    Ok(cases)
}

/// Not a matter of safety: the change of primary can be ended, so that the searches above do not
/// hold for want of steps.
pub(super) fn change() -> Result<Case, Invalid> {
    let spec = Spec::new(ONE, None)?;
    Ok(Case {
        name: "leads by a change of primary".into(),
        bound: DEEP,
        run: Box::new(move |limit| spec.search_change(limit)),
    })
}

fn of(name: &str, scope: Scope, out: Option<Safeguard>, bound: usize) -> Result<Case, Invalid> {
    let spec = Spec::new(scope, out)?;
    Ok(Case {
        name: name.into(),
        bound,
        run: Box::new(move |limit| spec.search(limit)),
    })
}
