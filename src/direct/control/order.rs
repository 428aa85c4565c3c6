//! Chooses the next primary and orders its promotion.

use crate::clock::{Span, Time};
use crate::direct::adapter::{Promoted, Promotion};
use crate::direct::config::Database;
use crate::direct::control::Control;
use crate::direct::control::backoff::Backoff;
use crate::direct::control::change::{Lost, RETRY_DELAY, Replacement};
use crate::direct::control::duty::Renewed;
use crate::direct::control::promotion::{Choice, Permit, Pick, Reply};
use crate::direct::control::steward::Cause;
use crate::direct::statement::Standing;
use crate::types::{Birth, DatabaseId, Domain, Position};
use futures_util::stream::{FuturesUnordered, StreamExt};
use std::rc::Rc;
use std::time::Duration;

/// By this time after the order, a promotion that was accepted has taken effect.
const MAX_PROMOTION_TIME: Span = Span::from_millis(2_500);

/// How long a promotion may take before it is ordered again. It usually takes a second.
const LEAD_TIMEOUT: Span = Span::from_secs(3);

/// How long a database may refuse to be promoted before another one is chosen.
const MAX_REFUSAL: Span = Span::from_secs(3);

/// The database chosen to be the next primary.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Successor {
    /// Its id.
    pub id: DatabaseId,
    /// The start of its process as known when it reported its state.
    pub born: Option<Birth>,
}

impl Control {
    /// Chooses a database and has it promoted. Returns once it leads.
    pub(super) async fn order(
        self: &Rc<Self>,
        replacement: &Replacement,
        target: Option<Position>,
    ) -> Result<Successor, Lost> {
        let mut not_running = Vec::new();
        loop {
            let began = self.now();
            let (chosen, standing) = self.choose(replacement, target, &not_running).await?;
            let id = &chosen.id;
            log::info!(
                group:% = replacement.group, database:% = id, position:% = standing.received,
                target:? = target.map(|t| t.to_string()),
                took_ms = self.now().since(began).0 / 1_000; "a database is chosen to lead"
            );
            let only = not_running.is_empty();
            match self.order_one(replacement, &chosen, standing, only).await? {
                true => return Ok(chosen),
                false => not_running = vec![chosen.id],
            }
        }
    }

    /// Orders the promotion of one database until it has certainly happened. Returns false if
    /// another one has to be chosen, because this one does not run any more, keeps refusing, or
    /// restarted without the data that it was chosen for.
    async fn order_one(
        self: &Rc<Self>,
        replacement: &Replacement,
        chosen: &Successor,
        before: Standing,
        only: bool,
    ) -> Result<bool, Lost> {
        let id = &chosen.id;
        let mut backoff = Backoff::default();
        // Whether the outcome of an order is still open.
        let mut open = false;
        let from = self.now();
        loop {
            if self
                .registered(id)
                .is_some_and(|now| now.born != chosen.born)
            {
                return Ok(false);
            }
            let asked = match self.renew(replacement.token, None).await {
                Renewed::Done { asked, .. } => asked,
                Renewed::Conflict | Renewed::Lost => return Err(Lost),
            };
            let Some(promoted) = self.order_once(replacement, id, asked).await else {
                // The renewal took too long, or the duty is being handed over.
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            };
            log::info!(
                group:% = replacement.group, database:% = id, token = replacement.token, outcome:? = promoted,
                renewed_ms = self.now().since(asked).0 / 1_000; "a promotion was ordered"
            );
            match promoted {
                Promoted::Done => {
                    if let Some(leads) = self.wait_until_leads(replacement, id, before, only).await
                    {
                        return Ok(leads);
                    }
                    open = true;
                }
                Promoted::NotRunning => return Ok(false),
                Promoted::Refused if !open && from + MAX_REFUSAL <= self.now() => return Ok(false),
                Promoted::Refused => {}
                Promoted::Unknown if self.has_ended(id).await => return Ok(false),
                Promoted::Unknown => open = true,
            }
            backoff.wait(self.random()).await;
        }
    }

