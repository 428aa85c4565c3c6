//! A database that keeps a log of rows, and its faults.

use crate::clock::{Span, Time};
use crate::core::database::{Event, Order, Refusal, Reply, Run, State};
use crate::core::lineage::Lineage;
use crate::core::request::Status;
use crate::core::term::may_raise;
use crate::types::{ConnId, DatabaseId, Life, Offset, Position, RequestId, RequestKey, Term, VmId};
use std::collections::{BTreeMap, VecDeque};

/// How long an order to reach a position is kept waiting.
const REACH: Span = Span::from_secs(1);

/// A connection, as the database knows it.
pub(super) type Owner = (VmId, Life, ConnId);

/// An entry of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// The term that wrote it.
    pub term: Term,
    /// What it is about.
    pub key: Box<str>,
    /// What was written.
    pub value: Box<str>,
    /// The key of the request.
    pub request: Option<RequestKey>,
}

/// One database.
#[derive(Debug)]
pub struct Base {
    /// Its name.
    pub id: DatabaseId,
    /// Whether its process runs.
    pub up: bool,
    /// Takes everything and answers nothing until it thaws.
    pub frozen: bool,
    /// Receives nothing of the primary's log.
    pub stalled: bool,
    /// How long a row that it received takes to be applied.
    pub lag: Span,
    /// How many connections it accepts.
    pub limit: usize,
    /// The next answers that are lost after their effect.
    pub lose_answers: u32,
    pub(super) term: Term,
    pub(super) open: bool,
    /// The log.
    pub log: Vec<Row>,
    /// Every row that it ever wrote itself.
    pub(super) ran: Vec<Row>,
    lineage: Lineage,
    applied: usize,
    replay: VecDeque<(Time, usize)>,
    /// The open connections, each with the rows of its transaction.
    pub(super) connections: BTreeMap<Owner, Option<Vec<Row>>>,
    /// Connections that something between the two ends has lost track of.
    pub(super) silent: Vec<Owner>,
    pub(super) held: VecDeque<(VmId, Life, crate::core::database::Command)>,
    waits: Vec<Wait>,
}

