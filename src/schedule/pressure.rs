//! Organisations with allowances, one of which sends many times its own for a while.

use crate::direct::identity::{Allowance, Organisations, Rate};
use crate::direct::statement::End;
use crate::schedule::Error;
use crate::standin::direct::caller::Session;
use crate::standin::direct::said::{Record, Said};
use crate::standin::direct::setup;
use crate::standin::direct::world::World;
use crate::types::VmId;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// One organisation for the callers of each failure domain.
const ORGANISATIONS: usize = 3;

/// Operations a second for each organisation and group, and at once. The usual callers send two thirds of it.
const RATE_PER_GROUP: u64 = 45;

/// The organisation that floods, and its key.
const FLOODING: &str = "org0";
const FLOODING_KEY: &str = "key0";

/// The kinds of route, most urgent first; each has sessions of the flood at each VM.
const KINDS: [&str; 3] = ["primary", "bounded", "session"];

/// The pause of a flooding session between statements.
const FLOOD_PAUSE: Duration = Duration::from_millis(40);

/// The span over which users check an allowance, and what they tolerate beyond it: a tenth, and 20 operations.
const WINDOW: Duration = Duration::from_secs(5);
const TOLERATED: u64 = 20;

/// How long a caller within its organisation's allowance may be refused.
const MAX_REFUSED: Duration = Duration::from_secs(1);

/// One in this many of a flooding organisation's operations has to be of its least urgent rank: the share
/// that `admission::tokens` keeps for it.
const LEAST_URGENT_DIVISOR: usize = 16;

fn allowance(groups: usize) -> Allowance {
    let rate = RATE_PER_GROUP * groups as u64;
    Allowance {
        rate: Rate(rate * 1_000),
        burst: rate as u32,
    }
}

/// The organisations of a world with this many groups.
pub(super) fn organisations(groups: usize) -> Result<Organisations, Error> {
    setup::organisations(ORGANISATIONS, allowance(groups)).map_err(|_| Error::Setup)
}

/// Floods each VM with the statements of one organisation, in all ranks.
pub(super) fn spawn_flood(world: &Rc<World>, record: &Record, from: Instant, until: Instant) {
    for number in 0..world.setup.vms {
        let Ok(vm) = World::vm(number) else { continue };
        for kind in KINDS {
            let flood = flood(
                Rc::clone(world),
                Rc::clone(record),
                vm.clone(),
                format!("{kind}0"),
            );
            tokio::task::spawn_local(async move {
                sleep_until(from).await;
                tokio::select! {
                    () = flood => {}
                    () = sleep_until(until) => {}
                }
            });
        }
    }
}

async fn flood(world: Rc<World>, record: Record, vm: VmId, route: String) {
    loop {
        let opened = Session::open_with(&world, &record, 0, &vm, &route, Some(FLOODING_KEY));
        if let Ok(mut session) = opened.await {
            while session.execute("read i1").await.is_ok() {
                sleep(FLOOD_PAUSE).await;
            }
        }
        sleep(FLOOD_PAUSE).await;
    }
}

/// Checks that each organisation stays within its allowance, in the whole run, and how the flood is served from
/// one moment to another, in which nothing else fails.
pub(super) fn check(world: &World, said: &[Said], from: Instant, to: Instant) -> Vec<Box<str>> {
    let allowance = allowance(world.setup.groups);
    let mut broken = Vec::from_iter(check_bound(world, said, allowance));
    if !said.iter().any(is_refused) {
        broken.push("the flood was not refused".into());
    }
    let calm: Vec<&Said> = said
        .iter()
        .filter(|said| (from..to).contains(&said.sent))
        .collect();
    broken.extend(check_refused(&calm, allowance, to - from));
    broken.extend(check_least_urgent(&calm));
    broken
}

/// In no window do more operations of an organisation run than users allow.
fn check_bound(world: &World, said: &[Said], allowance: Allowance) -> Option<Box<str>> {
    let by_id: BTreeMap<&str, &Said> = said.iter().map(|said| (&*said.id, said)).collect();
    let journal = world.journal.borrow();
    let mut counted = BTreeSet::new();
    let mut ran: BTreeMap<&str, Vec<Instant>> = BTreeMap::new();
    for run in &journal.runs {
        let said = by_id.get(&*run.id);
        // An operation that runs again after its answer was lost costs one token.
        if said.is_some_and(|said| counted.insert(said.operation)) {
            ran.entry(&run.organisation).or_default().push(run.at);
        }
    }
    let permitted = allowance.rate.0 / 1_000 * WINDOW.as_secs() + u64::from(allowance.burst);
    let permitted = permitted + permitted / 10 + TOLERATED;
    let windows = ran.iter().flat_map(|(organisation, at)| {
        at.iter().enumerate().map(move |(first, from)| {
            let end = at.partition_point(|at| *at < *from + WINDOW);
            (end - first, *organisation)
        })
    });
    let (most, organisation) = windows.max()?;
    (most as u64 > permitted).then(|| {
        format!("{organisation} ran {most} operations in 5 s, and may run {permitted}").into()
    })
}

/// Whether a statement was refused because of the allowance.
fn is_refused(said: &Said) -> bool {
    let end = said.told.as_ref().map(|(_, answer)| &answer.end);
    matches!(end, Some(End::Error { text, .. }) if text.contains("over its allowance"))
}

/// No class of an organisation that sends less than its rate is refused for longer than a second.
fn check_refused(said: &[&Said], allowance: Allowance, lasted: Duration) -> Vec<Box<str>> {
    let mut sent: BTreeMap<&str, BTreeSet<u64>> = BTreeMap::new();
    for said in said {
        let operations = sent.entry(&said.organisation).or_default();
        operations.insert(said.operation);
    }
    let permitted = u128::from(allowance.rate.0) * lasted.as_millis() / 1_000_000;
    let is_within = |organisation: &str| {
        let sent = sent.get(organisation).map_or(0, BTreeSet::len);
        organisation != FLOODING && sent as u128 <= permitted
    };
    let mut answered: Vec<(Instant, &Said)> = said
        .iter()
        .filter(|said| is_within(&said.organisation))
        .filter_map(|said| Some((said.told.as_ref()?.0, *said)))
        .collect();
    answered.sort_by_key(|(at, said)| (*at, said.number));
    let mut refused_since: BTreeMap<(&str, &str), Instant> = BTreeMap::new();
    let mut broken = Vec::new();
    for (at, said) in answered {
        let class = (&*said.organisation, &*said.route);
        if said.is_done() {
            refused_since.remove(&class);
        }
        if is_refused(said) {
            let since = *refused_since.entry(class).or_insert(at);
            if at - since > MAX_REFUSED {
                let text = format!("{class:?} is refused for {:?}: {}", at - since, said.id);
                broken.push(text.into());
            }
        }
    }
    broken
}

/// The least urgent rank of the flooding organisation is served too.
fn check_least_urgent(said: &[&Said]) -> Option<Box<str>> {
    let [.., least] = KINDS;
    let done = said
        .iter()
        .filter(|said| &*said.organisation == FLOODING && said.is_done());
    let (all, of_least) = done.fold((0, 0), |(all, of_least), said| {
        (
            all + 1,
            of_least + usize::from(said.route.starts_with(least)),
        )
    });
    let served = of_least * LEAST_URGENT_DIVISOR >= all && all > 0;
    (!served).then(|| format!("{of_least} of {all} of {FLOODING} were of the last rank").into())
}
