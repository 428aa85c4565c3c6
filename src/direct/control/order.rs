//! Orders the promotion of the next primary.

use crate::clock::{Span, Time};
use crate::direct::adapter::{Promoted, Promotion};
use crate::direct::control::Control;
use crate::direct::control::backoff::Backoff;
use crate::direct::control::change::{Lost, RETRY_DELAY, Replacement};
use crate::direct::control::duty::Renewed;
use crate::direct::control::promotion::{Permit, Reply};
use crate::direct::control::steward::Cause;
use crate::direct::statement::Standing;
use crate::types::{Birth, DatabaseId, Position};
use std::rc::Rc;

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
        let is_unordered = only && replacement.cause != Cause::Unfinished;
        let trusted = !before.primary || (is_unordered && *id == replacement.old);
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
}
