//! Decisions of the control path, each at a given time.

mod registered;

use lentilspoke::clock::{Span, Time};
use lentilspoke::core::detect::Damper;
use lentilspoke::direct::config::{self, Config, Database};
use lentilspoke::direct::control::evidence::{Attempt, Observation, Probe, Verdict, count, judge};
use lentilspoke::direct::control::health::WriteTimeout;
use lentilspoke::direct::control::promotion::{Choice, Part, Permit, Pick, Reply};
use lentilspoke::direct::control::rows::{Member, MemberId, Reading};
use lentilspoke::direct::control::steward::{Action, Cause, Snapshot, Status, plan};
use lentilspoke::direct::control::takeover::{Contact, Poll, Watch, shows_use};
use lentilspoke::direct::lead::{Lead, Leases};
use lentilspoke::direct::statement::Standing;
use lentilspoke::direct::table::{self, Era};
use lentilspoke::direct::view::Report;
use lentilspoke::types::{
    Birth, Cores, DatabaseId, GroupId, Life, Offset, Position, Term, Version,
};
use registered::{at, databases, id};
use std::collections::BTreeMap;

fn ms(millis: u64) -> Span {
    Span::from_millis(millis)
}

fn observation(received: u64, answered: Option<u64>, failing: Option<u64>) -> Observation {
    Observation {
        received: at(received),
        report: Report {
            answered: answered.map(ms),
            failing: failing.map(ms),
        },
    }
}

fn tried(began: u64, attempt: Attempt) -> Option<Probe> {
    Some(Probe {
        began: at(began),
        ended: at(began + 20),
        attempt,
    })
}

/// The verdict on a primary at 10 s, by the VMs' reports and the steward's own attempt.
#[test]
fn verdicts_on_a_primary() {
    let fine = observation(9_900, Some(50), None);
    let failing = |for_ms| observation(9_900, Some(for_ms + 100), Some(for_ms));
    let untried = observation(9_900, None, None);
    let old = observation(8_000, Some(100), Some(50));
    let cases: [(&str, Vec<Observation>, Option<Probe>, Verdict); 11] = [
        ("nobody fails", vec![fine, fine], None, Verdict::Fine),
        (
            "one says so",
            vec![fine, failing(10)],
            None,
            Verdict::Suspected,
        ),
        (
            "nothing listens",
            vec![untried, failing(10)],
            tried(9_950, Attempt::Refused),
            Verdict::Lost,
        ),
        (
            "refused before it failed",
            vec![failing(10)],
            tried(9_000, Attempt::Refused),
            Verdict::Suspected,
        ),
        (
            "dark, as all say",
            vec![failing(450), untried],
            tried(9_600, Attempt::Silent),
            Verdict::Lost,
        ),
        (
            "dark for too short",
            vec![failing(100)],
            tried(9_950, Attempt::Silent),
            Verdict::Suspected,
        ),
        (
            "silent to some only",
            vec![failing(450), fine],
            tried(9_600, Attempt::Silent),
            Verdict::Suspected,
        ),
        (
            "slow, and it answers",
            vec![failing(2_000)],
            tried(9_600, Attempt::Answered),
            Verdict::Suspected,
        ),
        (
            "split",
            vec![failing(1_300), failing(1_300), fine, fine],
            None,
            Verdict::Split,
        ),
        (
            "one of two is no split",
            vec![failing(1_300), fine],
            None,
            Verdict::Suspected,
        ),
        (
            "who was not heard has no vote",
            vec![old, fine],
            None,
            Verdict::Fine,
        ),
    ];
    for (name, observations, tried, expected) in cases {
        let votes = count(observations, at(10_000));
        assert_eq!(
            judge(&votes, tried, at(10_000)),
            expected,
            "{name}: {votes:?}"
        );
    }
}

/// A silent steward may still have an order in flight: 1.5 s and a margin have to pass since its
/// row was first read with its present version. A steward that has ended sends none, so there is no
/// wait.
#[test]
fn silent_steward_is_waited_out_and_an_ended_one_is_not() {
    let mut watch = Watch::default();
    assert_eq!(watch.takes_at(None, 0, at(0)), None);
    watch.note(version(7), at(1_000));
    let mut contact = Contact::new(at(500));
    assert_eq!(
        watch.takes_at(Some(&contact), 0, at(5_000)),
        None,
        "no call was missed"
    );
    contact.missed = 2;
    assert_eq!(
        watch.takes_at(Some(&contact), 0, at(1_500)),
        Some(at(2_800))
    );
    assert_eq!(
        watch.takes_at(Some(&contact), 2, at(1_500)),
        Some(at(3_100))
    );
    watch.note(version(8), at(2_000));
    assert_eq!(
        watch.takes_at(Some(&contact), 0, at(2_500)),
        Some(at(3_800))
    );
    contact.end(at(2_100));
    assert_eq!(
        watch.takes_at(Some(&contact), 0, at(2_500)),
        Some(at(2_100))
    );
}

