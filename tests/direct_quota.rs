//! Allowances: what keepers hand out, and what all VMs spend of it together.

use lentilspoke::clock::{Span, Time};
use lentilspoke::direct::identity::{Allowance, Rate};
use lentilspoke::direct::quota::bucket::{Bucket, Share, TERM};
use lentilspoke::direct::quota::keeper::{KEEPERS, keepers};
use lentilspoke::direct::quota::purse::{Purse, Token};
use lentilspoke::direct::view::Fellow;
use lentilspoke::types::{Cores, OrganisationId};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeMap;
use std::net::SocketAddr;

const START: Time = Time(1_000_000_000);

/// The span that the users judge by.
const WINDOW: Span = Span::from_secs(5);

fn allowance(rate: u64, burst: u32) -> Allowance {
    Allowance {
        rate: Rate(rate * 1_000),
        burst,
    }
}

fn at(millis: u64) -> Time {
    START + Span::from_millis(millis)
}

fn id(name: &str) -> OrganisationId {
    name.parse().unwrap()
}

/// VMs in two failure domains of each of three regions.
fn fellows(count: usize) -> Vec<Fellow> {
    let fellow = |number| {
        let address = |port| -> SocketAddr {
            let text = format!("10.{}.0.{number}:{port}", number % 6);
            text.parse().unwrap()
        };
        Fellow {
            address: address(7_000),
            relay: Some(address(7_001)),
            domain: format!("d{}", number % 6).parse().unwrap(),
            cores: Cores::default(),
            evicted: false,
        }
    };
    (0..count).map(fellow).collect()
}

fn region(fellow: &Fellow) -> &str {
    match fellow.domain.as_str() {
        "d0" | "d3" => "east",
        "d1" | "d4" => "west",
        _ => "south",
    }
}

#[test]
fn each_region_has_a_keeper() {
    let fellows = fellows(85);
    let mut kept = BTreeMap::<SocketAddr, usize>::new();
    for number in 0..85 {
        let keepers = keepers(&fellows, &id(&format!("o{number}")), KEEPERS, region);
        let of = |relay| fellows.iter().find(|one| one.relay == Some(relay)).unwrap();
        let mut regions: Vec<_> = keepers.iter().map(|relay| region(of(*relay))).collect();
        regions.sort_unstable();
        assert_eq!(regions, ["east", "south", "west"]);
        for keeper in keepers {
            *kept.entry(keeper).or_default() += 1;
        }
    }
    // 255 parts of allowances over 85 VMs: none has more than a few.
    assert!(kept.values().max() <= Some(&12), "{kept:?}");
}

#[test]
fn a_burst_of_one_has_one_keeper() {
    assert_eq!(keepers(&fellows(85), &id("o1"), 1, region).len(), 1);
    assert_eq!(keepers(&fellows(2), &id("o1"), KEEPERS, region).len(), 2);
    assert!(keepers(&[], &id("o1"), KEEPERS, region).is_empty());
}

/// A VM ends: only organisations that it kept get another keeper, and only in its place.
#[test]
fn few_keepers_change_with_a_vm() {
    let all = fellows(85);
    let mut fewer = all.clone();
    let gone = fewer.remove(40).relay.unwrap();
    for number in 0..85 {
        let organisation = id(&format!("o{number}"));
        let before = keepers(&all, &organisation, KEEPERS, region);
        let after = keepers(&fewer, &organisation, KEEPERS, region);
        let kept = before
            .iter()
            .filter(|keeper| after.contains(keeper))
            .count();
        let expected = before.len() - usize::from(before.contains(&gone));
        assert_eq!(kept, expected);
    }
}

#[test]
fn a_new_bucket_is_empty_and_fills_by_the_rate() {
    let mut bucket = Bucket::new(Share::of(allowance(30, 60), 3), at(0));
    assert_eq!(bucket.grant(1, 0, at(0)).count, 0);
    assert_eq!(bucket.grant(1, 0, at(0)).retry, Span::from_millis(100));
    assert_eq!(bucket.grant(9, 0, at(500)).count, 5);
    // At most the burst, however long it rests.
    assert_eq!(bucket.grant(99, 0, at(60_000)).count, 20);
}

/// Half of a bucket was handed out for later when all of its holders spend it at once: what lies in the
/// bucket then is smaller by as much, so that both together are never more than the burst.
#[test]
fn what_is_out_counts_against_the_burst() {
    let mut bucket = Bucket::new(Share::of(allowance(10, 40), 1), at(0));
    let first = bucket.grant(1, 20, at(10_000));
    assert_eq!((first.count, first.within), (10, TERM));
    assert_eq!(bucket.grant(99, 0, at(11_900)).count, 31);
    // The room that unspent tokens leave fills by the rate.
    assert_eq!(bucket.grant(99, 0, at(12_000)).count, 1);
}

#[test]
fn a_lowered_limit_holds_at_once() {
    let mut bucket = Bucket::new(Share::of(allowance(100, 100), 1), at(0));
    bucket.resize(Share::of(allowance(10, 10), 1), at(5_000));
    assert_eq!(bucket.grant(99, 0, at(5_000)).count, 10);
    assert_eq!(bucket.grant(99, 0, at(6_000)).count, 10);
}

