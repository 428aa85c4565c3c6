//! How a starting VM gets its first lease, and how it receives what other VMs have read.

use crate::clock::Span;
use crate::direct::control::rows::{self, Member, MemberId};
use crate::direct::control::store::FirstReading;
use crate::direct::control::{Control, reader};
use crate::direct::mesh::{Answer, Listed, Question};
use crate::direct::table::Version;
use crate::direct::view::Peer;
use futures_util::FutureExt;
use futures_util::future::join_all;
use futures_util::stream::{FuturesUnordered, StreamExt};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long a VM that finds no rows tries to be registered by one of the seeds: VMs that start
/// together do so within 0.3 s of each other, and a seed may be the last of them.
const JOIN_TIMEOUT: Span = Span::from_millis(700);

/// How long to wait for one VM before the next one is asked too: a machine without power does not
/// answer. Two answers do no harm: both VMs write the same row under one condition.
const NEXT_READER_DELAY: Span = Span::from_millis(150);

/// How long a VM waits for others before it writes its row itself. While all VMs start, a dozen of
/// them write some rows each, one after another; 160 more writes would delay all of them.
const SELF_REGISTER_DELAY: Span = Span::from_millis(600);

/// The timeout of a heartbeat to a seed: two round trips between regions, and queueing at a slow
/// VM.
const SEED_TIMEOUT: Span = Span::from_millis(150);

/// The timeout of a request to write a row: two calls of the store, and those of earlier requests.
const ENROLL_TIMEOUT: Span = Span::from_millis(400);

/// The delay before the next seed is asked if the last one did not listen yet, or had no reading.
const RETRY_DELAY: Span = Span::from_millis(30);

/// The timeout of a read at a VM of the same failure domain, which may have to read the store
/// first.
const NEAR_TIMEOUT: Span = Span::from_millis(200);

/// The timeout of a read that asks for a long configuration: 400 KB over a small link.
const WHOLE_TIMEOUT: Span = Span::from_millis(1_500);

/// How many VMs of other failure domains are asked if those of the same domain have read nothing.
/// The store may refuse both of the latter, as it does a third of the VMs at times.
const MAX_FAR_READERS: usize = 3;

/// The maximum age of a reading that is sent to other VMs without reading again.
const MAX_SHARED_AGE: Span = Span::from_millis(500);

/// The maximum age of a reading that the asking VM accepts as recent.
const MAX_AGE: Span = Span::from_secs(1);

/// How long after an update from another VM this VM relies on being sent new configurations.
const UPDATE_TIMEOUT: Span = Span::from_secs(2);

impl Control {
    /// Returns whether this VM reads the store for itself and for others.
    pub(super) fn reads(&self) -> bool {
        let view = self.setup.shared.get();
        reader::reads(view.peers.list(), self.setup.address)
    }

    /// Returns whether another VM sends this one each new configuration.
    pub(super) fn receives_updates(&self) -> bool {
        let updated = self.state.borrow().updated;
        updated.is_some_and(|at| self.now() < at + UPDATE_TIMEOUT)
    }

    /// Has this VM's row written and takes over what is known then. Returns whether this succeeded.
    ///
    /// After a loss of power all VMs come back, the seeds last. If VMs waited for the seeds, that
    /// would take 0.5 s; if each wrote its row itself, the store would do the writes one by one.
    /// The rows still name the VMs from before, which listen at the same addresses, so these are
    /// asked. A VM that has no row asks a seed.
    pub(super) async fn join(self: &Rc<Self>) -> bool {
        let joined = match self.store.first_reading(&self.id).await {
            Ok(FirstReading::All(reading)) if reading.members.contains_key(&self.id) => {
                let members = reading.members.clone();
                self.learn(*reading);
                self.join_near(&members).await
            }
            Ok(FirstReading::Near(members)) => {
                self.state.borrow_mut().many_rows = true;
                match members.contains_key(&self.id) {
                    true => self.join_near(&members).await,
                    false => self.join_seeds().await,
                }
            }
            // The store may refuse this VM's calls and answer the seeds.
            _ => self.join_seeds().await,
        };
        if joined && self.is_large() && self.is_uninitialised() {
            self.state.borrow_mut().lacks_register = true;
            self.config_missing.notify_one();
        }
        self.joined.notify_one();
        joined
    }