    /// Waits until a database whose promotion was ordered leads. Returns false if it has ended,
    /// none if it takes too long.
    ///
    /// A promotion takes up to a second, during which the database is still a replica and answers
    /// reads by what it has applied. If a second replacement then ordered the old primary, the
    /// platform would report that nothing has to be done: reads could miss acknowledged writes, and
    /// two databases would be primary in turn. So the new lead is written, and a further
    /// replacement begun, only once the database itself reports that it leads.
    ///
    /// A database that reported to be primary before the order may do so in a term that is over. It
    /// is trusted once its term has risen, or once no promotion can still be under way.
    async fn wait_until_leads(
        &self,
        replacement: &Replacement,
        id: &DatabaseId,
        before: Standing,
        only: bool,
    ) -> Option<bool> {
        let until = self.now() + LEAD_TIMEOUT;
        let settled = self.now() + MAX_PROMOTION_TIME;
        let trusted = !before.primary || (only && *id == replacement.old);
        let is_new = |standing: Standing| trusted || standing.term > before.term;
        while self.now() < until {
            let known = self.registered(id);
            let Some(database) = known else {
                return Some(false);
            };
            match self.standing(&database).await {
                Reply::Stands(standing)
                    if standing.primary && (is_new(standing) || self.now() >= settled) =>
                {
                    log::info!(group:% = replacement.group, database:% = id, term:% = standing.term; "it leads");
                    return Some(true);
                }
                Reply::Absent => return Some(false),
                _ => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
        None
    }

    /// Whether a database has ended, as far as this VM can find out.
    async fn has_ended(&self, id: &DatabaseId) -> bool {
        let known = self.registered(id);
        match known {
            None => true,
            Some(database) => self.standing(&database).await == Reply::Absent,
        }
    }

    async fn order_once(
        &self,
        replacement: &Replacement,
        id: &DatabaseId,
        asked: Time,
    ) -> Option<Promoted> {
        let now = self.now();
        let deadline = Permit::new(asked).deadline(now)?;
        {
            let mut state = self.state.borrow_mut();
            let held = state.held(replacement.token)?;
            if held.handing_over || asked < held.orders_from {
                return None;
            }
            held.running_orders += 1;
        }
        let order = Promotion {
            group: replacement.group.clone(),
            database: id.clone(),
            holder: self.setup.vm.clone(),
            token: replacement.token,
            deadline,
        };
        let promoted = (self.setup.adapter.promote)(order).await;
        if let Some(held) = self.state.borrow_mut().held(replacement.token) {
            held.running_orders -= 1;
        }
        Some(promoted)
    }

    /// The databases that may be promoted, without those in `excluded`.
    fn candidates(&self, replacement: &Replacement, excluded: &[DatabaseId]) -> Vec<Database> {
        let view = self.setup.shared.get();
        let stays = |d: &&Database| {
            // The old primary is a candidate only if it was lost. After an unfinished replacement
            // it is none: the earlier steward may have ordered the promotion of another database,
            // which takes effect whatever the old primary reports now.
            let out = replacement.cause.is_planned() || replacement.cause == Cause::Unfinished;
            let old = out && d.id == replacement.old;
            !old && !excluded.contains(&d.id)
        };
        let members = view.members(&replacement.group).filter(stays);
        let (reborn, members): (Vec<_>, Vec<_>) =
            members.cloned().partition(|d| replacement.is_reborn(d));
        let staying: Vec<_> = members.iter().filter(|d| !d.leaving).cloned().collect();
        // The old primary without its data is chosen only if there is no other candidate.
        [staying, members, reborn]
            .into_iter()
            .find(|some| !some.is_empty())
            .unwrap_or_default()
    }

    fn domain(&self, replacement: &Replacement) -> Option<Domain> {
        let view = self.setup.shared.get();
        view.databases
            .get(&replacement.old)
            .map(|d| d.domain.clone())
    }

    async fn choose(
        &self,
        replacement: &Replacement,
        target: Option<Position>,
        excluded: &[DatabaseId],
    ) -> Result<(Successor, Standing), Lost> {
        let mut asked: Vec<Successor> = Vec::new();
        let mut choice = Choice::new(self.now(), None, None, []);
        loop {
            if self.state.borrow_mut().held(replacement.token).is_none() {
                return Err(Lost);
            }
            let candidates = self.candidates(replacement, excluded);
            // A database that restarted in the meantime has to report its state again.
            let incarnations = candidates.iter().map(|database| Successor {
                id: database.id.clone(),
                born: database.born,
            });
            let incarnations: Vec<_> = incarnations.collect();
            if incarnations != asked || choice.pick(self.now()) == Pick::Nobody {
                let named = candidates.iter();
                let named =
                    named.map(|d| (d.id.clone(), d.domain.clone(), d.id == replacement.old));
                choice = Choice::new(self.now(), self.domain(replacement), target, named);
                asked = incarnations;
            }
            if let Some(id) = self.ask_round(&candidates, &mut choice).await
                && let Some(standing) = choice.standing(&id)
                && let Some(chosen) = asked.iter().find(|chosen| chosen.id == id)
            {
                return Ok((chosen.clone(), standing));
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Asks each candidate once for its state, until the choice can be made.
    async fn ask_round(&self, candidates: &[Database], choice: &mut Choice) -> Option<DatabaseId> {
        let mut asks = FuturesUnordered::new();
        for database in candidates {
            asks.push(async move { (database.id.clone(), self.standing(database).await) });
        }
        loop {
            // A database that does not answer may be asked for longer than the choice waits for it.
            let left = match choice.pick(self.now()) {
                Pick::Take(id, _) => return Some(id),
                Pick::Wait(until) => until.since(self.now()),
                Pick::Nobody => return None,
            };
            match tokio::time::timeout(Duration::from(left), asks.next()).await {
                Ok(Some((id, reply))) if choice.record(&id, reply) => {
                    log::info!(database:% = id, word:? = reply; "a candidate reports its state");
                }
                Ok(Some(_)) | Err(_) => {}
                Ok(None) => return None,
            }
        }
    }
}
