//! Resident memory of one core as its configuration, its list of VMs and the sessions that it
//! is the steward of grow. Databases are simulated and answer at once; there are no sockets.

use crate::clock::{Span, Time};
use crate::config::Accepted;
use crate::core::database::{Command, Event, Order, Reply, State};
use crate::core::lineage::Lineage;
use crate::core::member::Identity;
use crate::core::node::{Input, Node};
use crate::core::output::Output;
use crate::core::request::{Kind, Request, Status};
use crate::process;
use crate::slopes::deployment;
use crate::slopes::report::{Level, level};
use crate::types::{
    DatabaseId, GroupId, Invalid, Life, Link, Offset, Position, RequestId, Term, Version,
};
use bytes::Bytes;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// How long a core has to take the lead of its groups.
const WARM_UP: Span = Span::from_secs(4);

const TICK_INTERVAL: Span = Span::from_millis(10);

/// Groups that sessions are spread over: a group remembers 16,384 of them.
const SESSION_GROUPS: usize = 8;

/// One core, and databases that answer at once.
struct Simulation {
    node: Node,
    now: Time,
    inputs: VecDeque<Input>,
    terms: HashMap<DatabaseId, (Term, bool)>,
    /// The log of each group, which its replicas receive at the same time as its primary.
    logs: HashMap<GroupId, Lineage>,
    groups: HashMap<DatabaseId, GroupId>,
    offset: u64,
    done: usize,
}

impl Simulation {
    fn new(groups: usize, vms: usize) -> Result<Self, Invalid> {
        let members = deployment::members(vms)?;
        let me = members.first().cloned();
        let (vm, domain) = match me {
            Some(member) => (member.vm, member.domain),
            None => ("vm-0".parse()?, "domain-0".parse()?),
        };
        let identity = Identity {
            vm,
            domain,
            life: Life(1),
        };
        let mut simulation = Self {
            node: Node::new(identity, Time::default()),
            now: Time::default(),
            inputs: VecDeque::new(),
            terms: HashMap::new(),
            logs: HashMap::new(),
            groups: HashMap::new(),
            offset: 0,
            done: 0,
        };
        let document = deployment::document(groups)?;
        for (group, database, _) in document.databases() {
            simulation.groups.insert(database.clone(), group.clone());
        }
        simulation.handle(Input::Members(members));
        simulation.handle(Input::Accepted(Arc::new(Accepted {
            version: Version(1),
            document,
        })));
        Ok(simulation)
    }

    fn run(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + TICK_INTERVAL;
            self.handle(Input::Tick);
        }
    }

    fn handle(&mut self, input: Input) {
        self.inputs.push_back(input);
        while let Some(input) = self.inputs.pop_front() {
            let mut outputs = Vec::new();
            self.node.handle(self.now, input, &mut outputs);
            for output in outputs {
                self.carry_out(output);
            }
        }
    }

    fn carry_out(&mut self, output: Output) {
        let event = match output {
            Output::Reply { outcome, .. } => {
                if matches!(outcome, crate::core::request::Outcome::Done(_)) {
                    self.done += 1;
                }
                return;
            }
            Output::Send { to, .. } => return self.inputs.push_back(Input::PeerDown(to)),
            Output::Database(Command::Connect { conn, .. }) => Event::Connected { conn },
            Output::Database(Command::Run { conn, run }) => {
                self.offset += 1;
                Event::Answered {
                    conn,
                    reply: self.reply(run.request, run.term),
                }
            }
            Output::Database(Command::Control {
                id,
                database,
                order,
                ..
            }) => Event::Controlled {
                id,
                result: self.execute(&database, order).map(Ok),
            },
            _ => return,
        };
        self.inputs.push_back(Input::Database(event));
    }

    fn position(&self, term: Term) -> Position {
        Position::new(term, Offset(self.offset))
    }

    fn reply(&self, request: RequestId, term: Option<Term>) -> Reply {
        let position = self.position(term.unwrap_or_default());
        Reply {
            request,
            body: Bytes::new(),
            status: Status::Idle,
            applied: position,
            wrote: term.map(|_| position),
        }
    }

    fn execute(&mut self, database: &DatabaseId, order: Order) -> Option<State> {
        let offset = Offset(self.offset);
        let (term, open) = self.terms.entry(database.clone()).or_default();
        let lineage = self
            .logs
            .entry(self.groups.get(database)?.clone())
            .or_default();
        match order {
            Order::Raise(new) => (*term, *open) = (new, false),
            Order::Open(new) => {
                if !*open {
                    lineage.open(new, Position::new(new, offset));
                }
                *open = true;
            }
            Order::Report | Order::Reach(_) => {}
        }
        let end = Position::new(lineage.last().unwrap_or_default(), offset);
        Some(State {
            term: *term,
            position: end,
            applied: end,
            open: *open,
            lineage: lineage.clone(),
        })
    }

    fn write(&mut self, number: usize) -> Result<(), Invalid> {
        let request = Request {
            link: Link(1),
            session: Some(format!("broker-{number}").parse()?),
            caller: "broker".parse()?,
            pool: "desk".parse()?,
            group: format!("ledger{}", number % SESSION_GROUPS).parse()?,
            kind: Kind::Write,
            max_age: None,
            key: None,
            token_floor: None,
            deadline: self.now + Span::from_secs(5),
            body: Bytes::from_static(b"x"),
        };
        self.handle(Input::Submit(request));
        Ok(())
    }
}

