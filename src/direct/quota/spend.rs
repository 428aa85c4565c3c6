//! Spends and keeps allowances: asks keepers on behalf of this VM's callers, and answers other VMs.

use crate::clock::{Span, Time};
use crate::direct::front::Location;
use crate::direct::identity::Allowance;
use crate::direct::quota::bucket::{Bucket, Grant, Share};
use crate::direct::quota::keeper::{self, KEEPERS};
use crate::direct::quota::purse::{Purse, Token};
use crate::direct::relay::line::Lines;
use crate::direct::relay::{Reply, Request, Spend};
use crate::direct::tenure::Entry;
use crate::direct::view::{Fellow, Shared, View};
use crate::types::OrganisationId;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

/// How long a keeper's answer is waited for: a round trip between regions and a slow VM's turn.
const PATIENCE: Span = Span::from_millis(150);

/// How long a keeper is passed over that does not answer.
const UNREACHED: Span = Span::from_millis(500);

/// How long a VM is passed over that does not keep the allowance, or may not at the moment: its list of
/// VMs and that of whoever asked differ for about so long.
const NOT_HERE: Span = Span::from_millis(100);

/// Why an operation is not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// The organisation has used what it may.
    Spent {
        /// What it may use.
        allowance: Allowance,
        /// When to come back.
        retry: Span,
    },
    /// No VM that keeps the allowance answers.
    Unkept {
        /// When to come back.
        retry: Span,
    },
}

/// Purses and buckets of this VM.
pub struct Quotas {
    shared: Rc<Shared>,
    lines: Rc<Lines>,
    place: Location,
    purses: RefCell<BTreeMap<OrganisationId, Purse>>,
    buckets: RefCell<BTreeMap<OrganisationId, Kept>>,
    keepers: RefCell<Known>,
    /// The list of VMs by which places were last looked at.
    checked: Cell<u64>,
}

/// A bucket, and the beginning of the tenure in which it was made.
#[derive(Debug)]
struct Kept {
    since: Time,
    entry: Entry,
    bucket: Bucket,
}

/// The keepers of organisations, as found from one list of VMs.
#[derive(Debug, Default)]
struct Known {
    fellows: u64,
    of: BTreeMap<(OrganisationId, usize), Rc<[SocketAddr]>>,
}

impl fmt::Debug for Quotas {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Quotas").finish_non_exhaustive()
    }
}

impl Quotas {
    /// Nothing at hand.
    pub fn new(shared: Rc<Shared>, lines: Rc<Lines>, place: Location) -> Rc<Self> {
        Rc::new(Self {
            shared,
            lines,
            place,
            purses: RefCell::default(),
            buckets: RefCell::default(),
            keepers: RefCell::default(),
            checked: Cell::default(),
        })
    }

    /// Leave to run one operation of an organisation; none is needed where nothing is limited.
    pub async fn spend(&self, organisation: &OrganisationId) -> Result<Option<Token>, Refusal> {
        let Some(allowance) = allowance(&self.shared.look(), organisation) else {
            return Ok(None);
        };
        if let Some(token) = self.take(organisation) {
            return Ok(Some(token));
        }
        let keepers = self.keepers(organisation, allowance);
        let mut answered = false;
        for keeper in self.near_first(&keepers) {
            let now = self.lines.now();
            if self.purse(organisation, |purse| purse.passes_over(keeper, now)) {
                answered = true;
                continue;
            }
            let spare = self.purse(organisation, |purse| purse.spare());
            let ask = Spend {
                organisation: organisation.clone(),
                need: 1,
                spare,
            };
            let told = self.ask(keeper, ask).await;
            let after = self.lines.now();
            answered |= told.is_some();
            self.shared.meter.allowance_asked();
            self.purse(organisation, |purse| match told {
                Some(grant) if grant.count > 0 => purse.put(grant, now),
                Some(grant) => purse.pass_over(keeper, after + grant.retry),
                None => purse.pass_over(keeper, after + UNREACHED),
            });
            if let Some(token) = self.take(organisation) {
                return Ok(Some(token));
            }
        }
        let now = self.lines.now();
        let retry = self.purse(organisation, |purse| purse.retry(&keepers, now));
        let retry = retry.unwrap_or(UNREACHED);
        self.shared.meter.allowance_refused();
        Err(match answered {
            true => Refusal::Spent { allowance, retry },
            false => Refusal::Unkept { retry },
        })
    }

    /// Puts a token back whose operation has not run.
    pub fn put_back(&self, organisation: &OrganisationId, token: Token) {
        self.purse(organisation, |purse| purse.put_back(token));
    }

    /// Grants what another VM asks for, if this one keeps the allowance and may.
    ///
    /// A bucket that is older than this VM's tenure is another keeper's by now, and starts empty again.
    pub fn grant(&self, spend: &Spend) -> Grant {
        let now = self.lines.now();
        let organisation = &spend.organisation;
        let (tenure, allowance) = {
            let view = self.shared.look();
            (view.tenure, allowance(&view, organisation))
        };
        let (Some(since), Some(allowance)) = (tenure.since(now), allowance) else {
            return Grant::nothing(NOT_HERE);
        };
        let keepers = self.keepers(organisation, allowance);
        self.leave_lost_places();
        if !self.is_among(&keepers) {
            return Grant::nothing(NOT_HERE);
        }
        let share = Share::of(allowance, keepers.len());
        let mut buckets = self.buckets.borrow_mut();
        if buckets
            .get(organisation)
            .is_some_and(|kept| kept.since < since)
        {
            buckets.remove(organisation);
        }
        let kept = buckets.entry(organisation.clone()).or_insert_with(|| {
            let entry = self.entry(organisation, allowance);
            let bucket = Bucket::new(share, entry.begins.max(since));
            Kept {
                since,
                entry,
                bucket,
            }
        });
        let Some(part) = kept.entry.part(&tenure, now) else {
            return Grant::nothing(NOT_HERE);
        };
        kept.bucket.resize(share.part(part), now);
        kept.bucket.grant(spend.need, spend.spare, now)
    }

