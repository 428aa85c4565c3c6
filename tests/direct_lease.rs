//! Leases that peers extend, against the wait of a replacement for them to expire.

use lentilspoke::clock::{Span, Time};
use lentilspoke::direct::control::revocation::Revocation;
use lentilspoke::direct::control::rows::MemberId;
use lentilspoke::direct::lead::{Lead, Leases, MAX_SILENT, QUORUM, TERM};
use lentilspoke::types::GroupId;

const INTENT: u64 = 20_000;

fn at(millis: u64) -> Time {
    Time(millis * 1_000)
}

fn group() -> GroupId {
    "g".parse().unwrap()
}

fn lead(epoch: u64, changing: bool) -> Lead {
    Lead {
        epoch,
        primary: "a".parse().unwrap(),
        born: None,
        changing,
        continues: None,
    }
}

fn member(number: usize) -> MemberId {
    let ip = format!("10.0.0.{number}").parse().unwrap();
    MemberId::new(&format!("vm{number}").parse().unwrap(), ip)
}

/// The leases of a VM whose reading of epoch 1 was requested at `asked`.
fn book(asked: u64) -> Leases {
    let mut book = Leases::default();
    book.learn(&group(), lead(1, false), at(asked));
    book
}

/// Until when a VM holds epoch 1, to 1 ms.
fn held(book: &Leases) -> u64 {
    let held = |ms: &u64| book.holds(&group(), 1, at(*ms));
    (0..40_000).filter(held).max().map_or(0, |last| last + 1)
}

/// A confirmation extends a lease from the time it was requested, never past the long lease, and
/// only for the epoch it names. Releasing the epoch, or a replacement, ends the lease.
#[test]
fn confirmations_extend_a_lease() {
    let mut lease = book(1_000);
    assert_eq!(held(&lease), 3_500);
    assert!(lease.extend(&group(), 1, at(2_700)));
    assert_eq!(held(&lease), 5_200);
    assert!(!lease.extend(&group(), 2, at(4_000)));
    assert!(lease.extend(&group(), 1, at(8_000)));
    assert_eq!(held(&lease), 9_000);
    let mut changing = lease.clone();
    changing.learn(&group(), lead(1, true), at(8_100));
    assert!(!changing.extend(&group(), 1, at(8_200)));
    lease.learn(&group(), lead(2, false), at(3_000));
    assert_eq!(lease.until(&group()), Some(at(5_500)));
    lease.drop_epoch(&group(), 2);
    assert!(!lease.holds(&group(), 2, at(3_001)));
}

/// A VM confirms an epoch that it has neither released nor closed and that is not being replaced,
/// while its own reading is recent; an extension by others does not prolong that.
#[test]
fn when_a_lease_is_confirmed() {
    let mut open = book(1_000);
    open.extend(&group(), 1, at(3_000));
    assert_eq!(open.extendable(at(8_999)), [(group(), 1)]);
    assert_eq!(open.extendable(at(9_000)), []);
    for change in [
        (|book: &mut Leases| book.drop_epoch(&group(), 1)) as fn(&mut Leases),
        |book| book.close_epoch(&group(), 1),
        |book| book.learn(&group(), lead(1, true), at(1_100)),
        Leases::drop_all,
    ] {
        let mut ended = open.clone();
        change(&mut ended);
        assert_eq!(ended.extendable(at(1_200)), []);
    }
}

/// How long a replacement waits for VMs that do not reply; `replies` are the times of the others'
/// replies.
#[test]
fn wait_for_silent_vms() {
    let wait = |silent: usize, replies: &[u64], read: u64| {
        let all = 0..silent + replies.len();
        let mut revocation =
            Revocation::new(all.map(|n| (member(n), at(INTENT))), at(INTENT + read));
        for (number, word) in (silent..).zip(replies) {
            revocation.done(&member(number), at(INTENT + word));
        }
        revocation.end().map_or(0, |end| end.0 / 1_000 - INTENT)
    };
    assert_eq!(wait(0, &[20, 30], 10), 0);
    assert_eq!(wait(1, &[], 10), 2_760);
    assert_eq!(wait(2, &[20, 30], 10), 2_780);
    assert_eq!(wait(1, &[20, 30, 40], 10), 2_780);
    assert_eq!(wait(3, &[20, 30], 10), 8_250);
    assert_eq!(wait(2, &[7_000], 10), 8_250);
}

/// What a VM does after the intent is written.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Behaviour {
    /// It does not reply, and keeps its lease.
    Silent,
    /// It releases the epoch this many milliseconds after the intent.
    Word(u64),
    /// It stops just before the steward reads the rows, and is not among them.
    Stop,
}

/// A VM in a case: how many milliseconds before the intent its reading was requested, and what it
/// does.
type Vm = (u64, Behaviour);

