//! What callers get under each pattern of load, in short runs of the experiment with a fixed seed.

use lentilspoke::clock::Span;
use lentilspoke::core::request::Class;
use lentilspoke::experiment::Trial;
use lentilspoke::experiment::deployment::Deployment;
use lentilspoke::experiment::pattern::Pattern;
use lentilspoke::experiment::policy::Policy;
use lentilspoke::experiment::report::{Report, Row};

fn trial(pattern: Pattern, load: f64, policy: Policy) -> Report {
    let trial = Trial {
        deployment: Deployment::Permits,
        pattern,
        load,
        alone: false,
        policy,
        seed: 3,
        length: Span::from_secs(6),
    };
    trial.run()
}

fn full(pattern: Pattern, load: f64) -> Report {
    trial(pattern, load, Policy::full(&Deployment::Permits.size()))
}

fn row(report: &Report, class: Class) -> &Row {
    report.row(class).unwrap()
}

// The slots are asked for four times what they can serve. Callers get as much as at once the rate;
// first come first served would give nearly everyone an answer just too late.
#[test]
fn saturation_keeps_goodput() {
    let once = full(Pattern::Saturation, 1.0);
    let four = full(Pattern::Saturation, 4.0);
    assert!(four.goodput > 0.95 * once.goodput, "{four}");
    assert!(row(&four, Class::Confirm).not_run < row(&four, Class::Aged).not_run);
    let naive = trial(Pattern::Saturation, 4.0, Policy::naive());
    assert!(naive.goodput < 0.2 * once.goodput, "{naive}");
}

// Two callers a group ask for four times the slots' rate. The others are all served, within
// milliseconds, and get no less than their max-min fair part.
#[test]
fn greedy_callers_do_not_crowd_out_others() {
    let report = full(Pattern::Greedy, 1.0);
    for class in [Class::Confirm, Class::Session, Class::Aged] {
        assert!(row(&report, class).not_run < 0.5, "{report}");
        assert!(row(&report, class).answer_p99 < 100.0, "{report}");
    }
    assert!(report.fairness > 0.99, "{report}");
}

// Reports that run for most of a second are sent faster than all slots could serve them. Short work
// is all served; without the reserved slot nearly no read would be.
#[test]
fn long_work_does_not_block_short() {
    let report = full(Pattern::Long, 1.0);
    assert!(row(&report, Class::Aged).not_run == 0.0, "{report}");
    assert!(row(&report, Class::Aged).answer_p99 < 150.0, "{report}");
    let naive = trial(Pattern::Long, 1.0, Policy::naive());
    assert!(row(&naive, Class::Aged).goodput < 0.5 * row(&report, Class::Aged).goodput);
}

// A replica of each group is ten times slower for a while: nobody is turned away, and reads
// shift to the other replica and what the primary has to spare.
#[test]
fn a_slow_replica_is_shifted_away_from() {
    let report = full(Pattern::Slow, 1.0);
    assert!(row(&report, Class::Aged).not_run == 0.0, "{report}");
    assert!(row(&report, Class::Aged).answer_p99 < 500.0, "{report}");
    let naive = trial(Pattern::Slow, 1.0, Policy::naive());
    assert!(row(&naive, Class::Aged).answer_p99 > 500.0, "{naive}");
}

// A failure domain is lost. Reads that were under way there are sent elsewhere; only confirmations of
// the group without a primary are told "not run", at once.
#[test]
fn a_lost_domain_costs_no_reads() {
    let report = full(Pattern::Domain, 1.0);
    for class in [Class::Session, Class::Aged] {
        assert!(row(&report, class).not_run == 0.0, "{report}");
    }
    assert!(row(&report, Class::Confirm).not_run > 0.0, "{report}");
    assert!(row(&report, Class::Confirm).refusal_p99 < 50.0, "{report}");
}

// Reads of a stated age go to replicas while these lag less, and a session's reads go wherever its
// write has arrived, far sooner than a fixed time after it.
#[test]
fn replicas_serve_the_reads() {
    let report = full(Pattern::Calm, 1.0);
    let naive = trial(Pattern::Calm, 1.0, Policy::naive());
    assert!(row(&report, Class::Aged).replica >= 95.0, "{report}");
    let share = |report| row(report, Class::Session).replica;
    assert!(share(&report) >= 1.3 * share(&naive), "{report}{naive}");
    assert!(report.rows.iter().all(|row| row.stale == 0), "{report}");
}

// Bursts of four times the slots' rate for a second in every five; those turned away come back when
// they were told to. Confirmations all arrive, and more requests are served than first come
// first served.
#[test]
fn bursts_are_ridden_out() {
    let report = full(Pattern::Burst, 1.0);
    let naive = trial(Pattern::Burst, 1.0, Policy::naive());
    assert!(row(&report, Class::Confirm).not_run == 0.0, "{report}");
    assert!(report.goodput > 1.1 * naive.goodput, "{report}{naive}");
}

#[test]
fn a_seed_gives_one_result() {
    assert_eq!(full(Pattern::Calm, 1.0), full(Pattern::Calm, 1.0));
}
