//! A database that keeps a log of texts, as the core's tests need it.

use lentilspoke::clock::Span;
use lentilspoke::core::database::{Command, Event, Order, Refusal, Reply, Run, State};
use lentilspoke::core::lineage::Lineage;
use lentilspoke::core::request::Status;
use lentilspoke::core::term::may_raise;
use lentilspoke::types::{ConnId, DatabaseId, Offset, Position, RequestId, Term, VmId};
use std::collections::BTreeMap;

/// An entry of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    pub term: Term,
    pub text: String,
    pub key: Option<String>,
}

/// One database. `w TEXT` writes, `r` reads all, `begin`, `commit` and `rollback` do as named.
#[derive(Debug, Clone)]
pub struct Database {
    pub name: DatabaseId,
    pub up: bool,
    /// Takes everything and answers nothing.
    pub frozen: bool,
    /// Connections that are open get no answers any more; new ones do.
    pub silent: bool,
    pub term: Term,
    pub open: bool,
    pub log: Vec<Row>,
    pub applied: usize,
    pub lineage: Lineage,
    pub lag: Span,
    /// How long a statement takes.
    pub work: Span,
    pub connections: BTreeMap<(VmId, ConnId), Option<Vec<String>>>,
    /// The next answers that are lost after the effect.
    pub lose_answers: u32,
    /// The next statements that are refused unrun.
    pub refuse: u32,
    pub runs: u64,
    waits: Vec<(VmId, RequestId, Position)>,
    opened: bool,
}

impl Database {
    pub fn new(name: &DatabaseId) -> Self {
        Self {
            name: name.clone(),
            up: true,
            frozen: false,
            silent: false,
            term: Term(1),
            open: false,
            log: Vec::new(),
            applied: 0,
            lineage: Lineage::default(),
            lag: Span::ZERO,
            work: Span::ZERO,
            connections: BTreeMap::new(),
            lose_answers: 0,
            refuse: 0,
            runs: 0,
            waits: Vec::new(),
            opened: false,
        }
    }

    pub fn kill(&mut self) -> Vec<(VmId, ConnId)> {
        self.up = false;
        std::mem::take(&mut self.connections).into_keys().collect()
    }

    pub fn forget(&mut self, vm: &VmId) {
        self.connections.retain(|(owner, _), _| owner != vm);
    }

    pub fn open_transactions(&self) -> usize {
        self.connections
            .values()
            .filter(|open| open.is_some())
            .count()
    }

    pub fn texts(&self) -> Vec<&str> {
        self.log.iter().map(|row| row.text.as_str()).collect()
    }

    pub fn just_opened(&mut self) -> bool {
        std::mem::take(&mut self.opened)
    }

