//! Random faults over whole worlds of direct access, from seeds: a fixed few, and every seed that
//! failed.

use lentilspoke::schedule::direct::{self, Variant};

fn plays_well(seed: u64) {
    passes(&direct::play(seed, Variant::default()).unwrap());
}

fn passes(report: &direct::Report) {
    assert!(
        report.broken.is_empty(),
        "{report}\n{}",
        report.script.join("\n")
    );
    assert!(report.outcomes.done > 0, "{report}");
}

/// Callers of all kinds call on two to four VMs while databases, VMs, the store and the network
/// fail at random. What each was told has to agree with what the databases ran.
#[test]
fn first_seeds() {
    (1..=10).for_each(plays_well);
}

/// A primary was replaced while it was down, and came back with its old role. Its successor was
/// lost at once, and it was promoted again: writes were acknowledged on it in its old term, because
/// it said that it led before the promotion had taken effect.
#[test]
fn replaced_primary_is_acted_on_in_its_old_term() {
    plays_well(239);
}

/// The answer to the first read of a transaction was lost. It is sent again to another database,
/// where the transaction begins anew: the caller must be given that database's answer, and all
/// that follows has to run there.
#[test]
fn transaction_begins_anew_elsewhere() {
    [173, 361, 502, 1025].into_iter().for_each(plays_well);
}

/// Five to seven VMs before databases of eight connections, so that most statements go through
/// another VM, while everything fails at random. Seeds 21 and 59 left the databases with connections
/// that had gone silent, until these drop them as they do when they can't reach the other end.
#[test]
fn most_statements_are_relayed() {
    let crowded = Variant {
        crowded: true,
        ..Variant::default()
    };
    for seed in (1..=4).chain([21, 59]) {
        passes(&direct::play(seed, crowded).unwrap());
    }
}

/// Databases that crash start again under their ids with nothing of before, often within the time
/// that the register needs to show it. No caller reads from an empty log or writes to one.
#[test]
fn crashed_databases_start_again_with_nothing() {
    for crowded in [false, true] {
        let variant = Variant {
            crowded,
            reborn: true,
            ..Variant::default()
        };
        for seed in 1..=4 {
            passes(&direct::play(seed, variant).unwrap());
        }
    }
}

/// Twenty VMs, of which six read the store for all, while everything fails at random.
#[test]
fn few_vms_read_the_store_for_all() {
    let fleet = Variant {
        fleet: true,
        ..Variant::default()
    };
    for seed in 1..=6 {
        passes(&direct::play(seed, fleet).unwrap());
    }
}
