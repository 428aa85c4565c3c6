//! Random tests of the register of databases, with readings from other VMs in any order.

mod registered;

use lentilspoke::direct::control::register::Register;
use quickcheck::quickcheck;
use registered::{at, databases};
use std::collections::BTreeMap;

const NAMES: [&str; 3] = ["a", "b", "c"];

/// The names of the databases in a reading, one for each bit.
fn shown(bits: u8) -> Vec<&'static str> {
    let names = NAMES.into_iter().enumerate();
    let named = names.filter(|(bit, _)| bits >> bit & 1 == 1);
    named.map(|(_, name)| name).collect()
}

quickcheck! {
    // Whatever the order in which a VM receives readings, and however often, it ends with the
    // content of the newest. So a removed database does not come back, and VMs that received the
    // same readings in another order have the same digest, by which they compare their registers.
    // (Open: a VM that never had a database has another digest than one that had some and received
    // an empty list.)
    fn newest_reading_wins(readings: BTreeMap<u16, u8>, again: Vec<u8>) -> bool {
        let ordered: Vec<_> = readings.into_iter().collect();
        let Some((_, newest)) = ordered.last() else { return true };
        let mut mixed = ordered.clone();
        for (n, with) in again.iter().enumerate() {
            let place = n % mixed.len();
            mixed.push(ordered[usize::from(*with) % ordered.len()]);
            mixed.swap(place, usize::from(*with) % ordered.len());
        }
        mixed.extend(&ordered);
        mixed.reverse();
        let [mut one, mut other] = [Register::default(), Register::default()];
        for (register, order) in [(&mut one, &ordered), (&mut other, &mixed)] {
            for (asked, bits) in order {
                register.apply(databases(&shown(*bits)), at(u64::from(*asked)));
            }
        }
        let known: Vec<_> = one.databases().keys().map(ToString::to_string).collect();
        let agree = one.digest() == other.digest();
        known == shown(*newest) && one.databases() == other.databases() && agree
    }
}
