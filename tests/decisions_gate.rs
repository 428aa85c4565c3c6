//! Admission, order and rejection at a gate.

use lentilspoke::clock::{Span, Time};
use lentilspoke::core::gate::{Gate, Item, Policy};
use lentilspoke::core::request::{Cause, Class};
use lentilspoke::types::RequestId;
use quickcheck::{Arbitrary, Gen, TestResult, quickcheck};
use std::collections::{BTreeMap, BTreeSet};

const RUN: Span = Span::from_millis(5);

fn item(request: u64, caller: &str, class: Class, deadline: Time) -> Item {
    Item {
        request: RequestId(request),
        caller: caller.parse().unwrap(),
        class,
        deadline,
    }
}

fn at(millis: u64) -> Time {
    Time::default() + Span::from_millis(millis)
}

/// Runs all waiting work one by one, [`RUN`] each, and returns the order.
fn drain(gate: &mut Gate, mut now: Time) -> Vec<Item> {
    let mut order = Vec::new();
    while let Some(next) = gate.next(now) {
        now = now + RUN;
        gate.finish(now, next.request);
        order.push(next);
    }
    order
}

// A script has a hundred requests waiting when a clerk sends one. The clerk's request is served
// next, since the script has used its share; first come, first served makes it wait for the
// hundred.
#[test]
fn a_quiet_caller_passes_a_greedy_one() {
    let place = |policy| {
        let mut gate = Gate::with(1, policy);
        for request in 0..100 {
            let offered = item(request, "script", Class::Session, at(60_000));
            gate.offer(at(0), offered).unwrap();
        }
        let first = gate.next(at(0)).unwrap();
        gate.offer(at(1), item(100, "clerk", Class::Session, at(60_000)))
            .unwrap();
        gate.finish(at(5), first.request);
        let order = drain(&mut gate, at(5));
        order
            .iter()
            .position(|item| item.request == RequestId(100))
            .unwrap()
    };
    assert_eq!(place(Policy::naive()), 99);
    assert!(place(Policy::full()) <= 1);
}

// Two callers always have requests waiting and get the same slot time. The statements of one take
// four times as long, so it gets a quarter as many.
#[test]
fn shares_are_of_time() {
    let mut gate = Gate::with(1, Policy::full());
    for request in 0..400 {
        let caller = if request % 2 == 0 { "slow" } else { "fast" };
        gate.offer(at(0), item(request, caller, Class::Aged, at(60_000)))
            .unwrap();
    }
    let mut now = at(0);
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    for _ in 0..200 {
        let next = gate.next(now).unwrap();
        let slow = next.caller.as_str() == "slow";
        now = now + Span::from_millis(if slow { 20 } else { 5 });
        gate.finish(now, next.request);
        *counts.entry(next.caller.to_string()).or_default() += 1;
    }
    let ratio = counts["fast"] as f64 / counts["slow"] as f64;
    assert!((3.5..4.5).contains(&ratio), "{counts:?}");
}

// One caller's confirmations go before its reads, but under a flood of confirmations each class of
// reads still gets its guaranteed part: one start in four for session reads, one in eight for aged
// reads.
#[test]
fn confirmations_first_and_no_class_starves() {
    let mut gate = Gate::with(1, Policy::full());
    let mut request = 0;
    for class in [Class::Aged, Class::Session, Class::Confirm] {
        for _ in 0..100 {
            request += 1;
            gate.offer(at(0), item(request, "desk", class, at(60_000)))
                .unwrap();
        }
    }
    let order = drain(&mut gate, at(0));
    let count = |class| {
        order[..64]
            .iter()
            .filter(|item| item.class == class)
            .count()
    };
    assert_eq!(order[0].class, Class::Confirm);
    assert!(count(Class::Confirm) >= 36, "{}", count(Class::Confirm));
    assert!(count(Class::Session) >= 12, "{}", count(Class::Session));
    assert!(count(Class::Aged) >= 6, "{}", count(Class::Aged));
}

// Reports that run for seconds arrive before a clerk's reads. They get one of two slots, and the
// clerk's reads are served at once; without the rule both slots are taken for seconds.
#[test]
fn long_work_leaves_a_slot() {
    let mut gate = Gate::with(2, Policy::full());
    for request in 0..4 {
        gate.offer(at(0), item(request, "report", Class::Long, at(600_000)))
            .unwrap();
    }
    assert_eq!(gate.next(at(0)).unwrap().class, Class::Long);
    assert_eq!(gate.next(at(0)), None);
    gate.offer(at(1), item(9, "clerk", Class::Aged, at(5_000)))
        .unwrap();
    assert_eq!(gate.next(at(1)).unwrap().request, RequestId(9));
}

// A burst of ten thousand requests reaches a database with one slot. Requests that can be served in
// time are accepted. The others are rejected at once, with retry times that are spread out.
#[test]
fn a_burst_is_let_in_as_far_as_it_can_be_served() {
    let mut gate = Gate::with(1, Policy::full());
    let mut retries = BTreeSet::new();
    for request in 0..10_000 {
        let offered = item(request, "crowd", Class::Aged, at(1_000));
        if let Err(rejected) = gate.offer(at(0), offered) {
            assert_eq!(rejected.cause, Cause::Busy);
            assert!(rejected.retry_after >= Span::from_millis(900));
            retries.insert(rejected.retry_after);
        }
    }
    assert!((150..=200).contains(&gate.waiting()), "{}", gate.waiting());
    assert!(retries.len() > 5_000);
    let waiting = gate.waiting();
    let served = drain(&mut gate, at(0)).len();
    assert_eq!(served, waiting);
}