/// Number of cores of each size, so that memory which one of them reuses has little weight.
const CORES_PER_SIZE: usize = 4;

/// Levels of memory, and the measured cores.
///
/// The cores are kept until all measurements are done: memory freed by them would be reused and
/// hide the use of the next ones.
pub struct Measured {
    /// The memory of one core.
    pub levels: Vec<Level>,
    /// Number of requests that were answered.
    pub done: usize,
    kept: Vec<Simulation>,
}

impl std::fmt::Debug for Measured {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Measured")
            .field("levels", &self.levels)
            .field("done", &self.done)
            .field("kept", &self.kept.len())
            .finish()
    }
}

/// Memory of a steward at each of `counts` of sessions, each with one write.
pub fn sessions(counts: &[usize]) -> Result<Measured, Invalid> {
    let mut simulation = Simulation::new(SESSION_GROUPS, 1)?;
    simulation.run(WARM_UP);
    let mut levels = vec![resident(0)];
    let mut number = 0;
    for &count in counts {
        while number < count {
            simulation.write(number)?;
            number += 1;
            // Deadlines and probes continue, as between a proxy's statements.
            if number % 64 == 0 {
                simulation.run(TICK_INTERVAL);
            }
        }
        levels.push(resident(count));
    }
    Ok(Measured {
        levels,
        done: simulation.done,
        kept: vec![simulation],
    })
}

/// Memory of one core by the number of VMs in its list.
pub fn vms(counts: &[usize]) -> Result<Measured, Invalid> {
    grow(counts, |count| Simulation::new(1, count))
}

/// Memory of one core by the groups of its configuration, each of three databases; it holds few
/// of them, as at full size.
pub fn groups(counts: &[usize]) -> Result<Measured, Invalid> {
    grow(counts, |count| Simulation::new(count, 580))
}

fn grow(
    counts: &[usize],
    make: impl Fn(usize) -> Result<Simulation, Invalid>,
) -> Result<Measured, Invalid> {
    let mut levels = Vec::new();
    // Memory that only the first core allocates is not counted.
    let mut kept = vec![make(1)?];
    for &count in counts {
        let before = resident(0);
        for _ in 0..CORES_PER_SIZE {
            kept.push(make(count)?);
        }
        let after = resident(count);
        levels.push(Level {
            count,
            bytes: after.bytes.saturating_sub(before.bytes) / CORES_PER_SIZE as u64,
            spread: before.spread.max(after.spread),
        });
    }
    Ok(Measured {
        levels,
        done: 0,
        kept,
    })
}

fn resident(count: usize) -> Level {
    level(count, || process::resident().unwrap_or_default())
}
