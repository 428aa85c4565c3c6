//! A simulated database with its connections and faults.

use super::log::{Log, Row};
use crate::clock::{Span, Time};
use crate::core::database::{Event, Order, Refusal, Run};
use crate::types::{ConnId, DatabaseId, Life, Position, RequestId, RequestKey, VmId};
use std::collections::{BTreeMap, VecDeque};

/// How long an order to reach a position may wait before it is answered.
const REACH_TIMEOUT: Span = Span::from_secs(1);

/// Identifies a connection: its VM, the life of that VM's process, and the connection's id.
pub(super) type Owner = (VmId, Life, ConnId);

/// One simulated database.
#[derive(Debug)]
pub struct Base {
    /// Its name.
    pub id: DatabaseId,
    /// Whether its process runs.
    pub up: bool,
    /// Whether it is paused: it accepts commands but answers none until it resumes.
    pub frozen: bool,
    /// Whether replication from the primary is stopped.
    pub stalled: bool,
    /// The delay between receiving a row and applying it.
    pub lag: Span,
    /// The maximum number of connections.
    pub limit: usize,
    /// How many of the next answers are lost after the statement has taken effect.
    pub lose_answers: u32,
    /// The rows it has written and received.
    pub log: Log,
    /// Every row that it has written itself as primary, even if its log has lost it since.
    pub(super) ran: Vec<Row>,
    replay: VecDeque<(Time, usize)>,
    /// The open connections, each with the uncommitted rows of its transaction.
    pub(super) connections: BTreeMap<Owner, Option<Vec<Row>>>,
    /// Connections that the network has dropped without notifying either end.
    pub(super) silent: Vec<Owner>,
    pub(super) deferred: VecDeque<(VmId, Life, crate::core::database::Command)>,
    waits: Vec<Wait>,
}

/// A copy of a primary's log for its replicas.
#[derive(Debug)]
pub(super) struct Offer {
    pub from: DatabaseId,
    log: Log,
}

/// An order to reach a position that is not reached yet.
#[derive(Debug)]
struct Wait {
    vm: VmId,
    life: Life,
    id: RequestId,
    position: Position,
    until: Time,
}

/// The effect of a statement.
struct Effect {
    body: String,
    wrote: Option<Position>,
    /// The uncommitted rows of the transaction that is open afterwards.
    open: Option<Vec<Row>>,
}

impl Base {
    pub(super) fn new(id: DatabaseId) -> Self {
        Self {
            id,
            up: true,
            frozen: false,
            stalled: false,
            lag: Span::from_millis(20),
            limit: 25,
            lose_answers: 0,
            log: Log::default(),
            ran: Vec::new(),
            replay: VecDeque::new(),
            connections: BTreeMap::new(),
            silent: Vec::new(),
            deferred: VecDeque::new(),
            waits: Vec::new(),
        }
    }

    /// Makes its open connections silent permanently; new ones work.
    pub fn silence(&mut self) {
        self.silent.extend(self.connections.keys().cloned());
    }

    /// Carries out an order; `None` if its answer comes later.
    pub(super) fn order(
        &mut self,
        now: Time,
        owner: (&VmId, Life),
        id: RequestId,
        order: Order,
    ) -> Option<Event> {
        let was_open = self.log.open;
        let result = self.log.order(order);
        if self.log.open && !was_open {
            self.replay.clear();
        }
        if let (None, Order::Reach(position)) = (&result, order) {
            self.waits.push(Wait {
                vm: owner.0.clone(),
                life: owner.1,
                id,
                position,
                until: now + REACH_TIMEOUT,
            });
        }
        let result = Some(result?);
        Some(Event::Controlled { id, result })
    }