// A queue that has not been empty for over a second is limited to a quarter of its callers' time.
#[test]
fn a_load_that_lasts_keeps_a_short_queue() {
    let mut gate = Gate::with(1, Policy::full());
    let mut now = at(0);
    let mut request = 0;
    for _ in 0..2_000 {
        for _ in 0..4 {
            request += 1;
            let _ = gate.offer(
                now,
                item(request, "crowd", Class::Aged, now + Span::from_secs(4)),
            );
        }
        let next = gate.next(now).unwrap();
        now = now + RUN;
        gate.finish(now, next.request);
    }
    assert!(
        gate.wait(now) < Span::from_millis(1_100),
        "{}",
        gate.wait(now)
    );
    assert!(gate.waiting() < 250, "{}", gate.waiting());
}

#[test]
fn a_request_is_not_taken_twice() {
    let mut gate = Gate::new(2);
    let offered = item(1, "desk", Class::Confirm, at(5_000));
    gate.offer(at(0), offered.clone()).unwrap();
    assert_eq!(
        gate.offer(at(0), offered.clone()).unwrap_err().cause,
        Cause::Refused
    );
    gate.next(at(0)).unwrap();
    assert_eq!(
        gate.offer(at(0), offered).unwrap_err().cause,
        Cause::Refused
    );
}

/// One operation on a gate.
#[derive(Debug, Clone)]
enum Step {
    Offer {
        caller: u8,
        class: Class,
        timeout: u16,
    },
    Next,
    Finish(u8),
    Remove(u8),
    Expire,
    Pass(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let classes = [Class::Confirm, Class::Session, Class::Aged, Class::Long];
        match u8::arbitrary(g) % 8 {
            0..=2 => Step::Offer {
                caller: u8::arbitrary(g) % 5,
                class: *g.choose(&classes).unwrap_or(&Class::Aged),
                timeout: u16::arbitrary(g) % 500,
            },
            3 => Step::Next,
            4 => Step::Finish(u8::arbitrary(g)),
            5 => Step::Remove(u8::arbitrary(g)),
            6 => Step::Expire,
            _ => Step::Pass(u8::arbitrary(g)),
        }
    }
}

/// A gate and its expected contents.
struct Model {
    gate: Gate,
    slots: usize,
    now: Time,
    waiting: BTreeMap<RequestId, Item>,
    running: BTreeSet<RequestId>,
}

impl Model {
    fn pick<'a, T>(&self, from: impl ExactSizeIterator<Item = &'a T>, number: u8) -> Option<T>
    where
        T: Copy + 'a,
    {
        let len = from.len().max(1);
        from.copied().nth(usize::from(number) % len)
    }

    fn step(&mut self, number: u64, step: &Step) -> bool {
        match *step {
            Step::Offer {
                caller,
                class,
                timeout,
            } => {
                let deadline = self.now + Span::from_millis(timeout.into());
                let item = item(number, &format!("c{caller}"), class, deadline);
                if self.gate.offer(self.now, item.clone()).is_ok() {
                    self.waiting.insert(item.request, item);
                }
            }
            Step::Next => {
                if let Some(item) = self.gate.next(self.now) {
                    self.running.insert(item.request);
                    let known = self.waiting.remove(&item.request);
                    return known.as_ref() == Some(&item) && item.deadline > self.now;
                }
            }
            Step::Finish(number) => {
                if let Some(request) = self.pick(self.running.iter(), number) {
                    self.running.remove(&request);
                    self.gate.finish(self.now, request);
                }
            }
            Step::Remove(number) => {
                if let Some(request) = self.pick(self.waiting.keys(), number) {
                    return self.gate.remove(request) == self.waiting.remove(&request);
                }
            }
            Step::Expire => {
                for item in self.gate.expire(self.now) {
                    if self.waiting.remove(&item.request).as_ref() != Some(&item) {
                        return false;
                    }
                }
                // All work past its deadline was returned, and nothing else is due.
                let late = self.waiting.values().any(|item| item.deadline <= self.now);
                return !late && self.gate.wake().is_none_or(|wake| wake > self.now);
            }
            Step::Pass(millis) => self.now = self.now + Span::from_millis(millis.into()),
        }
        true
    }

    fn holds(&self) -> bool {
        self.gate.waiting() <= self.waiting.len()
            && self.gate.running() == self.running.len()
            && self.running.len() <= self.slots
    }
}

quickcheck! {
    /// Slots are never exceeded, and accepted work is returned exactly once: to run, expired or
    /// removed.
    fn nothing_is_lost_or_doubled(slots: u8, steps: Vec<Step>) -> bool {
        let slots = 1 + u32::from(slots % 4);
        let mut model = Model {
            gate: Gate::new(slots),
            slots: slots as usize,
            now: Time(1),
            waiting: BTreeMap::new(),
            running: BTreeSet::new(),
        };
        steps.iter().zip(0..).all(|(step, number)| model.step(number, step) && model.holds())
    }

    /// Callers that always have work waiting are served equally, to within one statement.
    fn equal_callers_get_equal_shares(callers: u8, each: u8) -> TestResult {
        let (callers, each) = (2 + u64::from(callers % 6), 4 + u64::from(each % 30));
        let mut gate = Gate::with(1, Policy::full());
        for number in 0..callers * each {
            let caller = format!("c{}", number / each);
            let offered = item(number, &caller, Class::Session, at(600_000));
            if gate.offer(at(0), offered).is_err() {
                return TestResult::discard();
            }
        }
        let order = drain(&mut gate, at(0));
        let part = &order[..(callers * (each / 2)) as usize];
        let mut counts: BTreeMap<String, u64> = BTreeMap::new();
        for item in part {
            *counts.entry(item.caller.to_string()).or_default() += 1;
        }
        let fair = each / 2;
        let all = counts.len() as u64 == callers;
        TestResult::from_bool(all && counts.values().all(|count| count.abs_diff(fair) <= 1))
    }
}
