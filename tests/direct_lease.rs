//! Leases that go on by the word of other VMs, against the wait of a replacement.

use lentilspoke::clock::{Span, Time};
use lentilspoke::direct::control::promotion::Drops;
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

/// A book that read epoch 1 at a moment.
fn book(asked: u64) -> Leases {
    let mut book = Leases::default();
    book.learn(&group(), lead(1, false), at(asked));
    book
}

/// Until when a book holds epoch 1, to 1 ms.
fn held(book: &Leases) -> u64 {
    let held = |ms: &u64| book.holds(&group(), 1, at(*ms));
    (0..40_000).filter(held).max().map_or(0, |last| last + 1)
}

/// The word of others counts from when they were asked, never past the long lease, for the epoch
/// that they named only; giving the epoch up or a change ends it.
#[test]
fn word_of_others_makes_a_lease_longer() {
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

/// A VM vouches for what it has neither given up, nor closed, nor sees being replaced, while its
/// own reading is young; others' word does not make that longer.
#[test]
fn who_vouches() {
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

/// How long a replacement waits for those that give no word: `words` are when the others' came.
#[test]
fn how_long_silent_vms_are_waited_for() {
    let wait = |silent: usize, words: &[u64], read: u64| {
        let all = 0..silent + words.len();
        let mut drops = Drops::new(all.map(|n| (member(n), at(INTENT))), at(INTENT + read));
        for (number, word) in (silent..).zip(words) {
            drops.done(&member(number), at(INTENT + word));
        }
        drops.end().map_or(0, |end| end.0 / 1_000 - INTENT)
    };
    assert_eq!(wait(0, &[20, 30], 10), 0);
    assert_eq!(wait(1, &[], 10), 2_760);
    assert_eq!(wait(2, &[20, 30], 10), 2_780);
    assert_eq!(wait(1, &[20, 30, 40], 10), 2_780);
    assert_eq!(wait(3, &[20, 30], 10), 8_250);
    assert_eq!(wait(2, &[7_000], 10), 8_250);
}

/// What a VM does after the intent.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Does {
    /// It is not heard, and goes on.
    Silent,
    /// It gives its word so long after the intent.
    Word(u64),
    /// It stops just before the steward reads the rows, and is not among them.
    Stop,
}

/// A VM in a case: its reading was asked so long before the intent.
type Vm = (u64, Does);

/// A safeguard that is left out.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Flaw {
    None,
    /// Two VMs are a quorum.
    Two,
    /// A VM that dropped the epoch still vouches for it.
    Kept,
    /// A word counts from when the answer was there, not from when it was asked for.
    Answered,
    /// The short wait counts from the intent, not from when the rows were read.
    Intent,
}

/// When the steward has read the rows, after the intent.
const READ: u64 = 500;
const READINGS: [u64; 2] = [1, 3_000];
const DOES: [Does; 5] = [
    Does::Silent,
    Does::Word(READ),
    Does::Word(2_500),
    Does::Word(5_000),
    Does::Stop,
];
const STEP: usize = 250;

/// How long an answer takes.
const ANSWER: u64 = 300;

/// Plays a case: every VM asks all others each 250 ms and is answered by all, which is the most
/// that a lease can gain. Returns a VM that holds the epoch when the promotion is ordered.
fn holder(vms: &[Vm], flaw: Flaw) -> Option<(usize, u64)> {
    let mut books: Vec<_> = vms.iter().map(|(age, _)| book(INTENT - age)).collect();
    let undropped = books.clone();
    let seen = |(number, (_, does)): (usize, &Vm)| {
        (*does != Does::Stop).then(|| (member(number), at(INTENT)))
    };
    let read = if flaw == Flaw::Intent { 0 } else { READ };
    let members = vms.iter().enumerate().filter_map(seen);
    let mut drops = Drops::new(members, at(INTENT + read));
    let enough = if flaw == Flaw::Two { 2 } else { QUORUM };
    let late = if flaw == Flaw::Answered { ANSWER } else { 0 };
    for now in (INTENT - 3_000..INTENT + 10_000).step_by(STEP) {
        let asked = if flaw == Flaw::Kept {
            &undropped
        } else {
            &books
        };
        let stand = asked
            .iter()
            .filter(|book| !book.extendable(at(now)).is_empty());
        if stand.count() >= enough {
            for book in &mut books {
                book.extend(&group(), 1, at(now + late));
            }
        }
        for (number, (_, does)) in vms.iter().enumerate() {
            match does {
                Does::Word(after) if INTENT + after == now => {
                    books[number].drop_epoch(&group(), 1);
                    drops.done(&member(number), at(now));
                }
                Does::Stop if INTENT + READ == now => books[number].drop_all(),
                _ => {}
            }
        }
        let ordered = now >= INTENT + READ && drops.end().is_none_or(|end| end <= at(now));
        if ordered {
            let holds = |book: &Leases| book.holds(&group(), 1, at(now));
            return books.iter().position(holds).map(|vm| (vm, now - INTENT));
        }
    }
    panic!("no promotion is ever ordered: {vms:?}");
}

/// All cases of so many VMs, the last of which is the steward that gives its own word at once.
fn cases(vms: usize) -> impl Iterator<Item = Vec<Vm>> {
    let kinds = READINGS.len() * DOES.len();
    (0..kinds.pow(vms as u32 - 1)).map(move |mut case| {
        let mut all = Vec::new();
        for _ in 1..vms {
            let kind = case % kinds;
            case /= kinds;
            all.push((READINGS[kind % 2], DOES[kind / 2]));
        }
        all.push((1, Does::Word(READ)));
        all
    })
}

/// Of all cases of three to five VMs there is none in which a VM still holds the old epoch when
/// the promotion is ordered.
#[test]
fn nobody_holds_the_epoch_when_another_is_promoted() {
    for vms in 3..=6 {
        for case in cases(vms) {
            assert_eq!(holder(&case, Flaw::None), None, "{case:?}");
        }
    }
}

/// With any one safeguard left out there is a case in which a VM acts on the old primary while
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

/// A replacement that waits for the short term only has not heard so many VMs; were they a quorum,
/// they could vouch for each other, and one of them act on the old primary.
#[test]
fn size_of_a_quorum() {
    assert_eq!((MAX_SILENT, QUORUM), (2, 3));
    assert_eq!(TERM, Span::from_millis(2_500));
}
