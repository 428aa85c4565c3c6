//! Each VM's heartbeat to the steward, and what it does while it hears none.

use crate::clock::Span;
use crate::direct::control::backoff::Backoff;
use crate::direct::control::join::Source;
use crate::direct::control::state::Post;
use crate::direct::control::{Control, reader};
use crate::direct::mesh::{Answer, Question};
use crate::direct::table::Fault;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How often a VM beats. A lease of 8 s needs far less; a lost primary is seen by its own alarm,
/// and this bounds how long a dead steward goes unnoticed.
const EVERY: Span = Span::from_millis(500);

/// The least pause between two beats, however many alarms there are.
const PAUSE: Span = Span::from_millis(50);

/// How long a beat's answer is waited for: two round trips and a slow VM's turn.
const PATIENCE: Span = Span::from_millis(400);

/// After this long without an answer the rows are read meanwhile, to know since when the duty's
/// row has the version that it has.
const LATE: Span = Span::from_millis(150);

/// How long it is waited for by a VM that already misses the steward's word: the VM has to look
/// after itself meanwhile.
const SHORT: Span = Span::from_millis(150);

/// How often a VM that does not hear the steward reads the rows, and how old the steward's own
/// reading may be before it does so too.
const LOOK_EVERY: Span = Span::from_secs(1);
const STALE: Span = Span::from_secs(3);

/// How often a VM reads the rows itself while those that read for it can't.
const SELDOM: Span = Span::from_secs(4);

/// How often a VM looks whether its turn to take over has come.
const TURN: Span = Span::from_millis(100);

/// How many others a VM asks that hears no steward.
const PEERS: usize = 4;

/// Beats until the process ends.
pub(super) async fn run(control: Rc<Control>) {
    let alarm = control.setup.shared.get().reports.alarm();
    let mut backoff = Backoff::default();
    while !control.state.borrow().stopped {
        let turned = control.turn().await;
        control.setup.shared.modify_silently().refresh_failed = turned.is_err();
        let wait = match turned {
            Ok(wait) => {
                backoff.reset();
                wait
            }
            Err(_) => control.rest(&mut backoff).await,
        };
        tokio::time::sleep(Duration::from(PAUSE.min(wait))).await;
        tokio::select! {
            biased;
            () = tokio::time::sleep(Duration::from(Span(wait.0.saturating_sub(PAUSE.0)))) => {}
            () = alarm.notified() => {}
            () = control.nudged.notified() => {}
            () = control.setup.shared.wants_config.notified() => {}
        }
    }
}

/// The longest pause between two readings of a VM that holds no lease.
///
/// **Pattern answered.** All VMs lose power while the store takes no calls, and have nothing until
/// it does. **Without it** they come back to the store up to a second after it is there again, by
/// pauses that have grown to 0.8 s and peers that do not answer. **Threshold.** Four readings a second
/// of every VM are a tenth of what the store takes.
const WITHOUT_LEASE: Span = Span::from_millis(250);

impl Control {
    /// What a VM does after a reading that failed: it asks others what they know, for as long as it
    /// pauses. Returns what is left of the pause.
    async fn rest(&self, backoff: &mut Backoff) -> Span {
        let pause = backoff.step(self.chance());
        if self.is_member() {
            self.ask_peers().await;
            return pause;
        }
        let began = self.now();
        let pause = pause.min(WITHOUT_LEASE);
        let _ = tokio::time::timeout(Duration::from(pause), self.ask_peers()).await;
        Span(pause.0.saturating_sub(self.now().since(began).0))
    }

    /// One beat, and what is due without a steward; returns when the next one is.
    async fn turn(self: &Rc<Self>) -> Result<Span, Fault> {
        if self.is_steward() {
            // Its own reports are looked at by its own tasks.
            self.wake.notify_one();
            let now = self.now();
            if self.hears_most(now) {
                self.setup.shared.modify_silently().tenure.confirm(now);
            }
            return Ok(EVERY);
        }
        let post = self.state.borrow().post.clone();
        let Some(post) = post.filter(|_| self.is_member()) else {
            return self.look().await;
        };
        let heard = self.beat_or_look(&post).await?;
        let silent = self.misses_steward();
        self.note_contact(heard);
        let due = self.may_look() && (silent || !heard || self.is_stale());
        match (due || !self.is_member(), silent) {
            (true, _) => self.look().await,
            (false, true) => self.consider(),
            (false, false) if heard => Ok(EVERY),
            (false, false) => Ok(TURN),
        }
    }