/// Guards against a duty that is taken while its holder, which a partition makes refuse connections, may
/// still have an order in flight.
#[test]
fn a_steward_that_refuses_is_suspected_sooner_and_waited_out() {
    let mut watch = Watch::default();
    watch.note(version(7), at(1_000));
    let mut contact = Contact::new(at(1_000));
    contact.refuse(at(1_100));
    contact.refuse(at(1_200));
    assert_eq!(
        watch.takes_at(Some(&contact), 0, at(1_500)),
        None,
        "other VMs are not known to miss it"
    );
    assert_eq!(
        watch.takes_at(Some(&contact), 0, at(1_600)),
        Some(at(2_800))
    );
    watch = Watch::default();
    watch.note(version(7), at(0));
    assert_eq!(
        watch.takes_at(Some(&contact), 0, at(1_600)),
        Some(at(1_800))
    );
    contact.answered(at(1_700));
    assert_eq!(watch.takes_at(Some(&contact), 0, at(1_800)), None);
}

/// Guards against a duty that goes back and forth across a partition: a steward shows its use of the duty
/// while it misses VMs and hears at least half of them, and only then.
#[test]
fn use_of_the_duty_is_shown_by_the_side_with_most_vms() {
    let now = at(10_000);
    let cases = [
        ("all are heard", vec![Some(9_800); 7], false),
        (
            "one is missed",
            vec![Some(9_800), Some(9_800), Some(8_700)],
            true,
        ),
        (
            "most are about to be missed",
            [9_900, 9_800, 9_000, 9_100, 9_300, 9_450]
                .map(Some)
                .to_vec(),
            false,
        ),
        ("half are missed", vec![Some(9_800), None], true),
        (
            "most are missed",
            vec![Some(9_800), Some(9_000), None],
            false,
        ),
        ("it is alone", vec![Some(9_800)], false),
    ];
    for (name, heard, expected) in cases {
        let heard = heard.into_iter().map(|heard| heard.map(at));
        assert_eq!(shows_use(heard, now), expected, "{name}");
    }
}

/// Guards against a takeover by the lesser side of a partition, whose VMs all miss the steward.
#[test]
fn a_lesser_side_waits_for_the_steward_to_show_its_use() {
    let poll = |asked, answered, in_contact| Poll {
        asked,
        answered,
        in_contact,
    };
    assert!(poll(4, 4, 0).is_missed_by_most());
    assert!(poll(0, 0, 0).is_missed_by_most());
    assert!(!poll(4, 1, 0).is_missed_by_most());
    assert!(!poll(4, 4, 3).is_missed_by_most());
    assert!(poll(4, 2, 1).is_followed() && !poll(4, 2, 0).is_followed());
    let contact = Contact::new(at(1_000));
    assert!(!contact.is_contestable(at(2_700)) && contact.is_contestable(at(2_750)));
}

/// Half of 63 VMs end together with the steward, and all that come first in rank are among them.
/// Some VM that is left takes the duty within a second, without waiting for 32 others in turn.
#[test]
fn duty_is_taken_soon_though_the_first_in_rank_are_gone() {
    let mut watch = Watch::default();
    watch.note(version(7), at(1_000));
    let mut contact = Contact::new(at(500));
    contact.end(at(2_000));
    let takes_at = |rank| watch.takes_at(Some(&contact), rank, at(2_000)).unwrap();
    assert!(takes_at(32) <= at(3_000), "{:?}", takes_at(32));
    for rank in 0..62 {
        let apart = takes_at(rank + 1).since(takes_at(rank));
        let least = if rank < 4 { ms(150) } else { ms(5) };
        assert!(
            apart >= least && takes_at(rank) <= at(3_000),
            "{rank}: {apart:?}"
        );
    }
}