/// A safeguard that is left out.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Flaw {
    None,
    /// Two VMs are a quorum.
    Two,
    /// A VM that released the epoch still confirms it.
    Kept,
    /// An extension counts from the answer's arrival, not from the request.
    Answered,
    /// The short wait counts from the intent, not from when the rows were read.
    Intent,
}

/// When the steward has read the rows, in milliseconds after the intent.
const READ: u64 = 500;
const READINGS: [u64; 2] = [1, 3_000];
const BEHAVIOURS: [Behaviour; 5] = [
    Behaviour::Silent,
    Behaviour::Word(READ),
    Behaviour::Word(2_500),
    Behaviour::Word(5_000),
    Behaviour::Stop,
];
const STEP: usize = 250;

/// How many milliseconds an answer takes.
const ANSWER: u64 = 300;

/// Simulates a case: every VM asks all others every 250 ms and is answered by all, which extends a
/// lease the most. Returns a VM that holds the epoch when the promotion is ordered.
fn holder(vms: &[Vm], flaw: Flaw) -> Option<(usize, u64)> {
    let mut books: Vec<_> = vms.iter().map(|(age, _)| book(INTENT - age)).collect();
    let undropped = books.clone();
    let seen = |(number, (_, behaviour)): (usize, &Vm)| {
        (*behaviour != Behaviour::Stop).then(|| (member(number), at(INTENT)))
    };
    let read = if flaw == Flaw::Intent { 0 } else { READ };
    let members = vms.iter().enumerate().filter_map(seen);
    let mut revocation = Revocation::new(members, at(INTENT + read));
    let enough = if flaw == Flaw::Two { 2 } else { QUORUM };
    let late = if flaw == Flaw::Answered { ANSWER } else { 0 };
    for now in (INTENT - 3_000..INTENT + 10_000).step_by(STEP) {
        let asked = if flaw == Flaw::Kept {
            &undropped
        } else {
            &books
        };
        let confirmations = asked
            .iter()
            .filter(|book| !book.extendable(at(now)).is_empty());
        if confirmations.count() >= enough {
            for book in &mut books {
                book.extend(&group(), 1, at(now + late));
            }
        }
        for (number, (_, behaviour)) in vms.iter().enumerate() {
            match behaviour {
                Behaviour::Word(after) if INTENT + after == now => {
                    books[number].drop_epoch(&group(), 1);
                    revocation.done(&member(number), at(now));
                }
                Behaviour::Stop if INTENT + READ == now => books[number].drop_all(),
                _ => {}
            }
        }
        let ordered = now >= INTENT + READ && revocation.end().is_none_or(|end| end <= at(now));
        if ordered {
            let holds = |book: &Leases| book.holds(&group(), 1, at(now));
            return books.iter().position(holds).map(|vm| (vm, now - INTENT));
        }
    }
    panic!("no promotion is ever ordered: {vms:?}");
}

/// All cases of this number of VMs, the last of which is the steward, which releases the epoch at
/// once.
fn cases(vms: usize) -> impl Iterator<Item = Vec<Vm>> {
    let kinds = READINGS.len() * BEHAVIOURS.len();
    (0..kinds.pow(vms as u32 - 1)).map(move |mut case| {
        let mut all = Vec::new();
        for _ in 1..vms {
            let kind = case % kinds;
            case /= kinds;
            all.push((READINGS[kind % 2], BEHAVIOURS[kind / 2]));
        }
        all.push((1, Behaviour::Word(READ)));
        all
    })
}

/// In no case of three to six VMs does a VM still hold the old epoch when the promotion is ordered.
#[test]
fn no_vm_holds_the_epoch_when_another_is_promoted() {
    for vms in 3..=6 {
        for case in cases(vms) {
            assert_eq!(holder(&case, Flaw::None), None, "{case:?}");
        }
    }
}

/// Without any one of the safeguards there is a case in which a VM acts on the old primary while
/// another one is promoted.
#[test]
fn each_safeguard_is_needed() {
    let mut found = String::new();
    for flaw in [Flaw::Two, Flaw::Kept, Flaw::Answered, Flaw::Intent] {
        let mut all = (3..=5).flat_map(cases);
        let case = all.find_map(|case| Some((holder(&case, flaw)?, case)));
        let ((vm, after), case) = case.unwrap_or_else(|| panic!("{flaw:?} breaks nothing"));
        found += &format!("{flaw:?}: VM {vm} holds {after} ms after the intent: {case:?}\n");
    }
    insta::assert_snapshot!(found);
}

/// A replacement that waits only for the short term has had no reply from up to this many VMs. If
/// they were a quorum, they could confirm each other's leases, and one of them act on the old
/// primary.
#[test]
fn size_of_a_quorum() {
    assert_eq!((MAX_SILENT, QUORUM), (2, 3));
    assert_eq!(TERM, Span::from_millis(2_500));
}