    /// Beats; reads the rows meanwhile if the answer is late.
    async fn beat_or_look(self: &Rc<Self>, post: &Post) -> Result<bool, Fault> {
        let mut beat = std::pin::pin!(self.beat_to(post));
        let late = tokio::time::timeout(Duration::from(LATE), &mut beat).await;
        if let Ok(heard) = late {
            return Ok(heard);
        }
        if !self.may_look() {
            return Ok(beat.await);
        }
        let (heard, looked) = tokio::join!(beat, self.look());
        looked.map(|_| heard)
    }

    fn may_look(&self) -> bool {
        let looked = self.state.borrow().looked;
        looked.is_none_or(|at| at + LOOK_EVERY <= self.now())
    }

    async fn beat_to(&self, post: &Post) -> bool {
        let patience = if post.hearing.missed > 1 {
            SHORT
        } else {
            PATIENCE
        };
        let asked = self.now();
        let question = Question::Heartbeat(self.beat());
        let answer = (self.setup.call)(post.address, question, patience).await;
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let same = |known: &&mut Post| known.token == post.token;
        let Some(known) = state.post.as_mut().filter(same) else {
            // Another one is followed meanwhile.
            return true;
        };
        match answer {
            Some(Answer::Update(news)) if news.steward => {
                known.hearing.answered(asked);
                state.told = Some(now);
                if let Some(version) = news.duty.as_ref().and_then(|duty| duty.version) {
                    // Whatever this version allows to be ordered was asked before now.
                    state.watch.note(version, now);
                }
                // The steward's reading may be older than this VM's row.
                let settled = state.looked.is_none_or(|at| at + STALE < now);
                drop(state);
                if settled || news.member {
                    self.member.set(news.member);
                }
                self.take_news(*news, post.address, asked);
                true
            }
            Some(Answer::Update(news)) => {
                known.hearing.missed += 1;
                drop(state);
                self.follow_heard(news.duty.as_ref(), now);
                self.take_news(*news, post.address, asked);
                false
            }
            Some(Answer::Absent) => {
                if known.hearing.ended.is_none() {
                    log::warn!(address:% = post.address, token = post.token; "the steward has ended");
                }
                known.hearing.end(now);
                false
            }
            _ => {
                known.hearing.missed += 1;
                false
            }
        }
    }

    pub(super) fn follow_heard(
        &self,
        heard: Option<&crate::direct::mesh::Steward>,
        now: crate::clock::Time,
    ) {
        let fresh = heard.filter(|heard| heard.age < LOOK_EVERY);
        if let Some(heard) = fresh {
            self.follow(heard.address, heard.token, now);
        }
    }

    /// Follows a steward, unless a newer one is followed already.
    pub(super) fn follow(&self, address: SocketAddr, token: u64, now: crate::clock::Time) {
        if address == self.setup.address {
            return;
        }
        if self.state.borrow_mut().follow(address, token, now) {
            log::info!(address:%, token; "another steward is followed");
        }
    }

    /// Whether the steward counts as silent.
    pub(super) fn misses_steward(&self) -> bool {
        let state = self.state.borrow();
        let now = self.now();
        state
            .post
            .as_ref()
            .is_none_or(|post| post.hearing.is_silent(now))
    }

    /// Whether the steward answers, and the configuration may be had from it.
    pub(super) fn hears_steward(&self) -> bool {
        let state = self.state.borrow();
        let post = state.post.as_ref();
        post.is_some_and(|post| post.hearing.missed == 0 && post.hearing.ended.is_none())
            && state.held.is_none()
    }

    fn note_contact(&self, heard: bool) {
        if !heard {
            self.lost.notify_waiters();
        }
    }

    /// Whether what is known of who leads is older than the steward's readings should be: it may
    /// be turned away by the store, while this VM is not.
    fn is_stale(&self) -> bool {
        let now = self.now();
        let view = self.setup.shared.get();
        let old = |group| {
            let known = view.leases.known(group);
            known.is_some_and(|(lead, asked)| !lead.changing && asked + STALE < now)
        };
        view.leases.groups().any(old)
    }