    fn position(&self, length: usize) -> Position {
        let term = length
            .checked_sub(1)
            .map_or(Term(0), |last| self.log[last].term);
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

    pub fn unreachable(&self, command: &Command) -> Option<Event> {
        match command {
            Command::Connect { conn, .. } => Some(Event::ConnectFailed {
                conn: *conn,
                full: false,
            }),
            Command::Control { id, .. } => Some(Event::Controlled {
                id: *id,
                result: None,
            }),
            _ => None,
        }
    }

    pub fn take(&mut self, vm: &VmId, command: Command) -> Option<Event> {
        if !self.up {
            if let Command::Run { conn, .. } = command {
                return Some(Event::Closed { conn });
            }
            return self.unreachable(&command);
        }
        if self.frozen {
            return None;
        }
        match command {
            Command::Connect { conn, .. } => {
                self.connections.insert((vm.clone(), conn), None);
                Some(Event::Connected { conn })
            }
            Command::Close { conn } => {
                self.connections.remove(&(vm.clone(), conn));
                None
            }
            Command::Cancel { .. } => None,
            Command::Run { conn, run } => self.run(vm, conn, run),
            Command::Control { id, order, .. } => self.order(vm, id, order),
        }
    }

    fn order(&mut self, vm: &VmId, id: RequestId, order: Order) -> Option<Event> {
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
                    (self.open, self.opened) = (true, true);
                }
                Ok(self.state())
            }
            Order::Raise(_) | Order::Open(_) => refusal,
            Order::Reach(position) => {
                let end = self.position(self.log.len());
                if !self.lineage.holds(end, position) {
                    self.waits.push((vm.clone(), id, position));
                    return None;
                }
                Ok(self.state())
            }
        };
        Some(Event::Controlled {
            id,
            result: Some(result),
        })
    }

    fn run(&mut self, vm: &VmId, conn: ConnId, run: Run) -> Option<Event> {
        let request = run.request;
        let refuse = |refusal| {
            Some(Event::Refused {
                conn,
                request,
                refusal,
            })
        };
        if self.refuse > 0 {
            self.refuse -= 1;
            return refuse(Refusal::KeyBusy);
        }
        if run.term.is_some_and(|term| term != self.term) {
            return refuse(Refusal::Term(self.term));
        }
        let text = String::from_utf8(run.body.to_vec()).unwrap();
        let (verb, rest) = text.split_once(' ').unwrap_or((&text, ""));
        let open = self.connections.get(&(vm.clone(), conn)).cloned()?;
        if verb == "w" && !self.open {
            return refuse(Refusal::ReadOnly);
        }
        if self.silent {
            return None;
        }
        self.runs += 1;
        let key = run.key.map(|key| key.to_string());
        let mut wrote = None;
        let mut now_open = open.clone();
        match (verb, open) {
            ("begin", _) => now_open = Some(Vec::new()),
            ("w", Some(mut pending)) => {
                pending.push(rest.into());
                now_open = Some(pending);
            }
            ("w", None) => wrote = Some(self.append(rest, key)),
            ("commit", Some(pending)) => {
                for text in &pending {
                    wrote = Some(self.append(text, None));
                }
                now_open = None;
            }
            ("rollback", _) => now_open = None,
            _ => {}
        }
        let seen: Vec<&str> = self.log[..self.applied]
            .iter()
            .map(|r| r.text.as_str())
            .collect();
        let body = seen.join(",");
        let status = if now_open.is_some() {
            Status::Open
        } else {
            Status::Idle
        };
        self.connections.insert((vm.clone(), conn), now_open);
        if self.lose_answers > 0 {
            self.lose_answers -= 1;
            self.connections.remove(&(vm.clone(), conn));
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

    fn append(&mut self, text: &str, key: Option<String>) -> Position {
        let done = |row: &Row| key.is_some() && row.key == key;
        if let Some(index) = self.log.iter().position(done) {
            return self.position(index + 1);
        }
        self.log.push(Row {
            term: self.term,
            text: text.into(),
            key,
        });
        self.applied = self.log.len();
        self.position(self.log.len())
    }

    /// Takes over the log of `source`, if that is the primary of this database's term.
    pub fn follow(&mut self, source: &Database) -> Vec<(VmId, Event)> {
        let leads = source.open && source.up && source.term == self.term;
        if !self.up || self.frozen || !leads {
            return Vec::new();
        }
        let same = self
            .log
            .iter()
            .zip(&source.log)
            .take_while(|(a, b)| a == b)
            .count();
        self.applied = self.applied.min(same);
        self.log = source.log.clone();
        self.lineage = source.lineage.clone();
        let end = self.position(self.log.len());
        let (state, lineage) = (self.state(), self.lineage.clone());
        let reached = self
            .waits
            .extract_if(.., |(_, _, wanted)| lineage.holds(end, *wanted));
        let event = |(vm, id, _)| {
            let result = Some(Ok(state.clone()));
            (vm, Event::Controlled { id, result })
        };
        reached.map(event).collect()
    }

    pub fn apply(&mut self, length: usize) {
        if self.up && !self.open {
            self.applied = self.applied.max(length.min(self.log.len()));
        }
    }
}
