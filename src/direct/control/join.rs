//! How a VM that starts gets its first lease, and how it is told what others have read.

use crate::clock::Span;
use crate::direct::control::rows::{self, Member, MemberId};
use crate::direct::control::store::Opening;
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
const JOIN: Span = Span::from_millis(700);

/// How long one VM is waited for before the next one is asked too: a machine without power answers
/// nothing. Two answers change nothing: both write the same under one condition.
const LATE: Span = Span::from_millis(150);

/// How long a VM waits for others until it writes its row itself: while all start, a dozen VMs write
/// some rows each, one after another, and 160 more writes would make all of them late.
const OWN: Span = Span::from_millis(600);

/// How long a seed's answer is waited for: two round trips between regions, and a slow VM's turn.
const SEED: Span = Span::from_millis(150);

/// How long it is waited for until a row is written: two calls of the store, and those of others before.
const ENROLL: Span = Span::from_millis(400);

/// The pause before the next seed is asked where nobody listened yet, or nothing was known.
const AGAIN: Span = Span::from_millis(30);

/// How long a VM of the same failure domain is waited for, which may have to read the store first.
const NEAR: Span = Span::from_millis(200);

/// How long it is waited for by one that asks for a long configuration: 400 KB over a small link.
const WHOLE: Span = Span::from_millis(1_500);

/// How many VMs of other failure domains are asked where those near by have read nothing: the store
/// may turn both of them away, as it does a third of the VMs at times.
const FAR: usize = 3;

/// A reading this young is told to others without another one.
const YOUNG: Span = Span::from_millis(500);

/// How old it may be for those that ask.
const FRESH: Span = Span::from_secs(1);

/// How long the word of others counts for news of the configuration.
const TOLD: Span = Span::from_secs(2);

impl Control {
    /// Whether this VM reads the store for itself, and for others.
    pub(super) fn reads(&self) -> bool {
        let view = self.setup.shared.get();
        reader::reads(view.peers.list(), self.setup.address)
    }

    /// Whether another VM tells this one of each new configuration.
    pub(super) fn is_told(&self) -> bool {
        let told = self.state.borrow().told;
        told.is_some_and(|at| self.now() < at + TOLD)
    }

    /// Gets this VM's row written, and takes over what is known then; whether that came to be.
    ///
    /// **Pattern answered.** All VMs come back after a loss of power, the seeds last. **Without it** they
    /// wait 0.5 s for the seeds, or write their rows one by one. **Why it suffices.** The rows still name
    /// the VMs of before, which listen where they did. A VM that is not named asks a seed.
    pub(super) async fn join(self: &Rc<Self>) -> bool {
        let joined = match self.store.opening(&self.id).await {
            Ok(Opening::All(reading)) if reading.members.contains_key(&self.id) => {
                let members = reading.members.clone();
                self.learn(*reading);
                self.join_near(&members).await
            }
            Ok(Opening::Near(members)) => {
                self.state.borrow_mut().many_rows = true;
                match members.contains_key(&self.id) {
                    true => self.join_near(&members).await,
                    false => self.join_seeds().await,
                }
            }
            // The store may turn this VM away, and not the seeds.
            _ => self.join_seeds().await,
        };
        if joined && self.is_large() && self.knows_nothing() {
            self.state.borrow_mut().lacks_register = true;
            self.lacking.notify_one();
        }
        self.joined.notify_one();
        joined
    }

