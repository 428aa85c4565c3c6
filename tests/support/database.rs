//! A simulated database with a log of texts, for the tests of the core.

use super::World;
use lentilspoke::clock::Span;
use lentilspoke::core::database::{Command, Event, Order, Refusal, Run};
use lentilspoke::standin::fake::log::{Log, Row};
use lentilspoke::types::{ConnId, DatabaseId, Position, RequestId, RequestKey, VmId};
use std::collections::BTreeMap;

/// One database. Its statements are `w TEXT`, which writes, `r`, which reads all texts, `begin`,
/// `commit` and `rollback`.
#[derive(Debug, Clone)]
pub struct Database {
    pub name: DatabaseId,
    pub up: bool,
    /// Whether commands are dropped without an answer.
    pub frozen: bool,
    /// Whether statements get no answer and are not run; new connections and orders still get answers.
    pub silent: bool,
    pub log: Log,
    pub lag: Span,
    /// The execution time of a statement.
    pub work: Span,
    pub connections: BTreeMap<(VmId, ConnId), Option<Vec<String>>>,
    /// How many of the next answers are lost after the statement has taken effect.
    pub lose_answers: u32,
    /// How many of the next statements are refused without being run.
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
            log: Log::default(),
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
        texts(&self.log.rows)
    }

    pub fn just_opened(&mut self) -> bool {
        std::mem::take(&mut self.opened)
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
        let was_open = self.log.open;
        let result = self.log.order(order);
        self.opened |= self.log.open && !was_open;
        if let (None, Order::Reach(position)) = (&result, order) {
            self.waits.push((vm.clone(), id, position));
        }
        let result = Some(result?);
        Some(Event::Controlled { id, result })
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
        if run.term.is_some_and(|term| term != self.log.term) {
            return refuse(Refusal::Term(self.log.term));
        }
        let text = String::from_utf8(run.body.to_vec()).unwrap();
        let (verb, rest) = text.split_once(' ').unwrap_or((&text, ""));
        let open = self.connections.get(&(vm.clone(), conn)).cloned()?;
        if verb == "w" && !self.log.open {
            return refuse(Refusal::ReadOnly);
        }
        if self.silent {
            return None;
        }
        self.runs += 1;
        let (opened, wrote) = self.perform(open, verb, rest, run.key);
        let body = texts(self.log.seen()).join(",");
        let reply = self.log.reply(request, body, opened.is_some(), wrote);
        self.connections.insert((vm.clone(), conn), opened);
        if self.lose_answers > 0 {
            self.lose_answers -= 1;
            self.connections.remove(&(vm.clone(), conn));
            return Some(Event::Closed { conn });
        }
        Some(Event::Answered { conn, reply })
    }

    /// Executes a statement. Returns the transaction that is open afterwards and the position of the
    /// statement's last write.
    fn perform(
        &mut self,
        open: Option<Vec<String>>,
        verb: &str,
        rest: &str,
        key: Option<RequestKey>,
    ) -> (Option<Vec<String>>, Option<Position>) {
        match (verb, open) {
            ("begin", _) => (Some(Vec::new()), None),
            ("w", Some(mut pending)) => {
                pending.push(rest.into());
                (Some(pending), None)
            }
            ("w", None) => (None, Some(self.append(rest, key))),
            ("commit", Some(pending)) => {
                let mut wrote = None;
                for text in &pending {
                    wrote = Some(self.append(text, None));
                }
                (None, wrote)
            }
            ("rollback", _) => (None, None),
            (_, open) => (open, None),
        }
    }

    fn append(&mut self, text: &str, request: Option<RequestKey>) -> Position {
        if let Some(position) = self.log.find(request.as_ref()) {
            return position;
        }
        self.log.push(Row {
            term: self.log.term,
            key: "".into(),
            value: text.into(),
            request,
        })
    }

    /// Copies the log of `source` if it is the primary of this database's term. Returns the answers to
    /// orders whose position is reached.
    pub fn follow(&mut self, source: &Database) -> Vec<(VmId, Event)> {
        let leads = source.log.open && source.up && source.log.term == self.log.term;
        if !self.up || self.frozen || !leads {
            return Vec::new();
        }
        self.log.replace(&source.log);
        let (state, log) = (self.log.state(), &self.log);
        let reached = self
            .waits
            .extract_if(.., |(_, _, wanted)| log.holds(*wanted));
        let event = |(vm, id, _)| {
            let result = Some(Ok(state.clone()));
            (vm, Event::Controlled { id, result })
        };
        reached.map(event).collect()
    }

    pub fn apply(&mut self, length: usize) {
        if self.up && !self.log.open {
            self.log.apply(length);
        }
    }
}

fn texts(rows: &[Row]) -> Vec<&str> {
    rows.iter().map(|row| &*row.value).collect()
}

impl World {
    /// Returns the group's steward and another VM.
    pub fn steward_and_other(&self) -> (String, &'static str) {
        let steward = self.steward().unwrap().to_string();
        let other = if steward == "vm1" { "vm2" } else { "vm1" };
        (steward, other)
    }

    /// Partitions the first primary from both replicas.
    pub fn cut_replicas(&mut self) {
        for replica in ["b", "c"] {
            self.cut("a", replica);
        }
    }

    /// Sets the delay after which both replicas apply received entries.
    pub fn lag_replicas(&mut self, lag: Span) {
        for replica in ["b", "c"] {
            self.database(replica).lag = lag;
        }
    }
}
