//! Searches of reads of bounded staleness.

use super::{Case, MAX_DEPTH};
use crate::model::ages::{Safeguard, Scope, Spec};
use crate::types::Invalid;

const SCOPE: Scope = Scope {
    commits: 2,
    primary_questions: 2,
    peer_questions: 1,
};

pub(super) fn sound() -> Result<Vec<Case>, Invalid> {
    Ok(vec![case("ages told on", SCOPE, None, 10)?])
}

pub(super) fn unsound() -> Result<Vec<Case>, Invalid> {
    let cases = [
        Safeguard::AskedTime,
        Safeguard::LeaseAfter,
        Safeguard::ToldAge,
        Safeguard::AskedOther,
    ];
    let cases = cases.map(|disabled| {
        let scope = Scope {
            commits: 1,
            primary_questions: 1,
            ..SCOPE
        };
        case(
            &format!("ages without {disabled:?}"),
            scope,
            Some(disabled),
            MAX_DEPTH,
        )
    });
    cases.into_iter().collect()
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
