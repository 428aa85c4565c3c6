//! Connection pools, retry budgets, the adaptive limit, load shares and damping, on virtual time.

use lentilspoke::clock::{Span, Time};
use lentilspoke::core::detect::Damper;
use lentilspoke::core::limit::Limit;
use lentilspoke::core::pool::{Demand, Policy, Pool};
use lentilspoke::core::ramp::Share;
use lentilspoke::core::retry::Budget;
use quickcheck::quickcheck;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn at(millis: u64) -> Time {
    Time::default() + Span::from_millis(millis)
}

fn demand(waiting: u32, idle: u32, busy: u32) -> Demand {
    Demand {
        waiting,
        idle,
        busy,
        opening: 0,
    }
}

// After quiet, a burst finds as many open connections as there are slots. With the naive pool the
// first statements wait 10 ms for connections to open.
#[test]
fn a_burst_finds_open_connections() {
    assert_eq!(Pool::new(25, 3).grow(at(0), demand(0, 0, 0)), 3);
    assert_eq!(
        Pool::with(25, Policy::naive()).grow(at(0), demand(0, 0, 0)),
        0
    );
}

// The list of VMs lags and two holders share 25 connections. The old holder leaves three
// connections unused, so the new one can run a full load at once. When it is refused more, it
// pauses for longer each time instead of asking in a loop.
#[test]
fn two_holders_share_a_connection_limit() {
    let mut old = Pool::new(25, 3);
    assert_eq!(old.grow(at(0), demand(100, 0, 0)), 22);
    let mut new = Pool::new(25, 3);
    let mut asked = 0;
    for millis in 0..2_000 {
        if new.grow(at(millis), demand(100, 0, 3)) > 0 {
            asked += 1;
            new.refused(at(millis));
        }
    }
    assert_eq!(asked, 6);
    let wake = new.wake().unwrap();
    new.opened(wake);
    assert!(new.grow(wake, demand(100, 0, 3)) > 0);
}

#[test]
fn surplus_connections_are_closed_after_a_while() {
    let mut pool = Pool::new(25, 3);
    assert_eq!(pool.shrink(at(0), demand(0, 10, 0)), 0);
    assert_eq!(pool.wake(), Some(at(30_000)));
    assert_eq!(pool.shrink(at(29_999), demand(0, 10, 0)), 0);
    assert_eq!(pool.shrink(at(30_000), demand(0, 10, 0)), 7);
    assert_eq!(pool.wake(), None);
}

// All requests fail for a minute, at a hundred a second. Retries add a tenth to the load, and a
// hundred more at the beginning; the naive budget doubles the load.
#[test]
fn retries_add_a_tenth() {
    let retries = |mut budget: Budget| {
        let mut count = 0;
        for request in 0..6_000 {
            let now = at(request * 10);
            budget.deposit(now);
            count += u64::from(budget.withdraw(now));
        }
        count
    };
    assert_eq!(retries(Budget::naive()), 6_000);
    let paid = retries(Budget::default());
    assert!((690..=760).contains(&paid), "{paid}");
}

/// Records `seconds` of full load in which a statement takes `factor` times its usual time.
fn load(limit: &mut Limit, random: &mut ChaCha8Rng, from: u64, seconds: u64, factor: f64) {
    for millis in (from * 1_000)..((from + seconds) * 1_000) {
        let uniform: f64 = random.random();
        let took = -(1.0 - uniform).ln() * 4_000.0 * factor;
        limit.record(at(millis), Span(took as u64), true);
    }
}

// Another holder uses the same database for a few seconds, so that statements take more than twice
// as long: the limit falls to half of the slots and recovers afterwards. Random scatter alone does
// not change it in a minute of full load.
#[test]
fn the_limit_yields_to_another_holder() {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut limit = Limit::new(4);
    load(&mut limit, &mut random, 0, 60, 1.0);
    assert_eq!(limit.get(), 4);
    load(&mut limit, &mut random, 60, 3, 2.3);
    assert_eq!(limit.get(), 2);
    load(&mut limit, &mut random, 63, 5, 1.0);
    assert_eq!(limit.get(), 4);
}

// The first statement is a hundred times shorter than the others and must not count as the best
// time.
#[test]
fn the_limit_is_not_misled_by_a_first_statement() {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut limit = Limit::new(4);
    limit.record(at(0), Span(10), true);
    for second in 0..20 {
        load(&mut limit, &mut random, second, 1, 1.0);
        assert_eq!(limit.get(), 4);
    }
}

// A database that has become slow permanently, but is not crowded, has all of its slots back after
// two windows.
#[test]
fn the_limit_adapts_to_a_slower_database() {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut limit = Limit::new(4);
    load(&mut limit, &mut random, 0, 20, 1.0);
    load(&mut limit, &mut random, 20, 30, 3.0);
    assert_eq!(limit.get(), 4);
}

// A slow replica loses its share within half a second and regains it over eight seconds.
#[test]
fn shares_fall_fast_and_rise_slowly() {
    let mut share = Share::full(at(0));
    share.move_to(at(250), 0.1);
    assert!((share.get() - 0.5).abs() < 0.01);
    share.move_to(at(500), 0.1);
    assert!((share.get() - 0.1).abs() < 0.01);
    share.move_to(at(4_500), 1.0);
    assert!((share.get() - 0.6).abs() < 0.01);
    assert!(Share::returned(at(0)).get() < 0.1);
}

// A primary and its successor may be lost in one damping period each. A group that keeps changing
// its primary waits for longer each time, and the wait is reset after a calm minute.
#[test]
fn flapping_is_damped_more_each_time() {
    let damping = Span::from_secs(10);
    let mut damper = Damper::default();
    let mut waits = Vec::new();
    for _ in 0..5 {
        let now = damper.allows_at();
        damper.promoted(now, damping);
        waits.push(damper.allows_at().since(now).0 / 1_000_000);
    }
    assert_eq!(waits, [10, 10, 20, 40, 40]);
    let calm = damper.allows_at() + Span::from_secs(60);
    damper.promoted(calm, damping);
    assert_eq!(damper.allows_at(), calm + damping);
}

quickcheck! {
    /// A pool never exceeds the database's limit, and opens a connection if work waits and it has
    /// none.
    fn pools_keep_the_limit(limit: u8, slots: u8, waiting: u8, idle: u8, busy: u8) -> bool {
        let (limit, slots) = (1 + u32::from(limit % 40), 1 + u32::from(slots % 8));
        let (idle, busy) = (u32::from(idle) % limit, u32::from(busy) % limit);
        let demand = demand(waiting.into(), idle, busy);
        let open = Pool::new(limit, slots).grow(at(0), demand);
        let stuck = open == 0 && idle + busy == 0 && waiting > 0;
        !stuck && (open == 0 || open + idle + busy <= limit)
    }
}
