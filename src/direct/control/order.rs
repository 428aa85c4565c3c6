//! Chooses the next primary and orders that it leads.

use crate::clock::{Span, Time};
use crate::direct::adapter::{Promoted, Promotion};
use crate::direct::config::Database;
use crate::direct::control::Control;
use crate::direct::control::backoff::Backoff;
use crate::direct::control::change::{AGAIN, Lost, Work};
use crate::direct::control::duty::Renewed;
use crate::direct::control::promotion::{Choice, Permit, Pick, Word};
use crate::direct::control::steward::Cause;
use crate::direct::statement::Standing;
use crate::types::{Birth, DatabaseId, Domain, Position};
use futures_util::stream::{FuturesUnordered, StreamExt};
use std::rc::Rc;
use std::time::Duration;

/// By then a promotion that was taken has taken effect.
const PROMOTED_WITHIN: Span = Span::from_millis(2_500);

/// How long a promotion may take before it is ordered again: a second as a rule.
const LEADS_WITHIN: Span = Span::from_secs(3);

/// How long a database may refuse to be promoted before another one is chosen.
const REFUSES: Span = Span::from_secs(3);

/// A database that is to lead.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Chosen {
    /// Which.
    pub id: DatabaseId,
    /// When it had started as it said how it stands.
    pub born: Option<Birth>,
}

impl Control {
    /// Chooses a database and has it promoted; returns it once it leads, or will in a moment.
    pub(super) async fn order(
        self: &Rc<Self>,
        work: &Work,
        target: Option<Position>,
    ) -> Result<Chosen, Lost> {
        let mut not_running = Vec::new();
        loop {
            let began = self.now();
            let (chosen, standing) = self.choose(work, target, &not_running).await?;
            let id = &chosen.id;
            log::info!(
                group:% = work.group, database:% = id, position:% = standing.received,
                target:? = target.map(|t| t.to_string()),
                took_ms = self.now().since(began).0 / 1_000; "a database is chosen to lead"
            );
            let only = not_running.is_empty();
            match self.order_one(work, &chosen, standing, only).await? {
                true => return Ok(chosen),
                false => not_running = vec![chosen.id],
            }
        }
    }

    /// Orders one database to lead until that is certain; false if another has to be chosen: it does
    /// not run any more, or started again and has nothing of what it was chosen for.
    async fn order_one(
        self: &Rc<Self>,
        work: &Work,
        chosen: &Chosen,
        before: Standing,
        only: bool,
    ) -> Result<bool, Lost> {
        let id = &chosen.id;
        let mut backoff = Backoff::default();
        let mut unknown = false;
        let began = self.now();
        loop {
            if self
                .registered(id)
                .is_some_and(|now| now.born != chosen.born)
            {
                return Ok(false);
            }
            let asked = match self.renew(work.token, None).await {
                Renewed::Done { asked, .. } => asked,
                Renewed::Conflict | Renewed::Lost => return Err(Lost),
            };
            let Some(promoted) = self.order_once(work, id, asked).await else {
                // The renewal took too long, or the duty is being handed over.
                tokio::time::sleep(AGAIN).await;
                continue;
            };
            log::info!(
                group:% = work.group, database:% = id, token = work.token, outcome:? = promoted,
                renewed_ms = self.now().since(asked).0 / 1_000; "a promotion was ordered"
            );
            match promoted {
                Promoted::Done => {
                    if let Some(leads) = self.leads(work, id, before, only).await {
                        return Ok(leads);
                    }
                    unknown = true;
                }
                Promoted::NotRunning => return Ok(false),
                Promoted::Refused if !unknown && began + REFUSES <= self.now() => return Ok(false),
                Promoted::Refused => {}
                Promoted::Unknown if self.is_over(id).await => return Ok(false),
                Promoted::Unknown => unknown = true,
            }
            backoff.wait(self.chance()).await;
        }
    }

    /// Waits until a database that was ordered to lead does; false if it has ended, none if it
    /// takes too long.
    ///
    /// **Failure answered.** A promotion takes up to a second. Until then the database is a
    /// replica: it answers reads by what it has applied, and if another replacement began now and
    /// ordered the old primary, the platform would say that nothing has to be done.
    /// **Symptom without it.** Reads that lack what was acknowledged; two databases that count as
    /// primary in turn. **Why it suffices.** The new lead is written, and another replacement
    /// begun, only once the database itself says that it leads.
    ///
    /// One that took itself for the primary before it was ordered to lead may do so by a term that
    /// is over: its word counts once its term has risen, or once no promotion can be on its way.
    async fn leads(
        &self,
        work: &Work,
        id: &DatabaseId,
        before: Standing,
        only: bool,
    ) -> Option<bool> {
        let until = self.now() + LEADS_WITHIN;
        let settled = self.now() + PROMOTED_WITHIN;
        let trusted = !before.primary || (only && *id == work.old);
        let is_new = |standing: Standing| trusted || standing.term > before.term;
        while self.now() < until {
            let known = self.registered(id);
            let Some(database) = known else {
                return Some(false);
            };
            match self.standing(&database).await {
                Word::Stands(standing)
                    if standing.primary && (is_new(standing) || self.now() >= settled) =>
                {
                    log::info!(group:% = work.group, database:% = id, term:% = standing.term; "it leads");
                    return Some(true);
                }
                Word::Absent => return Some(false),
                _ => tokio::time::sleep(AGAIN).await,
            }
        }
        None
    }