/// A VM that was frozen has received nothing for seconds. It calls the steward before it suspects
/// it.
#[test]
fn frozen_vm_calls_before_it_suspects_the_steward() {
    let mut contact = Contact::new(at(0));
    assert!(!contact.is_silent(at(60_000)));
    contact.missed = 1;
    assert!(!contact.is_silent(at(60_000)));
    contact.answered(at(60_000));
    contact.missed = 2;
    assert!(!contact.is_silent(at(60_900)) && contact.is_silent(at(61_000)));
}

/// An order arrives within 1.5 s of the request of the renewal before it, or is not sent.
#[test]
fn order_needs_a_fresh_renewal() {
    let permit = Permit::new(at(1_000));
    assert_eq!(permit.deadline(at(1_020)), Some(at(2_400)));
    assert_eq!(permit.deadline(at(2_200)), None);
}

fn state(offset: u64, primary: bool) -> Reply {
    Reply::Stands(Standing {
        primary,
        term: Term(1),
        received: Position::new(Term(1), Offset(offset)),
    })
}

fn choice(target: Option<u64>) -> Choice {
    let target = target.map(|offset| Position::new(Term(1), Offset(offset)));
    let near = Some("near".parse().unwrap());
    let candidates = [
        ("a", "far", Part::Lost),
        ("b", "far", Part::Replica),
        ("c", "near", Part::Replica),
    ];
    let candidates = candidates.map(|(name, domain, part)| (id(name), domain.parse().ok(), part));
    Choice::new(at(0), near, target, false, candidates)
}

fn taken(pick: Pick) -> Option<DatabaseId> {
    match pick {
        Pick::Take(id, _) => Some(id),
        Pick::Wait(_) | Pick::Nobody => None,
    }
}

/// A replica that received nothing answers at once, and the one that has the log is slow: the
/// choice waits for it for a limited time, and not at all for one that refuses the connection.
#[test]
fn furthest_replica_is_chosen() {
    let mut slow = choice(None);
    slow.record(&id("a"), Reply::Absent);
    slow.record(&id("c"), state(3, false));
    assert_eq!(slow.pick(at(100)), Pick::Wait(at(900)));
    assert_eq!(taken(slow.pick(at(900))), Some(id("c")));
    slow.record(&id("b"), state(9, false));
    assert_eq!(taken(slow.pick(at(200))), Some(id("b")));
    let mut refused = choice(None);
    refused.record(&id("a"), Reply::Absent);
    refused.record(&id("b"), Reply::Absent);
    assert_eq!(refused.pick(at(100)), Pick::Wait(at(1_000)));
    refused.record(&id("c"), state(3, false));
    assert_eq!(taken(refused.pick(at(100))), Some(id("c")));
    refused.record(&id("c"), Reply::Absent);
    assert_eq!(refused.pick(at(100)), Pick::Nobody);
}

/// Of equal replicas the nearer is chosen. The wait for the old primary is short; if it is back, it
/// has all that was acknowledged.
#[test]
fn nearer_replica_or_the_old_primary() {
    let mut choice = choice(None);
    choice.record(&id("b"), state(3, false));
    choice.record(&id("c"), state(3, false));
    assert_eq!(choice.pick(at(100)), Pick::Wait(at(150)));
    assert_eq!(taken(choice.pick(at(150))), Some(id("c")));
    choice.record(&id("a"), state(5, true));
    assert_eq!(taken(choice.pick(at(100))), Some(id("a")));
}

/// A planned replacement waits until the replica has all that the old primary has.
#[test]
fn planned_change_waits_for_the_replica() {
    let mut choice = choice(Some(9));
    choice.record(&id("a"), Reply::Absent);
    choice.record(&id("b"), state(8, false));
    choice.record(&id("c"), Reply::Absent);
    assert_eq!(choice.pick(at(100)), Pick::Wait(at(2_500)));
    choice.record(&id("b"), state(9, false));
    assert_eq!(taken(choice.pick(at(100))), Some(id("b")));
}

/// If the store loses one answer in three, a write is soon repeated. If it is slow, the timeout of
/// a write grows with its answers.
#[test]
fn store_timeout_follows_its_answers() {
    let mut patience = WriteTimeout::default();
    patience.written(ms(16));
    patience.missed();
    patience.missed();
    assert_eq!(patience.span(), ms(300));
    patience.read(ms(240));
    assert_eq!(patience.span(), ms(1_440));
    patience.written(ms(16));
    for _ in 0..6 {
        patience.missed();
    }
    assert_eq!(patience.span(), ms(1_500));
}

