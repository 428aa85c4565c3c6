//! The first lead of a group in a new era of the store, whose restored rows are not trusted.
//!
//! A primary may have been replaced, or a replacement begun, after the copy was made from which the
//! store was restored. If the old primary were written as the lead again, it would acknowledge
//! writes that the new one lacks. A steward waits until no VM holds a lease on a primary before it
//! replaces it. So a VM that holds a lease on the primary, together with the duty of the new era,
//! knows that it was not replaced; the former steward can't renew its duty any more. Without a
//! lease the group gets a change of primary, which asks the databases for their positions.

use crate::direct::config::Database;
use crate::direct::lead::{Epoch, Lead};
use crate::direct::table::Era;

/// The number of low bits of an epoch or token that count the changes within its era.
const CHANGE_BITS: u32 = 32;

/// Returns the number that all epochs and tokens of an era exceed; those of earlier eras are below
/// it.
pub fn floor(era: Era) -> u64 {
    era.0 << CHANGE_BITS
}

/// Returns the first lead of a group in an era. `known` is the newest lead that this VM has or an
/// older row shows, `held` the epoch on which this VM holds a lease. If no lead is known, the
/// database `named` leads.
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