    /// Has a seed write this VM's row. A seed itself does not ask other seeds, but reads the store.
    async fn join_seeds(&self) -> bool {
        let seeds = &self.setup.seeds;
        if seeds.is_empty() || seeds.contains(&self.setup.address) {
            return false;
        }
        let until = self.now() + JOIN_TIMEOUT;
        let offset = (self.random() * seeds.len() as f64) as usize;
        for seed in seeds.iter().cycle().skip(offset) {
            if self.join_by(*seed).await {
                return true;
            }
            if self.now() >= until {
                break;
            }
            self.pause().await;
        }
        false
    }

    /// Has one of the VMs that read for this one write its row, or writes it itself if they are
    /// late.
    async fn join_near(self: &Rc<Self>, members: &BTreeMap<MemberId, (Member, Version)>) -> bool {
        let mut peers = rows::peers(members);
        let own = self.setup.address;
        peers.retain(|peer| peer.address != own);
        peers.push(Peer {
            address: own,
            relay: self.setup.relay,
            domain: self.setup.domain.clone(),
            cores: self.setup.cores,
            evicted: false,
        });
        let known = members.get(&self.id);
        let expect = known.map_or(Version::NONE, |member| member.1);
        let mut readers = match reader::reads(&peers, own) {
            true => Vec::new(),
            false => reader::near(&peers, own),
        };
        let offset = (self.random() * readers.len() as f64) as usize;
        readers.rotate_left(offset);
        let began = self.now();
        let fallback = async {
            let wait = if readers.is_empty() {
                Span::ZERO
            } else {
                SELF_REGISTER_DELAY
            };
            tokio::time::sleep(Duration::from(wait)).await;
            self.register_self(known).await.is_ok() && self.is_member()
        };
        let others = readers.iter().enumerate().map(async |(index, reader)| {
            tokio::time::sleep(Duration::from(Span(NEXT_READER_DELAY.0 * index as u64))).await;
            while self.now() < began + SELF_REGISTER_DELAY {
                if self.enroll_by(*reader, expect).await {
                    return true;
                }
                self.pause().await;
            }
            false
        });
        let tries = others.map(FutureExt::boxed_local);
        let mut attempts: FuturesUnordered<_> = tries.chain([fallback.boxed_local()]).collect();
        while let Some(joined) = attempts.next().await {
            if joined {
                return true;
            }
        }
        false
    }

    /// Waits for [`RETRY_DELAY`], up to 50 % shorter or longer at random.
    async fn pause(&self) {
        let pause = RETRY_DELAY.percent(50 + (self.random() * 100.0) as u64);
        tokio::time::sleep(Duration::from(pause)).await;
    }

    /// Asks a seed for the version of this VM's row, and then to write the row under that version.
    async fn join_by(&self, seed: SocketAddr) -> bool {
        let question = Question::Heartbeat(self.heartbeat());
        let answer = self.request_update(seed, question, SEED_TIMEOUT).await;
        let listed = answer.and_then(|answer| answer.listed);
        match listed {
            Some(listed) => self.enroll_by(seed, listed.version).await,
            None => false,
        }
    }

    /// Has another VM write this VM's row on condition that its version is `expect`.
    async fn enroll_by(&self, address: SocketAddr, expect: Version) -> bool {
        let question = Question::Enroll {
            heartbeat: self.heartbeat(),
            relay: self.setup.relay,
            domain: self.setup.domain.clone(),
            cores: self.setup.cores,
            expect,
        };
        let answer = self.request_update(address, question, ENROLL_TIMEOUT).await;
        let is_member = answer.is_some_and(|answer| answer.member);
        if is_member {
            self.member.set(true);
            let now = self.now();
            self.state.borrow_mut().enrolled = Some(now);
            log::info!(vm:% = self.id, life:% = self.setup.life, by:% = address; "this VM was registered by another one");
        }
        is_member
    }

