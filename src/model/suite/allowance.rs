//! Searches of the bound of an organisation's allowance.

use super::{Case, MAX_DEPTH};
use crate::model::allowance::handover::{self, Part};
use crate::model::allowance::{Safeguard, Scope, Spec};

/// No restart, pause or change of the limit.
const STEADY: Scope = Scope {
    restarts: 0,
    pauses: 0,
    lowered: false,
    ticks: 3,
};

pub(super) fn sound() -> Vec<Case> {
    vec![
        case("allowance", STEADY, None, 9),
        case(
            "allowance, two restarts",
            Scope {
                restarts: 2,
                ..STEADY
            },
            None,
            9,
        ),
        case(
            "allowance, a VM is paused",
            Scope {
                pauses: 1,
                ..STEADY
            },
            None,
            8,
        ),
        case(
            "allowance, a lowered limit",
            Scope {
                lowered: true,
                ..STEADY
            },
            None,
            9,
        ),
        handover("allowance, a successor begins", Part::Halves, None, 12),
        handover("allowance, a tenure ends", Part::End, None, 13),
    ]
}

pub(super) fn unsound() -> Vec<Case> {
    let restart = Scope {
        restarts: 1,
        ..STEADY
    };
    let pause = Scope {
        pauses: 1,
        ..STEADY
    };
    let lowered = Scope {
        lowered: true,
        ..STEADY
    };
    let asked = [
        (Safeguard::Split, STEADY),
        (Safeguard::EmptyBucket, restart),
        (Safeguard::RoomForFormer, restart),
        (Safeguard::OutstandingCounts, STEADY),
        (Safeguard::Expiry, STEADY),
        (Safeguard::NeededExpires, STEADY),
        (Safeguard::FromRequest, pause),
        (Safeguard::OneAnswer, STEADY),
        (Safeguard::LowerAtOnce, lowered),
    ];
    let asked = asked.map(|(disabled, scope)| {
        let name = format!("allowance without {disabled:?}");
        case(&name, scope, Some(disabled), MAX_DEPTH)
    });
    let handed_over = [
        (Safeguard::Succession, Part::Halves),
        (Safeguard::HalfToSuccessor, Part::Halves),
        (Safeguard::HalfInDoubt, Part::Halves),
        (Safeguard::HalvedInTime, Part::Halves),
        (Safeguard::TenureEnds, Part::End),
        (Safeguard::LastTokensExpire, Part::End),
    ];
    let handed_over = handed_over.map(|(disabled, part)| {
        let name = format!("allowance without {disabled:?}");
        handover(&name, part, Some(disabled), MAX_DEPTH)
    });
    asked.into_iter().chain(handed_over).collect()
}

fn case(name: &str, scope: Scope, disabled: Option<Safeguard>, bound: usize) -> Case {
    let spec = Spec::new(scope, disabled);
    Case {
        name: name.into(),
        bound,
        run: Box::new(move |limit| spec.search(limit)),
    }
}

fn handover(name: &str, part: Part, disabled: Option<Safeguard>, bound: usize) -> Case {
    let spec = handover::Spec::new(part, disabled);
    Case {
        name: name.into(),
        bound,
        run: Box::new(move |limit| spec.search(limit)),
    }
}
