//! Random faults in whole simulated worlds of direct access: a few fixed seeds, and every seed that
//! once failed.

use lentilspoke::schedule::direct::{self, Variant};

fn run_seed(seed: u64) {
    assert_passes(&direct::play(seed, Variant::default()).unwrap());
}

fn assert_passes(report: &direct::Report) {
    assert!(
        report.broken.is_empty(),
        "{report}\n{}",
        report.script.join("\n")
    );
    assert!(report.outcomes.done > 0, "{report}");
}

/// Callers of all kinds use two to four VMs while databases, VMs, the store and the network fail at
/// random. Every answer has to agree with what the databases ran.
#[test]
fn first_seeds() {
    (1..=10).for_each(run_seed);
}

/// Guards against writes that are acknowledged in an old term. A primary was replaced while it was
/// down and came back with its old role. Its successor was lost at once and it was promoted again;
/// it reported itself as primary before the promotion had taken effect, and so took writes in its
/// old term.
#[test]
fn replaced_primary_is_acted_on_in_its_old_term() {
    run_seed(239);
}

/// When the answer to the first read of a transaction is lost, the read is sent again to another
/// database, where the transaction begins anew. The caller has to get that database's answer, and
/// all later statements have to run there.
#[test]
fn transaction_begins_anew_elsewhere() {
    [173, 361, 502, 1025].into_iter().for_each(run_seed);
}

/// Five to seven VMs share databases of eight connections, so that most statements are relayed by
/// another VM, while everything fails at random. With seeds 21 and 59 the databases kept silent
/// connections open, until they were made to drop them as they do when they can't reach the other
/// end.
#[test]
fn most_statements_are_relayed() {
    let crowded = Variant {
        crowded: true,
        ..Variant::default()
    };
    for seed in (1..=4).chain([21, 59]) {
        assert_passes(&direct::play(seed, crowded).unwrap());
    }
}

/// Crashed databases restart under the same ids without their data, often before the register shows
/// it. No caller may read from an empty log or write to one.
#[test]
fn crashed_databases_start_again_with_nothing() {
    for crowded in [false, true] {
        let variant = Variant {
            crowded,
            reborn: true,
            ..Variant::default()
        };
        for seed in 1..=4 {
            assert_passes(&direct::play(seed, variant).unwrap());
        }
    }
}

/// Twenty VMs, of which six read the store for all others, while everything fails at random.
#[test]
fn few_vms_read_the_store_for_all() {
    let fleet = Variant {
        fleet: true,
        ..Variant::default()
    };
    for seed in 1..=6 {
        assert_passes(&direct::play(seed, fleet).unwrap());
    }
}

/// Guards against an allowance that is exceeded while allocators fail, callers within their allowance that are
/// refused for long beside a flood, and a flood that starves its own least urgent rank.
#[test]
fn one_organisation_floods() {
    let pressed = Variant {
        pressed: true,
        ..Variant::default()
    };
    for seed in 1..=2 {
        assert_passes(&direct::play(seed, pressed).unwrap());
    }
}

/// Guards against replicas that lost the log and count as behind, or hold up each later choice, in groups
/// whose commits wait for a replica.
#[test]
fn databases_lose_their_data_in_durable_groups() {
    let variant = Variant {
        durable: true,
        reborn: true,
        ..Variant::default()
    };
    for seed in (1..=4).chain([60, 201, 284, 91_035]) {
        assert_passes(&direct::play(seed, variant).unwrap());
    }
}

/// Guards against stale reads that were in flight as a newer position of a primary without its log
/// became known, here with an update at the end of a partition.
#[test]
fn an_update_arrives_as_a_primary_loses_its_log() {
    let variant = Variant {
        durable: true,
        reborn: true,
        resets: true,
        ..Variant::default()
    };
    assert_passes(&direct::play(92_236, variant).unwrap());
}

/// Guards against a promotion that loses acknowledged commits of groups whose commits wait for a
/// replica, while replicas fall behind, leave and crash.
#[test]
fn durable_groups_lose_no_acknowledged_commit() {
    let durable = Variant {
        durable: true,
        ..Variant::default()
    };
    for seed in [1188, 1746, 1765, 1792, 2939] {
        assert_passes(&direct::play(seed, durable).unwrap());
    }
}

/// Guards against running VMs that are taken for ended because a partition refuses connections to them.
#[test]
fn partitions_reset_connections() {
    let resets = Variant {
        resets: true,
        ..Variant::default()
    };
    for seed in [87, 152, 244, 266, 308] {
        assert_passes(&direct::play(seed, resets).unwrap());
    }
}