    /// Whether a database has ended, as far as can be told.
    async fn is_over(&self, id: &DatabaseId) -> bool {
        let known = self.registered(id);
        match known {
            None => true,
            Some(database) => self.standing(&database).await == Word::Absent,
        }
    }

    async fn order_once(&self, work: &Work, id: &DatabaseId, asked: Time) -> Option<Promoted> {
        let now = self.now();
        let deadline = Permit::new(asked).deadline(now)?;
        {
            let mut state = self.state.borrow_mut();
            let held = state.held(work.token)?;
            if held.handing || asked < held.valid {
                return None;
            }
            held.ordering += 1;
        }
        let order = Promotion {
            group: work.group.clone(),
            database: id.clone(),
            holder: self.setup.vm.clone(),
            token: work.token,
            deadline,
        };
        let promoted = (self.setup.adapter.promote)(order).await;
        if let Some(held) = self.state.borrow_mut().held(work.token) {
            held.ordering -= 1;
        }
        Some(promoted)
    }

    /// The databases that may lead now.
    fn candidates(&self, work: &Work, not: &[DatabaseId]) -> Vec<Database> {
        let view = self.setup.shared.get();
        let stays = |d: &&Database| {
            // The old primary is one only if it was lost. A steward before may have ordered another
            // database to lead, which takes effect whatever the old one says now.
            let out = work.cause.is_planned() || work.cause == Cause::Unfinished;
            let old = out && d.id == work.old;
            !old && !not.contains(&d.id)
        };
        let members = view.members(&work.group).filter(stays);
        let (reborn, members): (Vec<_>, Vec<_>) = members.cloned().partition(|d| work.is_reborn(d));
        let staying: Vec<_> = members.iter().filter(|d| !d.leaving).cloned().collect();
        // The old primary without its log leads only where nobody else is left to.
        [staying, members, reborn]
            .into_iter()
            .find(|some| !some.is_empty())
            .unwrap_or_default()
    }

    fn domain(&self, work: &Work) -> Option<Domain> {
        let view = self.setup.shared.get();
        view.databases.get(&work.old).map(|d| d.domain.clone())
    }

    async fn choose(
        &self,
        work: &Work,
        target: Option<Position>,
        not: &[DatabaseId],
    ) -> Result<(Chosen, Standing), Lost> {
        let mut asked: Vec<Chosen> = Vec::new();
        let mut choice = Choice::new(self.now(), None, None, []);
        loop {
            if self.state.borrow_mut().held(work.token).is_none() {
                return Err(Lost);
            }
            let candidates = self.candidates(work, not);
            // One that started again meanwhile has to say anew how it stands.
            let lives = candidates.iter().map(|database| Chosen {
                id: database.id.clone(),
                born: database.born,
            });
            let lives: Vec<_> = lives.collect();
            if lives != asked || choice.pick(self.now()) == Pick::Nobody {
                let named = candidates.iter();
                let named = named.map(|d| (d.id.clone(), d.domain.clone(), d.id == work.old));
                choice = Choice::new(self.now(), self.domain(work), target, named);
                asked = lives;
            }
            if let Some(id) = self.ask_round(&candidates, &mut choice).await
                && let Some(standing) = choice.standing(&id)
                && let Some(chosen) = asked.iter().find(|chosen| chosen.id == id)
            {
                return Ok((chosen.clone(), standing));
            }
            tokio::time::sleep(AGAIN).await;
        }
    }

    /// Asks the candidates once how they stand, until the choice can be made.
    async fn ask_round(&self, candidates: &[Database], choice: &mut Choice) -> Option<DatabaseId> {
        let mut asks = FuturesUnordered::new();
        for database in candidates {
            asks.push(async move { (database.id.clone(), self.standing(database).await) });
        }
        loop {
            // One that says nothing is asked for longer than the choice waits for it.
            let left = match choice.pick(self.now()) {
                Pick::Take(id, _) => return Some(id),
                Pick::Wait(until) => until.since(self.now()),
                Pick::Nobody => return None,
            };
            match tokio::time::timeout(Duration::from(left), asks.next()).await {
                Ok(Some((id, word))) if choice.say(&id, word) => {
                    log::info!(database:% = id, word:?; "a candidate says how it stands");
                }
                Ok(Some(_)) | Err(_) => {}
                Ok(None) => return None,
            }
        }
    }
}