    /// Forgets the buckets of organisations that others keep by now, with each list of VMs: one that is kept
    /// again later begins empty.
    fn leave_lost_places(&self) {
        let fellows = self.shared.look().fellows.digest();
        if self.checked.replace(fellows) == fellows {
            return;
        }
        let kept: Vec<OrganisationId> = self.buckets.borrow().keys().cloned().collect();
        for organisation in kept {
            let allowance = allowance(&self.shared.look(), &organisation);
            let stays = allowance
                .is_some_and(|allowance| self.is_among(&self.keepers(&organisation, allowance)));
            if !stays {
                self.buckets.borrow_mut().remove(&organisation);
            }
        }
    }

    /// When this VM, which finds itself a keeper, may hand out: it is one by itself, or in place of a VM that
    /// is evicted.
    fn entry(&self, organisation: &OrganisationId, allowance: Allowance) -> Entry {
        let view = self.shared.look();
        let (fellows, since) = (view.fellows.list(), view.fellows.since());
        let region = |fellow| self.region(fellow);
        let keepers = keeper::keepers(fellows.iter(), organisation, most(allowance), region);
        if self.is_among(&keepers) {
            return Entry::of_first(since);
        }
        let evicted = fellows.iter().filter(|fellow| fellow.evicted).count();
        Entry::of_successor(since, evicted, fellows.len())
    }

    fn is_among(&self, keepers: &[SocketAddr]) -> bool {
        let own = self.place.relay;
        keepers.iter().any(|keeper| Some(*keeper) == own)
    }

    fn purse<T>(&self, organisation: &OrganisationId, with: impl FnOnce(&mut Purse) -> T) -> T {
        let mut purses = self.purses.borrow_mut();
        if !purses.contains_key(organisation) {
            purses.insert(organisation.clone(), Purse::default());
        }
        let purse = purses.entry(organisation.clone()).or_default();
        with(purse)
    }

    fn take(&self, organisation: &OrganisationId) -> Option<Token> {
        let now = self.lines.now();
        self.purse(organisation, |purse| purse.take(now))
    }

    /// Asks a keeper; none if it does not answer.
    async fn ask(&self, keeper: SocketAddr, spend: Spend) -> Option<Grant> {
        if Some(keeper) == self.place.relay {
            return Some(self.grant(&spend));
        }
        if self.lines.doubts(keeper) {
            return None;
        }
        let mut line = self.lines.take(keeper).await.ok()?;
        let request = Request::Spend(spend);
        let told = tokio::time::timeout(PATIENCE.into(), line.ask(&request)).await;
        let Ok(Ok(told)) = told else {
            return None;
        };
        match told.reply {
            Reply::Granted(grant) => {
                self.lines.give_back(line);
                Some(grant)
            }
            Reply::Away => {
                self.lines.leave(keeper);
                None
            }
            _ => None,
        }
    }

    /// The keepers, those near by first.
    fn near_first(&self, keepers: &[SocketAddr]) -> Vec<SocketAddr> {
        let view = self.shared.look();
        let list = view.fellows.list();
        let is_near = |keeper: &SocketAddr| {
            let mut fellows = list.iter();
            let fellow = fellows.find(|fellow| fellow.relay == Some(*keeper));
            fellow.is_some_and(|fellow| self.place.is_near(&fellow.domain))
        };
        let mut keepers = keepers.to_vec();
        keepers.sort_by_cached_key(|keeper| !is_near(keeper));
        keepers
    }

    fn keepers(&self, organisation: &OrganisationId, allowance: Allowance) -> Rc<[SocketAddr]> {
        let most = most(allowance);
        let view = self.shared.look();
        let mut known = self.keepers.borrow_mut();
        let fellows = view.fellows.digest();
        if known.fellows != fellows {
            known.fellows = fellows;
            known.of.clear();
        }
        let key = (organisation.clone(), most);
        let found = known.of.entry(key).or_insert_with(|| {
            let region = |fellow| self.region(fellow);
            let fellows = view.fellows.list().iter().filter(|one| !one.evicted);
            keeper::keepers(fellows, organisation, most, region).into()
        });
        found.clone()
    }

    fn region<'a>(&'a self, fellow: &'a Fellow) -> &'a str {
        let region = self.place.regions.get(&fellow.domain);
        region.map_or(fellow.domain.as_str(), |region| &**region)
    }
}

/// How many VMs keep an allowance at most.
fn most(allowance: Allowance) -> usize {
    let most = usize::try_from(allowance.burst).unwrap_or(KEEPERS);
    most.clamp(1, KEEPERS)
}

fn allowance(view: &View, organisation: &OrganisationId) -> Option<Allowance> {
    let organisations = view.config.as_ref()?.organisations.as_ref()?;
    organisations.allowances.get(organisation).copied()
}
