//! Searches of leases extended by a quorum of other VMs.

use super::{Case, MAX_DEPTH};
use crate::model::vouch::{Change, Last, Safeguard, Scope, Spec};
use crate::types::Invalid;

/// Four VMs, one steward, and one change of primary.
const FOUR_VMS: Scope = Scope {
    vms: 4,
    candidates: 1,
    asker: 1,
    change: Change::NotStarted,
    last: Last::Known,
    age: 0,
    changes: 1,
    restarts: 0,
    stops: 0,
    late: 0,
    evictions: 0,
    reads: true,
    symmetry: true,
};
/// As [`FOUR_VMS`], but starting after the steward has read the rows after its intent.
const WAITING: Scope = Scope {
    change: Change::Waiting,
    reads: false,
    ..FOUR_VMS
};
/// As [`WAITING`], but starting before the steward has read the rows.
const WRITTEN: Scope = Scope {
    change: Change::Written,
    age: 1,
    ..WAITING
};
/// Another VM takes the duty over during the first steward's change.
const TAKEN_OVER: Scope = Scope {
    change: Change::TakenOver,
    candidates: 2,
    asker: 2,
    ..WAITING
};

pub(super) fn sound() -> Result<Vec<Case>, Invalid> {
    let (restarts, stops, late, evictions) = (1, 1, 1, 1);
    let last = Last::Marked;
    let marked = Scope {
        last,
        restarts,
        late,
        evictions,
        ..FOUR_VMS
    };
    let two = Scope {
        candidates: 2,
        asker: 2,
        ..FOUR_VMS
    };
    let mut cases = Vec::new();
    for (name, scope, bound) in [
        ("four VMs", FOUR_VMS, 7),
        ("four VMs that wait", WAITING, MAX_DEPTH),
        (
            "four VMs, the steward asks",
            Scope {
                asker: 0,
                ..WAITING
            },
            MAX_DEPTH,
        ),
        ("five VMs that wait", Scope { vms: 5, ..WAITING }, MAX_DEPTH),
        (
            "four VMs, old readings",
            Scope { age: 4, ..WAITING },
            MAX_DEPTH,
        ),
        (
            "a VM that is new and stops",
            Scope {
                last: Last::New,
                stops,
                ..FOUR_VMS
            },
            6,
        ),
        (
            "a VM that stops while rows are read",
            Scope { stops, ..WRITTEN },
            11,
        ),
        (
            "one stop, one restart",
            Scope {
                restarts,
                stops,
                ..FOUR_VMS
            },
            5,
        ),
        ("rows that are marked and removed", marked, 5),
        ("a marked VM asks", Scope { asker: 3, ..marked }, 5),
        ("two stewards", two, 6),
        ("a steward after another", TAKEN_OVER, 7),
        (
            "two changes",
            Scope {
                changes: 2,
                age: 1,
                ..FOUR_VMS
            },
            7,
        ),
    ] {
        cases.push(case(&format!("vouch, {name}"), scope, None, bound)?);
    }
    Ok(cases)
}

pub(super) fn unsound() -> Result<Vec<Case>, Invalid> {
    let stop = Scope {
        stops: 1,
        ..WRITTEN
    };
    // Where no other VM has to confirm, two VMs are enough and give fewer states.
    let two = Scope { vms: 2, ..FOUR_VMS };
    let gone = Scope {
        stops: 1,
        age: 1,
        ..two
    };
    let marked = Scope {
        last: Last::Marked,
        late: 1,
        ..two
    };
    let mut cases = Vec::new();
    for (disabled, scope) in [
        (Safeguard::Quorum, WAITING),
        (Safeguard::WordAsked, WAITING),
        (Safeguard::WordOpen, WAITING),
        (
            Safeguard::WordYoung,
            Scope {
                last: Last::Removed,
                ..WAITING
            },
        ),
        (
            Safeguard::LongLease,
            Scope {
                last: Last::Removed,
                asker: 3,
                ..WAITING
            },
        ),
        (Safeguard::PauseCounted, WAITING),
        (Safeguard::FewFromReading, Scope { stops: 2, ..stop }),
        (Safeguard::FewLeft, WAITING),
        (Safeguard::RowsAfterIntent, gone),
        (Safeguard::WaitAgain, TAKEN_OVER),
        (Safeguard::RowInReading, gone),
        (Safeguard::DropFirst, stop),
        (
            Safeguard::Deaf,
            Scope {
                last: Last::New,
                ..stop
            },
        ),
        (
            Safeguard::EvictionWaits,
            Scope {
                evictions: 1,
                ..two
            },
        ),
        (Safeguard::RemoveCompared, marked),
    ] {
        let name = format!("vouch without {disabled:?}");
        let symmetry = false;
        cases.push(case(
            &name,
            Scope { symmetry, ..scope },
            Some(disabled),
            MAX_DEPTH,
        )?);
    }
    Ok(cases)
}

/// Checks progress: a lease can be extended and the primary replaced after that, so the searches
/// above do not pass merely because too few steps are possible.
pub(super) fn order() -> Result<Case, Invalid> {
    let scope = Scope {
        symmetry: false,
        ..WAITING
    };
    let spec = Spec::new(scope, None)?;
    Ok(Case {
        name: "vouch by an order".into(),
        bound: MAX_DEPTH,
        run: Box::new(move |limit| spec.search_order(limit)),
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
