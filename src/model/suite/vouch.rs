//! The searches of leases that go on by the word of other VMs.

use super::{Case, DEEP};
use crate::model::vouch::{Change, Last, Safeguard, Scope, Spec};
use crate::types::Invalid;

/// Four VMs of which one is steward, and one change of primary.
const FOUR: Scope = Scope {
    vms: 4,
    candidates: 1,
    asker: 1,
    change: Change::Quiet,
    last: Last::Known,
    age: 0,
    changes: 1,
    restarts: 0,
    stops: 0,
    late: 0,
    evictions: 0,
    reads: true,
    twins: true,
};
/// The same, from where the steward has read the rows after its intent.
const WAITING: Scope = Scope {
    change: Change::Waiting,
    reads: false,
    ..FOUR
};
/// The same, from where it has not.
const WRITTEN: Scope = Scope {
    change: Change::Written,
    age: 1,
    ..WAITING
};
/// Another VM has the duty while the first one's change is under way.
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
        ..FOUR
    };
    let two = Scope {
        candidates: 2,
        asker: 2,
        ..FOUR
    };
    let mut cases = Vec::new();
    for (name, scope, bound) in [
        ("four VMs", FOUR, 7),
        ("four VMs that wait", WAITING, DEEP),
        (
            "four VMs, the steward asks",
            Scope {
                asker: 0,
                ..WAITING
            },
            DEEP,
        ),
        ("five VMs that wait", Scope { vms: 5, ..WAITING }, DEEP),
        ("four VMs, old readings", Scope { age: 4, ..WAITING }, DEEP),
        (
            "a VM that is new and stops",
            Scope {
                last: Last::New,
                stops,
                ..FOUR
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
                ..FOUR
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
                ..FOUR
            },
            7,
        ),
    ] {
        cases.push(of(&format!("vouch, {name}"), scope, None, bound)?);
    }
    Ok(cases)
}

pub(super) fn unsound() -> Result<Vec<Case>, Invalid> {
    use Safeguard as Out;
    let stop = Scope {
        stops: 1,
        ..WRITTEN
    };
    // Where no other VM has to vouch, two show it with fewer states to look at.
    let two = Scope { vms: 2, ..FOUR };
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
    for (out, scope) in [
        (Out::Quorum, WAITING),
        (Out::WordAsked, WAITING),
        (Out::WordOpen, WAITING),
        (
            Out::WordYoung,
            Scope {
                last: Last::Removed,
                ..WAITING
            },
        ),
        (
            Out::LongLease,
            Scope {
                last: Last::Removed,
                asker: 3,
                ..WAITING
            },
        ),
        (Out::PauseCounted, WAITING),
        (Out::FewFromReading, Scope { stops: 2, ..stop }),
        (Out::FewLeft, WAITING),
        (Out::RowsAfterIntent, gone),
        (Out::WaitAgain, TAKEN_OVER),
        (Out::RowInReading, gone),
        (Out::DropFirst, stop),
        (
            Out::Deaf,
            Scope {
                last: Last::New,
                ..stop
            },
        ),
        (
            Out::EvictionWaits,
            Scope {
                evictions: 1,
                ..two
            },
        ),
        (Out::RemoveCompared, marked),
    ] {
        let name = format!("vouch without {out:?}");
        let twins = false;
        cases.push(of(&name, Scope { twins, ..scope }, Some(out), DEEP)?);
    }
    Ok(cases)
}

/// Not a matter of safety: leases go on by the word of others, and a primary is replaced after
/// that, so that the searches above do not hold for want of steps.
pub(super) fn order() -> Result<Case, Invalid> {
    let scope = Scope {
        twins: false,
        ..WAITING
    };
    let spec = Spec::new(scope, None)?;
    Ok(Case {
        name: "vouch by an order".into(),
        bound: DEEP,
        run: Box::new(move |limit| spec.search_order(limit)),
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