    /// Is told by VMs near by who leads, or reads the rows and, if it is due, the register for itself;
    /// then sees to the duty.
    async fn look(self: &Rc<Self>) -> Result<Span, Fault> {
        let first = self.state.borrow().looked.is_none();
        self.state.borrow_mut().looked = Some(self.now());
        if first && self.join().await {
            return self.consider();
        }
        if !first && !self.reads() && !self.has_to_read().await {
            return self.consider();
        }
        self.state.borrow_mut().read_at = Some(self.now());
        self.read_rows().await?;
        if first || self.misses_steward() {
            self.read_register().await?;
        }
        self.consider()
    }

    /// Whether a VM that is told by others what the store holds has to read it itself.
    ///
    /// **Pattern answered.** The store is away for all. **Without it** each of 195 VMs tries it each
    /// second, and has others try, up to 9 s long. **Why it suffices.** Those that read for others go on
    /// trying; one that they have nothing for tries too, but seldom.
    async fn has_to_read(&self) -> bool {
        match self
            .ask_readers(!self.is_large() && self.knows_nothing())
            .await
        {
            Source::Fresh => false,
            Source::Unreached => true,
            Source::Stale => {
                let last = self.state.borrow().read_at;
                last.is_none_or(|at| at + SELDOM <= self.now())
            }
        }
    }

    /// Whether this VM has no configuration or no register yet.
    pub(super) fn knows_nothing(&self) -> bool {
        let view = self.setup.shared.get();
        view.config.is_none() || view.databases.is_empty()
    }

    /// Takes the duty if it is this VM's turn; returns when to look again.
    fn consider(self: &Rc<Self>) -> Result<Span, Fault> {
        if self.is_steward() || !self.misses_steward() {
            return Ok(TURN);
        }
        let now = self.now();
        let at = self.takes_at(now);
        match at {
            Some(at) if at <= now => {
                let control = self.clone();
                actix_rt::spawn(async move { control.take_if_alone().await });
                Ok(EVERY)
            }
            Some(at) => Ok(at.since(now).min(TURN)),
            None => Ok(TURN),
        }
    }

    /// Asks some other VMs what they know; returns how many answered, and how many of these hear
    /// the steward that is followed here.
    pub(super) async fn ask_peers(&self) -> (usize, usize) {
        let asked = self.now();
        let calls = self.peers().into_iter().map(async |address| {
            let question = Question::Heartbeat(self.beat());
            (
                address,
                (self.setup.call)(address, question, PATIENCE).await,
            )
        });
        let answers = futures_util::future::join_all(calls).await;
        let token = self.state.borrow().post.as_ref().map(|post| post.token);
        let (mut answered, mut hear) = (0, 0);
        for (address, answer) in answers {
            let Some(Answer::Update(news)) = answer else {
                continue;
            };
            answered += 1;
            let heard = news.duty.as_ref();
            let fresh = heard.is_some_and(|h| h.age < LOOK_EVERY && Some(h.token) == token);
            hear += usize::from(fresh);
            self.follow_heard(heard, self.now());
            self.take_news(*news, address, asked);
        }
        (answered, hear)
    }

    /// Some other VMs, without the steward.
    fn peers(&self) -> Vec<SocketAddr> {
        let fellows = self.setup.shared.get().peers.list().clone();
        let addresses = fellows.iter().map(|fellow| fellow.address);
        self.some_of(addresses.collect())
    }

    /// Some of those that read for others, without the steward.
    pub(super) fn other_readers(&self) -> Vec<SocketAddr> {
        let readers = reader::all(self.setup.shared.get().peers.list());
        self.some_of(readers.into_iter().collect())
    }

    /// Some of these VMs and the seeds, without the steward.
    fn some_of(&self, mut peers: Vec<SocketAddr>) -> Vec<SocketAddr> {
        let steward = self.state.borrow().post.as_ref().map(|post| post.address);
        peers.extend(&self.setup.seeds);
        peers.sort();
        peers.dedup();
        peers.retain(|address| *address != self.setup.address && Some(*address) != steward);
        let start = self.chance() * peers.len() as f64;
        peers.rotate_left(start as usize);
        peers.truncate(PEERS);
        peers
    }
}
