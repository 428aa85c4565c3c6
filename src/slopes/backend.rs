//! Simulated databases of a fleet, which only execute orders about terms.

use crate::config::{Database, Document};
use crate::core::database::{Order, Refusal, State};
use crate::core::lineage::Lineage;
use crate::core::term::may_raise;
use crate::types::{DatabaseId, GroupId, Position, Term};
use std::collections::HashMap;

#[derive(Debug)]
pub(super) struct Backend {
    group: GroupId,
    term: Term,
    open: bool,
    opener: Option<usize>,
    lineage: Lineage,
}

impl Backend {
    fn state(&self) -> State {
        let position = Position::default();
        State {
            term: self.term,
            position,
            applied: position,
            open: self.open,
            lineage: self.lineage.clone(),
        }
    }

    pub fn execute(&mut self, order: Order, host: usize) -> Result<State, Refusal> {
        match order {
            Order::Raise(term) if may_raise(self.term, term) => {
                self.term = term;
                self.open = false;
            }
            Order::Open(term) if term == self.term => {
                if !self.open {
                    self.lineage.open(term, Position::default());
                }
                self.open = true;
                self.opener = Some(host);
            }
            Order::Raise(_) | Order::Open(_) => return Err(Refusal::Term(self.term)),
            Order::Report | Order::Reach(_) => {}
        }
        Ok(self.state())
    }
}

/// Number of groups without a primary that a live host opened in the group's highest term.
pub(super) fn unserved<'a>(
    backends: impl Iterator<Item = &'a Backend>,
    live: impl Fn(usize) -> bool,
) -> usize {
    let mut highest: HashMap<&GroupId, &Backend> = HashMap::new();
    for backend in backends {
        let best = highest.entry(&backend.group).or_insert(backend);
        if (backend.term, backend.open) > (best.term, best.open) {
            *best = backend;
        }
    }
    let served = |backend: &&&Backend| backend.open && backend.opener.is_some_and(&live);
    highest.len() - highest.values().filter(served).count()
}

pub(super) fn backends(document: &Document) -> HashMap<DatabaseId, Backend> {
    let backend = |(group, id, _): (&GroupId, &DatabaseId, &Database)| {
        let backend = Backend {
            group: group.clone(),
            term: Term(0),
            open: false,
            opener: None,
            lineage: Lineage::default(),
        };
        (id.clone(), backend)
    };
    document.databases().map(backend).collect()
}
