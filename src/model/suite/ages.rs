//! The searches of ages that are told on.

use super::{Case, DEEP};
use crate::model::ages::{Safeguard, Scope, Spec};
use crate::types::Invalid;

const SCOPE: Scope = Scope {
    commits: 2,
    asks: 2,
    tells: 1,
};

pub(super) fn sound() -> Result<Vec<Case>, Invalid> {
    Ok(vec![of("ages told on", SCOPE, None, 10)?])
}

pub(super) fn unsound() -> Result<Vec<Case>, Invalid> {
    let cases = [
        Safeguard::AskedTime,
        Safeguard::LeaseAfter,
        Safeguard::ToldAge,
        Safeguard::AskedOther,
    ];
    let cases = cases.map(|out| {
        let scope = Scope {
            commits: 1,
            asks: 1,
            ..SCOPE
        };
        of(&format!("ages without {out:?}"), scope, Some(out), DEEP)
    });
    cases.into_iter().collect()
}

fn of(name: &str, scope: Scope, out: Option<Safeguard>, bound: usize) -> Result<Case, Invalid> {
    let spec = Spec::new(scope, out)?;
    Ok(Case {
        name: name.into(),
        bound,
        run: Box::new(move |limit| spec.search(limit)),
    })
}