fn lead(epoch: u64, changing: bool) -> Lead {
    Lead {
        epoch,
        primary: id("a"),
        born: None,
        changing,
        continues: None,
    }
}

/// A VM is asked to release an epoch before any reading has shown it, and the reading in progress
/// arrives afterwards. The VM must not act on the epoch that the reading shows.
#[test]
fn epoch_released_before_it_was_known_stays_released() {
    let group: GroupId = "g".parse().unwrap();
    let mut book = Leases::default();
    book.drop_epoch(&group, 3);
    book.learn(&group, lead(3, false), at(0));
    assert_eq!(book.lease(&group, at(1)), None);
    book.learn(&group, lead(4, false), at(0));
    assert!(book.holds(&group, 4, at(1)));
}

/// In a planned replacement no new work starts once it is known, and work under way may still be
/// acknowledged. Neither a reading that shows the change nor an extension that was requested later
/// prolongs the lease.
#[test]
fn work_under_way_ends_during_a_planned_change() {
    let group: GroupId = "g".parse().unwrap();
    let mut book = Leases::default();
    book.learn(&group, lead(3, false), at(0));
    assert!(book.holds(&group, 3, at(2_499)) && !book.holds(&group, 3, at(2_500)));
    book.extend(&group, 3, at(4_900));
    book.learn(&group, lead(3, true), at(5_000));
    book.extend(&group, 3, at(5_001));
    assert!(book.holds(&group, 3, at(7_399)) && !book.holds(&group, 3, at(7_400)));
    assert_eq!(book.lease(&group, at(5_001)), None);
    assert!(book.holds(&group, 3, at(5_001)) && !book.holds(&group, 3, at(8_000)));
    book.drop_epoch(&group, 3);
    assert!(!book.holds(&group, 3, at(5_001)));
}

/// A configuration of some groups.
fn config(groups: &[&str]) -> Config {
    let settings = config::Group {
        connections: 9,
        durable: false,
    };
    let groups = groups
        .iter()
        .map(|name| (name.parse().unwrap(), settings.clone()));
    Config {
        version: Version(1),
        routes: BTreeMap::new(),
        groups: groups.collect(),
        idle: ms(3_000),
        organisations: None,
    }
}

/// The steward's state of one group of three databases, at 20 s.
struct Fixture {
    reading: Reading,
    databases: BTreeMap<DatabaseId, Database>,
    config: Config,
    reports: BTreeMap<DatabaseId, Report>,
    tried: BTreeMap<DatabaseId, Probe>,
    evicted: BTreeMap<MemberId, (table::Version, Time)>,
    epochs: BTreeMap<GroupId, (u64, Time)>,
    dampers: BTreeMap<GroupId, Damper>,
    heard: Time,
    began: Time,
}

fn version(number: u64) -> table::Version {
    table::Version::new(Era(0), number)
}

fn member(number: u32) -> MemberId {
    let ip = format!("10.0.0.{number}").parse().unwrap();
    MemberId::new(&format!("vm{number}").parse().unwrap(), ip)
}

impl Fixture {
    fn new() -> Self {
        let mut reading = Reading::new(&[], table::Version::NONE, at(19_990), at(20_000));
        reading
            .leads
            .insert("g".parse().unwrap(), (lead(1, false), version(5)));
        for number in 1..=2 {
            let row = Member {
                life: Life(u64::from(number)),
                address: format!("10.0.0.{number}:1").parse().unwrap(),
                relay: None,
                domain: "d".parse().unwrap(),
                cores: Cores::default(),
                evicted: false,
                released: BTreeMap::new(),
            };
            reading.members.insert(member(number), (row, version(1)));
        }
        Self {
            reading,
            databases: databases(&["a", "b", "c"]),
            config: config(&["g"]),
            reports: BTreeMap::new(),
            tried: BTreeMap::new(),
            evicted: BTreeMap::new(),
            epochs: BTreeMap::from([("g".parse().unwrap(), (1, at(0)))]),
            dampers: BTreeMap::new(),
            heard: at(19_900),
            began: at(0),
        }
    }