    /// Runs a statement; `None` if the connection is not open.
    pub(super) fn run(&mut self, owner: &Owner, run: Run) -> Option<Event> {
        let conn = owner.2;
        let request = run.request;
        let refused = |refusal| Event::Refused {
            conn,
            request,
            refusal,
        };
        let open = self.connections.get(owner)?.clone();
        if run.term.is_some_and(|term| term != self.log.term) {
            return Some(refused(Refusal::Term(self.log.term)));
        }
        let text = String::from_utf8_lossy(&run.body).into_owned();
        let effect = match self.execute(open, &text, run.key) {
            Ok(effect) => effect,
            Err(refusal) => return Some(refused(refusal)),
        };
        let (body, opened) = (effect.body, effect.open.is_some());
        self.connections.insert(owner.clone(), effect.open);
        if self.lose_answers > 0 {
            self.lose_answers -= 1;
            self.connections.remove(owner);
            return Some(Event::Closed { conn });
        }
        let reply = self.log.reply(request, body, opened, effect.wrote);
        Some(Event::Answered { conn, reply })
    }

    /// Executes a statement on a connection whose open transaction, if any, holds the rows `open`.
    fn execute(
        &mut self,
        open: Option<Vec<Row>>,
        text: &str,
        request: Option<RequestKey>,
    ) -> Result<Effect, Refusal> {
        let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
        if verb == "write" && !self.log.open {
            return Err(Refusal::ReadOnly);
        }
        let mut effect = Effect {
            body: verb.to_owned(),
            wrote: None,
            open: None,
        };
        match (verb, open) {
            ("begin", _) => effect.open = Some(Vec::new()),
            ("write", open) => {
                let row = self.row(rest, request);
                effect.body = format!("wrote {}", row.key);
                match open {
                    Some(mut rows) => {
                        rows.push(row);
                        effect.open = Some(rows);
                    }
                    None => effect.wrote = Some(self.append(row)),
                }
            }
            ("read", open) => {
                effect.body = self.read(rest);
                effect.open = open;
            }
            ("commit", Some(rows)) => {
                for mut row in rows {
                    if !self.log.open {
                        return Err(Refusal::ReadOnly);
                    }
                    row.term = self.log.term;
                    effect.wrote = Some(self.append(row));
                }
            }
            _ => {}
        }
        Ok(effect)
    }

    /// Builds a row from `KEY=VALUE`.
    fn row(&self, text: &str, request: Option<RequestKey>) -> Row {
        let (key, value) = text.split_once('=').unwrap_or((text, ""));
        Row {
            term: self.log.term,
            key: key.into(),
            value: value.into(),
            request,
        }
    }

    fn read(&self, key: &str) -> String {
        let rows = self.log.seen().iter().filter(|row| &*row.key == key);
        let values: Vec<&str> = rows.map(|row| &*row.value).collect();
        format!("{key}: {}", values.join(","))
    }

    /// Appends a row unless the log already holds its request key.
    fn append(&mut self, row: Row) -> Position {
        if self.log.find(row.request.as_ref()).is_none() {
            self.ran.push(row.clone());
            self.log.push(row);
        }
        self.log.end()
    }

    /// Copies the log of the primary of this database's term and schedules its replay.
    pub(super) fn follow(&mut self, now: Time, offer: &Offer) {
        let (own, offered) = (&self.log, &offer.log);
        let unchanged = own.rows == offered.rows && own.lineage == offered.lineage;
        if offered.term != own.term || own.open || unchanged {
            return;
        }
        let common = self.log.replace(offered);
        self.replay.retain(|(_, length)| *length <= common);
        let length = self.log.rows.len();
        self.replay.push_back((now + self.lag, length));
    }

    pub(super) fn offer(&self) -> Option<Offer> {
        let offers = self.log.open && self.up && !self.frozen;
        offers.then(|| Offer {
            from: self.id.clone(),
            log: self.log.clone(),
        })
    }

    /// Applies the rows that are due, and answers orders whose position is reached or that timed out.
    pub(super) fn replicate(&mut self, now: Time) -> Vec<(VmId, Life, Event)> {
        while let Some((due, length)) = self.replay.front().copied()
            && due <= now
        {
            self.replay.pop_front();
            self.log.apply(length);
        }
        let (state, log) = (self.log.state(), &self.log);
        let finished = |wait: &mut Wait| wait.until <= now || log.holds(wait.position);
        let ended = self.waits.extract_if(.., finished);
        let event = |wait: Wait| {
            let id = wait.id;
            let result = Some(Ok(state.clone()));
            (wait.vm, wait.life, Event::Controlled { id, result })
        };
        ended.map(event).collect()
    }
}
