//! Who leads a group in a new era of the store, whose rows are hearsay.
//!
//! **Failure answered.** A primary was replaced, or a replacement had begun, and the store came back from a copy of
//! before. **Symptom without it.** The old primary is written as the one that leads, and acknowledges what the new one
//! lacks. **Why it suffices.** Whoever replaces a primary waits until no VM holds a lease on it. A VM that holds one
//! while it has the duty of the new era knows so that nobody replaced it; the steward before can't renew its duty any
//! more. Without a lease the group is given a replacement, which asks the databases.

use crate::direct::config::Database;
use crate::direct::lead::{Epoch, Lead};
use crate::direct::table::Era;

/// The numbers below this one of an era count its own changes.
const CHANGES: u32 = 32;

/// What all epochs and tokens of an era are above: those of earlier eras are below it, known or not.
pub fn floor(era: Era) -> u64 {
    era.0 << CHANGES
}

/// The first lead of a group in an era, of which `known` is the newest that this VM or a former row shows, and `held`
/// the epoch on which it holds a lease. Where nothing is known the database that is `named` leads.
pub fn first(era: Era, known: Option<Lead>, held: Option<Epoch>, named: &Database) -> Lead {
    let Some(known) = known else {
        return Lead {
            epoch: floor(era) + 1,
            primary: named.id.clone(),
            born: named.born,
            changing: false,
            continues: None,
        };
    };
    let is_held = !known.changing && held == Some(known.epoch);
    Lead {
        epoch: known.epoch.max(floor(era)) + 1,
        continues: is_held.then_some(known.epoch),
        changing: !is_held,
        ..known
    }
}