    fn plan(&self) -> Vec<Action> {
        let status = |number: u32, at| {
            let status = Status {
                life: Life(u64::from(number)),
                at,
                reports: &self.reports,
            };
            (member(number), status)
        };
        let statuses = BTreeMap::from([status(1, at(20_000)), status(2, self.heard)]);
        let snapshot = Snapshot {
            now: at(20_000),
            steward_since: at(0),
            own: &member(1),
            reading: &self.reading,
            databases: &self.databases,
            config: Some(&self.config),
            register_since: Some(self.began),
            store_up_since: Some(at(0)),
            statuses: &statuses,
            tried: &self.tried,
            evicted: &self.evicted,
            evictions: &BTreeMap::new(),
            epochs: &self.epochs,
            dampers: &self.dampers,
            margin: Span::ZERO,
        };
        plan(&snapshot).0
    }
}

fn change(cause: Cause) -> Vec<Action> {
    vec![Action::Change("g".parse().unwrap(), cause)]
}

/// The steward's actions, by what differs from a group without faults.
#[test]
fn actions_of_the_steward() {
    let group: GroupId = "g".parse().unwrap();
    assert_eq!(Fixture::new().plan(), []);

    let mut gone = Fixture::new();
    gone.databases.remove(&id("a"));
    assert_eq!(gone.plan(), change(Cause::Gone));
    gone.began = at(18_000);
    assert_eq!(gone.plan(), [], "an outage's end may be as near");

    let mut leaving = Fixture::new();
    leaving.databases.get_mut(&id("a")).unwrap().leaving = true;
    assert_eq!(leaving.plan(), change(Cause::Leaving));
    leaving.databases.remove(&id("b"));
    leaving.databases.get_mut(&id("c")).unwrap().leaving = true;
    assert_eq!(leaving.plan(), [], "nobody could lead instead");

    let mut unfinished = Fixture::new();
    unfinished
        .reading
        .leads
        .insert(group.clone(), (lead(1, true), version(6)));
    assert_eq!(unfinished.plan(), change(Cause::Unfinished));

    let mut unled = Fixture::new();
    unled.databases.get_mut(&id("a")).unwrap().primary = false;
    assert_eq!(unled.plan(), change(Cause::Unled));
    unled.epochs.insert(group.clone(), (1, at(18_000)));
    assert_eq!(unled.plan(), [], "its report may be on its way");

    let mut second = Fixture::new();
    second.databases.get_mut(&id("b")).unwrap().primary = true;
    assert_eq!(second.plan(), [Action::StepDown(group.clone(), id("b"))]);

    let mut failing = Fixture::new();
    let report = Report {
        answered: Some(ms(600)),
        failing: Some(ms(500)),
    };
    failing.reports.insert(id("a"), report);
    assert_eq!(failing.plan(), [Action::Try(id("a"))]);
    failing
        .tried
        .extend(tried(19_600, Attempt::Silent).map(|tried| (id("a"), tried)));
    assert_eq!(failing.plan(), change(Cause::Lost));

    let mut reborn = Fixture::new();
    reborn.databases.get_mut(&id("a")).unwrap().born = Some(Birth(7));
    assert_eq!(reborn.plan(), change(Cause::Reborn));

    let mut unknown = Fixture::new();
    unknown.reading.leads.clear();
    assert_eq!(unknown.plan(), [Action::Create(group, id("a"))]);
    unknown.config = config(&["other"]);
    assert_eq!(unknown.plan(), [], "no configuration names its group");
}

/// The next replacement would have to wait for a VM that fell silent, so its row is marked and then
/// removed, a lease after the mark: by then nothing that the VM read before the mark is valid.
#[test]
fn silent_vm_is_called_marked_and_removed() {
    let mut fixture = Fixture::new();
    fixture.heard = at(18_700);
    assert_eq!(fixture.plan(), [Action::Ping(member(2))]);
    let row = fixture.reading.members.get_mut(&member(2)).unwrap();
    row.0.evicted = true;
    fixture.evicted.insert(member(2), (version(1), at(12_000)));
    assert_eq!(fixture.plan(), []);
    fixture.evicted.insert(member(2), (version(1), at(11_700)));
    assert_eq!(fixture.plan(), [Action::Remove(member(2), version(1))]);
}

/// A reading is a lease for a VM only if it shows a row of the VM's present life that is not
/// marked.
#[test]
fn reading_is_a_lease_only_for_vms_it_lists() {
    let mut reading = Fixture::new().reading;
    assert!(reading.is_lease_for(&member(2), Life(2)));
    assert!(!reading.is_lease_for(&member(2), Life(3)));
    assert!(!reading.is_lease_for(&member(3), Life(3)));
    reading.members.get_mut(&member(2)).unwrap().0.evicted = true;
    assert!(!reading.is_lease_for(&member(2), Life(2)));
}