/// What a primary offers those that follow it.
#[derive(Debug)]
pub(super) struct Offer {
    pub from: DatabaseId,
    term: Term,
    log: Vec<Row>,
    lineage: Lineage,
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
            term: crate::config::FIRST_TERM,
            open: false,
            log: Vec::new(),
            ran: Vec::new(),
            lineage: Lineage::default(),
            applied: 0,
            replay: VecDeque::new(),
            connections: BTreeMap::new(),
            silent: Vec::new(),
            held: VecDeque::new(),
            waits: Vec::new(),
        }
    }

    /// Its connections go silent for good; new ones work.
    pub fn silence(&mut self) {
        self.silent.extend(self.connections.keys().cloned());
    }

    fn position(&self, length: usize) -> Position {
        let last = length.checked_sub(1).and_then(|last| self.log.get(last));
        let term = last.map_or(Term(0), |row| row.term);
        Position::new(term, Offset(length as u64))
    }

    fn state(&self) -> State {
        State {
            term: self.term,
            position: self.position(self.log.len()),
            applied: self.position(self.applied),
            open: self.open,
            lineage: self.lineage.clone(),
        }
    }

    /// Carries out an order; `None` if its answer comes later.
    pub(super) fn order(
        &mut self,
        now: Time,
        owner: (&VmId, Life),
        id: RequestId,
        order: Order,
    ) -> Option<Event> {
        let refusal = Err(Refusal::Term(self.term));
        let result = match order {
            Order::Report => Ok(self.state()),
            Order::Raise(term) if may_raise(self.term, term) => {
                self.term = term;
                self.open = false;
                Ok(self.state())
            }
            Order::Open(term) if term == self.term => {
                if !self.open {
                    self.lineage.open(term, self.position(self.log.len()));
                    self.applied = self.log.len();
                    self.replay.clear();
                    self.open = true;
                }
                Ok(self.state())
            }
            Order::Raise(_) | Order::Open(_) => refusal,
            Order::Reach(position) => {
                let end = self.position(self.log.len());
                if !self.lineage.holds(end, position) {
                    self.waits.push(Wait {
                        vm: owner.0.clone(),
                        life: owner.1,
                        id,
                        position,
                        until: now + REACH,
                    });
                    return None;
                }
                Ok(self.state())
            }
        };
        let result = Some(result);
        Some(Event::Controlled { id, result })
    }

    /// Runs work; `None` if the connection is gone or nothing is heard of it.
    pub(super) fn run(&mut self, owner: &Owner, run: Run) -> Option<Event> {
        let conn = owner.2;
        let request = run.request;
        let refused = |refusal| Event::Refused {
            conn,
            request,
            refusal,
        };
        let open = self.connections.get(owner)?.clone();
        if run.term.is_some_and(|term| term != self.term) {
            return Some(refused(Refusal::Term(self.term)));
        }
        let text = String::from_utf8_lossy(&run.body).into_owned();
        let (verb, rest) = text.split_once(' ').unwrap_or((&text, ""));
        if verb == "write" && !self.open {
            return Some(refused(Refusal::ReadOnly));
        }
        let mut wrote = None;
        let mut body = verb.to_owned();
        let mut now_open = open.clone();
        match (verb, open) {
            ("begin", _) => now_open = Some(Vec::new()),
            ("write", open) => {
                let (key, value) = rest.split_once('=').unwrap_or((rest, ""));
                let row = Row {
                    term: self.term,
                    key: key.into(),
                    value: value.into(),
                    request: run.key,
                };
                body = format!("wrote {key}");
                match open {
                    Some(mut rows) => {
                        rows.push(row);
                        now_open = Some(rows);
                    }
                    None => wrote = Some(self.append(row)),
                }
            }
            ("read", _) => body = self.read(rest),
            ("commit", Some(rows)) => {
                for mut row in rows {
                    if !self.open {
                        return Some(refused(Refusal::ReadOnly));
                    }
                    row.term = self.term;
                    wrote = Some(self.append(row));
                }
                now_open = None;
            }
            _ => now_open = None,
        }
        let status = match now_open {
            Some(_) => Status::Open,
            None => Status::Idle,
        };
        self.connections.insert(owner.clone(), now_open);
        if self.lose_answers > 0 {
            self.lose_answers -= 1;
            self.connections.remove(owner);
            return Some(Event::Closed { conn });
        }
        let reply = Reply {
            request,
            body: body.into(),
            status,
            applied: self.position(self.applied),
            wrote,
        };
        Some(Event::Answered { conn, reply })
    }

    fn read(&self, key: &str) -> String {
        let applied = &self.log[..self.applied];
        let rows = applied.iter().filter(|row| &*row.key == key);
        let values: Vec<&str> = rows.map(|row| &*row.value).collect();
        format!("{key}: {}", values.join(","))
    }

    /// Appends a row, unless its request key is there already.
    fn append(&mut self, row: Row) -> Position {
        let known = row.request.is_some() && self.log.iter().any(|r| r.request == row.request);
        if !known {
            self.ran.push(row.clone());
            self.log.push(row);
            self.applied = self.log.len();
        }
        self.position(self.log.len())
    }

    /// Takes over the log of a primary of this database's term.
    pub(super) fn follow(&mut self, now: Time, offer: &Offer) {
        let Offer { log, lineage, .. } = offer;
        let same = self.log == *log && self.lineage == *lineage;
        if offer.term != self.term || self.open || same {
            return;
        }
        let pairs = self.log.iter().zip(log);
        let same = pairs.take_while(|(a, b)| a == b).count();
        self.applied = self.applied.min(same);
        self.replay.retain(|(_, length)| *length <= same);
        self.log = log.clone();
        self.lineage = lineage.clone();
        self.replay.push_back((now + self.lag, log.len()));
    }

    pub(super) fn offer(&self) -> Option<Offer> {
        let offers = self.open && self.up && !self.frozen;
        offers.then(|| Offer {
            from: self.id.clone(),
            term: self.term,
            log: self.log.clone(),
            lineage: self.lineage.clone(),
        })
    }

    /// Applies what is due, and answers orders whose position is reached or that waited long.
    pub(super) fn pump(&mut self, now: Time) -> Vec<(VmId, Life, Event)> {
        while let Some((due, length)) = self.replay.front().copied()
            && due <= now
        {
            self.replay.pop_front();
            self.applied = self.applied.max(length.min(self.log.len()));
        }
        let end = self.position(self.log.len());
        let (state, lineage) = (self.state(), self.lineage.clone());
        let over = |wait: &mut Wait| wait.until <= now || lineage.holds(end, wait.position);
        let ended = self.waits.extract_if(.., over);
        let event = |wait: Wait| {
            let id = wait.id;
            let result = Some(Ok(state.clone()));
            (wait.vm, wait.life, Event::Controlled { id, result })
        };
        ended.map(event).collect()
    }
}
