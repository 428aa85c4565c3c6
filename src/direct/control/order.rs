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

/// What a database shows after its promotion was ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// It leads.
    Leads,
    /// It refuses connections, or is not registered any more.
    Absent,
    /// Nothing yet.
    Unknown,
}

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
    ///
    /// A refused connection does not show that the database has ended: a partition may refuse it
    /// too. The platform tells with the next order whether it runs. If it does, another one is
    /// chosen only once no order to this one can take effect any more: two databases would be
    /// primary in turn otherwise.
    async fn order_one(
        self: &Rc<Self>,
        replacement: &Replacement,
        chosen: &Successor,
        before: Standing,
        only: bool,
    ) -> Result<bool, Lost> {
        let id = &chosen.id;
        let mut backoff = Backoff::default();
        // By when the last order has taken effect if it ever does.
        let mut settled: Option<Time> = None;
        let mut was_absent = false;
        let from = self.now();
        loop {
            if self
                .registered(id)
                .is_some_and(|now| now.born != chosen.born)
            {
                self.wait_until_settled(settled).await;
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
            let settles = self.now() + MAX_PROMOTION_TIME;
            match promoted {
                Promoted::Done => {
                    settled = Some(settles);
                    let absent_from = if was_absent { settles } else { Time::default() };
                    match self
                        .wait_until_leads(replacement, id, before, only, absent_from)
                        .await
                    {
                        Progress::Leads => return Ok(true),
                        Progress::Absent if was_absent => return Ok(false),
                        Progress::Absent => was_absent = true,
                        Progress::Unknown => {}
                    }
                }
                Promoted::NotRunning => return Ok(false),
                Promoted::Refused if settled.is_none() && from + MAX_REFUSAL <= self.now() => {
                    return Ok(false);
                }
                Promoted::Refused => {}
                Promoted::Unknown => {
                    settled = Some(settles);
                    if self.registered(id).is_none() {
                        self.wait_until_settled(settled).await;
                        return Ok(false);
                    }
                }
            }
            backoff.wait(self.random()).await;
        }
    }

    /// Waits until no order can take effect any more.
    async fn wait_until_settled(&self, settled: Option<Time>) {
        let left = settled.map_or(Span::ZERO, |settled| settled.since(self.now()));
        tokio::time::sleep(left.into()).await;
    }

    /// Waits until a database whose promotion was ordered leads. That it refuses connections, or is
    /// not registered, ends the wait only from `absent_from` on.
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
        absent_from: Time,
    ) -> Progress {
        let until = self.now() + LEAD_TIMEOUT;
        let settled = self.now() + MAX_PROMOTION_TIME;
        let is_unordered = only && replacement.cause != Cause::Unfinished;
        let trusted = !before.primary || (is_unordered && *id == replacement.old);
        let is_new = |standing: Standing| trusted || standing.term > before.term;
        while self.now() < until {
            let reply = match self.registered(id) {
                Some(database) => self.standing(&database).await,
                None => Reply::Absent,
            };
            match reply {
                Reply::Stands(standing)
                    if standing.primary && (is_new(standing) || self.now() >= settled) =>
                {
                    log::info!(group:% = replacement.group, database:% = id, term:% = standing.term; "it leads");
                    return Progress::Leads;
                }
                Reply::Absent if self.now() >= absent_from => return Progress::Absent,
                _ => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
        Progress::Unknown
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
