//! A fleet's databases, which only answer orders about terms.

use crate::config::{Database, Document};
use crate::core::database::{Order, Refusal, State};
use crate::core::lineage::Lineage;
use crate::core::term::may_raise;
use crate::types::{DatabaseId, GroupId, Position, Term};
use std::collections::HashMap;

#[derive(Debug)]
pub(super) struct Base {
    group: GroupId,
    term: Term,
    open: bool,
    opener: Option<usize>,
    lineage: Lineage,
}

impl Base {
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

    pub fn obey(&mut self, order: Order, seat: usize) -> Result<State, Refusal> {
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
                self.opener = Some(seat);
            }
            Order::Raise(_) | Order::Open(_) => return Err(Refusal::Term(self.term)),
            Order::Report | Order::Reach(_) => {}
        }
        Ok(self.state())
    }
}

/// How many groups have no primary that was opened in their highest term by a seat that lives.
pub(super) fn unserved<'a>(
    bases: impl Iterator<Item = &'a Base>,
    live: impl Fn(usize) -> bool,
) -> usize {
    let mut highest: HashMap<&GroupId, &Base> = HashMap::new();
    for base in bases {
        let best = highest.entry(&base.group).or_insert(base);
        if (base.term, base.open) > (best.term, best.open) {
            *best = base;
        }
    }
    let served = |base: &&&Base| base.open && base.opener.is_some_and(&live);
    highest.len() - highest.values().filter(served).count()
}

pub(super) fn bases(document: &Document) -> HashMap<DatabaseId, Base> {
    let base = |(group, id, _): (&GroupId, &DatabaseId, &Database)| {
        let base = Base {
            group: group.clone(),
            term: Term(0),
            open: false,
            opener: None,
            lineage: Lineage::default(),
        };
        (id.clone(), base)
    };
    document.databases().map(base).collect()
}