    /// Asks VMs that read the store for others, those of this failure domain first. If one of them
    /// has no row of this VM, asks it to write the row.
    ///
    /// When the steward is late or gone, all VMs need the leads from elsewhere. If each read the
    /// store, 195 VMs would read 8 MB of rows each second, while the store may be slow itself.
    ///
    /// A long configuration or register is sent only if `whole` is set. Of 300 VMs that miss their
    /// steward each second, 25 would otherwise ask each reader for 400 KB, and again before the
    /// last answers are sent.
    pub(super) async fn ask_readers(&self, whole: bool) -> Source {
        let mut found = Source::Unreached;
        let (short, long) = match whole && self.is_large() {
            true => (WHOLE_TIMEOUT, WHOLE_TIMEOUT),
            false => (NEAR_TIMEOUT, ENROLL_TIMEOUT),
        };
        for (readers, within) in self.readers_to_ask().into_iter().zip([short, long]) {
            found = found.max(self.ask_some(readers, within, whole).await);
            if found == Source::Fresh {
                break;
            }
        }
        found
    }

    /// Returns the VMs that read the store for others, as this VM asks them: first those of its
    /// failure domain, then some of the others.
    pub(super) fn readers_to_ask(&self) -> [Vec<SocketAddr>; 2] {
        let (near, mut far) = {
            let view = self.setup.shared.get();
            let (peers, own) = (view.peers.list(), self.setup.address);
            (reader::near(peers, own), reader::far(peers, own))
        };
        let offset = (self.random() * far.len() as f64) as usize;
        far.rotate_left(offset);
        far.truncate(MAX_FAR_READERS);
        [near, far]
    }

    async fn ask_some(&self, readers: Vec<SocketAddr>, within: Span, whole: bool) -> Source {
        let calls = readers.into_iter().map(async |reader| {
            let answer =
                self.request_update(reader, Question::Read(self.heartbeat_for(whole)), within);
            (reader, answer.await)
        });
        let answers = join_all(calls).await;
        let read = answers
            .iter()
            .filter_map(|(reader, answer)| Some((reader, (*answer)?)));
        let enrolled = self.state.borrow().enrolled;
        let since = enrolled.map_or(MAX_AGE, |at| self.now().since(at).min(MAX_AGE));
        let mut fresh = read.filter(|(_, answer)| answer.listed.is_some_and(|l| l.age < since));
        let Some((reader, answer)) = fresh.next() else {
            let reached = answers.iter().any(|(_, answer)| answer.is_some());
            return if reached {
                Source::Stale
            } else {
                Source::Unreached
            };
        };
        let listed = answer.listed.map(|listed| listed.version);
        if !answer.member && !self.enroll_by(*reader, listed.unwrap_or_default()).await {
            return Source::Stale;
        }
        let now = self.now();
        self.state.borrow_mut().updated = Some(now);
        Source::Fresh
    }

    /// Reads the rows on behalf of VMs that ask, unless that was done or tried less than
    /// [`MAX_SHARED_AGE`] ago.
    pub(super) async fn read_for_others(self: &Rc<Self>) {
        let mut last = self.reading.lock().await;
        let known = {
            let state = self.state.borrow();
            state.reading.as_ref().map(|reading| reading.asked)
        };
        let now = self.now();
        if known
            .max(*last)
            .is_some_and(|asked| now < asked + MAX_SHARED_AGE)
        {
            return;
        }
        *last = Some(now);
        // If this fails, the earlier reading is sent, with its age.
        let _ = self.read_rows().await;
    }

    /// Sends a question that is answered with an update, and applies the update.
    pub(super) async fn request_update(
        &self,
        address: SocketAddr,
        question: Question,
        within: Span,
    ) -> Option<Membership> {
        let asked = self.now();
        let answer = (self.setup.call)(address, question, within).await;
        let Some(Answer::Update(update)) = answer else {
            return None;
        };
        let membership = Membership {
            member: update.member,
            listed: update.listed,
        };
        if membership.member {
            let now = self.now();
            self.state.borrow_mut().updated = Some(now);
        }
        self.follow_reported(update.duty.as_ref(), self.now());
        self.apply_update(*update, address, asked);
        Some(membership)
    }
}

/// The result of asking other VMs for the rows of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Source {
    /// No VM answered.
    Unreached,
    /// Some answered, but none had a recent reading.
    Stale,
    /// A VM answered with a recent reading.
    Fresh,
}

/// The part of another VM's update that shows this VM's row.
#[derive(Debug, Clone, Copy)]
pub(super) struct Membership {
    member: bool,
    listed: Option<Listed>,
}