#[test]
fn a_purse_asks_for_what_it_spends() {
    let mut purse = Purse::default();
    assert!(purse.take(at(0)).is_none());
    let mut bucket = Bucket::new(
        Share::of(allowance(100, 100), 1),
        START - Span::from_secs(10),
    );
    for turn in 0..4 {
        let now = at(turn * 100);
        purse.put(bucket.grant(1, purse.spare(), now), now);
        assert!(purse.take(now).is_some());
    }
    assert_eq!(purse.spare(), 4);
    // All that is left ends with its term, and what was spent is forgotten.
    assert!(purse.take(at(3_000)).is_none());
    assert_eq!(purse.spare(), 0);
}

/// One thing that happens to a fleet.
#[derive(Debug, Clone, Copy)]
enum Happening {
    /// An operation comes at a VM.
    Comes(usize),
    /// A VM is killed and starts again with nothing.
    Restarts(usize),
    /// A VM stands still for a while, and then goes on as if nothing had been.
    Stands(usize),
}

#[derive(Debug, Clone)]
struct Day(Vec<(u8, Happening)>);

const VMS: usize = 6;

impl Arbitrary for Day {
    fn arbitrary(random: &mut Gen) -> Self {
        let happening = |random: &mut Gen| {
            let vm = usize::arbitrary(random) % VMS;
            match u8::arbitrary(random) {
                0..3 => Happening::Restarts(vm),
                3..5 => Happening::Stands(vm),
                _ => Happening::Comes(vm),
            }
        };
        let mut day = Vec::new();
        for _ in 0..4_000 {
            day.push((u8::arbitrary(random) / 8, happening(random)));
        }
        Self(day)
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        Box::new(self.0.shrink().map(Self))
    }
}

impl Arbitrary for Happening {
    fn arbitrary(random: &mut Gen) -> Self {
        Self::Comes(usize::arbitrary(random) % VMS)
    }
}

/// A VM of the fleet: it spends, and the first three keep a third of the allowance each.
struct Vm {
    purse: Purse,
    bucket: Bucket,
    /// Until when it stands still.
    stands: Time,
}

/// What is spent of an allowance over a day, and when.
fn play(day: &Day, allowance: Allowance) -> Vec<Time> {
    let mut now = START;
    let new = |allowance, now| Vm {
        purse: Purse::default(),
        bucket: Bucket::new(Share::of(allowance, KEEPERS), now),
        stands: now,
    };
    let mut vms: Vec<Vm> = (0..VMS).map(|_| new(allowance, now)).collect();
    let mut spent = Vec::new();
    for (pause, happening) in &day.0 {
        now = now + Span::from_millis(u64::from(*pause));
        match *happening {
            Happening::Restarts(vm) => vms[vm] = new(allowance, now),
            Happening::Stands(vm) => vms[vm].stands = now + Span::from_secs(3),
            Happening::Comes(vm) if now < vms[vm].stands => {}
            Happening::Comes(vm) => {
                let mut token: Option<Token> = vms[vm].purse.take(now);
                for keeper in 0..KEEPERS {
                    if token.is_some() || now < vms[keeper].stands {
                        continue;
                    }
                    let spare = vms[vm].purse.spare();
                    let bucket = &mut vms[keeper].bucket;
                    bucket.resize(Share::of(allowance, KEEPERS), now);
                    let grant = bucket.grant(1, spare, now);
                    vms[vm].purse.put(grant, now);
                    token = vms[vm].purse.take(now);
                }
                spent.extend(token.map(|_| now));
            }
        }
    }
    spent
}

fn most_in_a_window(spent: &[Time]) -> usize {
    let mut from = 0;
    let mut most = 0;
    for (to, last) in spent.iter().enumerate() {
        while spent[from] + WINDOW <= *last {
            from += 1;
        }
        most = most.max(to + 1 - from);
    }
    most
}

/// An organisation asks for far more than it may, by way of six VMs that are killed, stand still and go
/// on, for a minute. Whatever comes when, no five seconds see more than the rate and the burst allow:
/// not by a hair's breadth, though the users would let a tenth more pass.
#[test]
fn no_window_sees_more_than_the_allowance() {
    fn holds(day: Day, rate: u8, burst: u8) -> bool {
        let (rate, burst) = (u64::from(rate) + 1, u32::from(burst));
        let spent = play(&day, allowance(rate, burst));
        most_in_a_window(&spent) as u64 <= rate * 5 + u64::from(burst)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 11))
        .tests(60)
        .quickcheck(holds as fn(Day, u8, u8) -> bool);
}

/// An organisation sends half of what it may, in no order, through all VMs alike. Nearly nothing is
/// refused, though each VM has a few operations a second and no VM sees what the others do.
#[test]
fn little_is_refused_below_the_allowance() {
    let mut random = Gen::from_size_and_seed(64, 12);
    let (mut came, mut ran) = (0, 0);
    for _ in 0..20 {
        let mut day = Day::arbitrary(&mut random);
        day.0
            .retain(|(_, happening)| matches!(happening, Happening::Comes(_)));
        let lasted: u64 = day.0.iter().map(|(pause, _)| u64::from(*pause)).sum();
        let rate = day.0.len() as u64 * 1_000 / lasted;
        came += day.0.len();
        // The first second finds empty buckets.
        ran += play(&day, allowance(rate * 2, (rate * 2) as u32)).len();
    }
    assert!(ran * 100 >= came * 98, "{ran} of {came}");
}