    /// Has a seed write this VM's row. A seed itself reads the store, as somebody has to.
    async fn join_seeds(&self) -> bool {
        let seeds = &self.setup.seeds;
        if seeds.is_empty() || seeds.contains(&self.setup.address) {
            return false;
        }
        let until = self.now() + JOIN;
        let turn = (self.chance() * seeds.len() as f64) as usize;
        for seed in seeds.iter().cycle().skip(turn) {
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

    /// Has the VMs write this VM's row that would read for it, or writes it itself if these are late.
    async fn join_near(self: &Rc<Self>, members: &BTreeMap<MemberId, (Member, Version)>) -> bool {
        let mut fellows = rows::fellows(members);
        let own = self.setup.address;
        fellows.retain(|fellow| fellow.address != own);
        fellows.push(Peer {
            address: own,
            relay: self.setup.relay,
            domain: self.setup.domain.clone(),
            cores: self.setup.cores,
            evicted: false,
        });
        let known = members.get(&self.id);
        let expect = known.map_or(Version::NONE, |member| member.1);
        let mut readers = match reader::reads(&fellows, own) {
            true => Vec::new(),
            false => reader::near(&fellows, own),
        };
        let turn = (self.chance() * readers.len() as f64) as usize;
        readers.rotate_left(turn);
        let began = self.now();
        let last = async {
            let wait = if readers.is_empty() { Span::ZERO } else { OWN };
            tokio::time::sleep(Duration::from(wait)).await;
            self.register_self(known).await.is_ok() && self.is_member()
        };
        let others = readers.iter().enumerate().map(async |(turn, reader)| {
            tokio::time::sleep(Duration::from(Span(LATE.0 * turn as u64))).await;
            while self.now() < began + OWN {
                if self.enroll_by(*reader, expect).await {
                    return true;
                }
                self.pause().await;
            }
            false
        });
        let tries = others.map(FutureExt::boxed_local);
        let mut tries: FuturesUnordered<_> = tries.chain([last.boxed_local()]).collect();
        while let Some(joined) = tries.next().await {
            if joined {
                return true;
            }
        }
        false
    }

    /// Waits a little, by chance.
    async fn pause(&self) {
        let pause = AGAIN.percent(50 + (self.chance() * 100.0) as u64);
        tokio::time::sleep(Duration::from(pause)).await;
    }

    /// Asks a seed for the version of this VM's row, and to have it written under that version.
    async fn join_by(&self, seed: SocketAddr) -> bool {
        let question = Question::Heartbeat(self.beat());
        let told = self.hear(seed, question, SEED).await;
        let listed = told.and_then(|told| told.listed);
        match listed {
            Some(listed) => self.enroll_by(seed, listed.version).await,
            None => false,
        }
    }

    /// Has another VM write this VM's row, which has the version `expect`.
    async fn enroll_by(&self, address: SocketAddr, expect: Version) -> bool {
        let question = Question::Enroll {
            heartbeat: self.beat(),
            relay: self.setup.relay,
            domain: self.setup.domain.clone(),
            cores: self.setup.cores,
            expect,
        };
        let told = self.hear(address, question, ENROLL).await;
        let is_member = told.is_some_and(|told| told.member);
        if is_member {
            self.member.set(true);
            let now = self.now();
            self.state.borrow_mut().enrolled = Some(now);
            log::info!(vm:% = self.id, life:% = self.setup.life, by:% = address; "this VM was registered by another one");
        }
        is_member
    }

    /// Asks VMs that read the store for others, those of this failure domain first; whether one told
    /// something fresh. A VM whose row is not there has it written by the one that said so.
    ///
    /// **Pattern answered.** A steward is late or gone, and all VMs look for who leads. **Without it**
    /// 195 VMs read the rows each second, 8 MB in all, while the store may be slow itself.
    ///
    /// A long configuration or register is told where `whole` asks for it only: of 300 VMs that miss their steward
    /// each second, 25 would ask each reader for 400 KB, again before the answers to the last time are out.
    pub(super) async fn ask_readers(&self, whole: bool) -> Source {
        let (near, far) = {
            let view = self.setup.shared.get();
            let (fellows, own) = (view.peers.list(), self.setup.address);
            (reader::near(fellows, own), reader::far(fellows, own))
        };
        let turn = (self.chance() * far.len() as f64) as usize;
        let some = far.iter().cycle().skip(turn).take(FAR.min(far.len()));
        let mut found = Source::Unreached;
        let (short, long) = match whole && self.is_large() {
            true => (WHOLE, WHOLE),
            false => (NEAR, ENROLL),
        };
        for (readers, within) in [(near, short), (some.copied().collect(), long)] {
            found = found.max(self.ask_some(readers, within, whole).await);
            if found == Source::Fresh {
                break;
            }
        }
        found
    }

    async fn ask_some(&self, readers: Vec<SocketAddr>, within: Span, whole: bool) -> Source {
        let calls = readers.into_iter().map(async |reader| {
            let told = self.hear(reader, Question::Read(self.beat_for(whole)), within);
            (reader, told.await)
        });
        let answers = join_all(calls).await;
        let read = answers
            .iter()
            .filter_map(|(reader, told)| Some((reader, (*told)?)));
        let enrolled = self.state.borrow().enrolled;
        let since = enrolled.map_or(FRESH, |at| self.now().since(at).min(FRESH));
        let mut fresh = read.filter(|(_, told)| told.listed.is_some_and(|l| l.age < since));
        let Some((reader, told)) = fresh.next() else {
            let reached = answers.iter().any(|(_, told)| told.is_some());
            return if reached {
                Source::Stale
            } else {
                Source::Unreached
            };
        };
        let listed = told.listed.map(|listed| listed.version);
        if !told.member && !self.enroll_by(*reader, listed.unwrap_or_default()).await {
            return Source::Stale;
        }
        let now = self.now();
        self.state.borrow_mut().told = Some(now);
        Source::Fresh
    }

    /// Reads the rows for VMs that ask, unless that was done, or tried in vain, a moment ago.
    pub(super) async fn read_for_others(self: &Rc<Self>) {
        let mut last = self.reading.lock().await;
        let known = {
            let state = self.state.borrow();
            state.reading.as_ref().map(|reading| reading.asked)
        };
        let now = self.now();
        if known.max(*last).is_some_and(|asked| now < asked + YOUNG) {
            return;
        }
        *last = Some(now);
        // What is known from before is told with its age.
        let _ = self.read_rows().await;
    }

    /// Asks a VM something that is answered with news, and takes these over.
    pub(super) async fn hear(
        &self,
        address: SocketAddr,
        question: Question,
        within: Span,
    ) -> Option<Told> {
        let asked = self.now();
        let answer = (self.setup.call)(address, question, within).await;
        let Some(Answer::Update(news)) = answer else {
            return None;
        };
        let told = Told {
            member: news.member,
            listed: news.listed,
        };
        if told.member {
            let now = self.now();
            self.state.borrow_mut().told = Some(now);
        }
        self.follow_heard(news.duty.as_ref(), self.now());
        self.take_news(*news, address, asked);
        Some(told)
    }
}

/// Where a VM that asked others for what the store holds stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Source {
    /// None of them answered.
    Unreached,
    /// Some did, and have read nothing of late.
    Stale,
    /// It knows what was read a moment ago.
    Fresh,
}

/// What matters of the news of another VM.
#[derive(Debug, Clone, Copy)]
pub(super) struct Told {
    member: bool,
    listed: Option<Listed>,
}
