//! Simulated callers, which record every statement they send and its answer.

use crate::direct::config::Kind;
use crate::direct::statement::{Answer, State};
use crate::standin::direct::link::Stream;
use crate::standin::direct::said::{Record, Said};
use crate::standin::direct::wire;
use crate::standin::direct::world::World;
use crate::types::VmId;
use bytes::BytesMut;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, sleep, timeout};

/// Timeout for the start of a session.
const START_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout for the answer to a statement.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// The number of distinct items that callers read and write.
const ITEM_COUNT: u64 = 8;

/// The names of prepared statements. All callers share them, so that names collide between
/// sessions.
const PREPARED_NAMES: [&str; 2] = ["p1", "p2"];

/// One open session.
#[derive(Debug)]
pub struct Session {
    stream: Stream,
    input: BytesMut,
    record: Record,
    number: u64,
    vm: VmId,
    organisation: Box<str>,
    route: Box<str>,
    kind: Kind,
    values: BTreeMap<Box<str>, Box<str>>,
    prepared: BTreeMap<Box<str>, (bool, Box<str>)>,
    operation: Option<Operation>,
}

/// The transaction that a statement belongs to.
#[derive(Debug, Clone, Copy)]
struct Operation {
    number: u64,
    since: Instant,
}

/// The session can't be used any more: its connection failed, timed out or was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Closed;

impl Session {
    /// Opens a session of a caller in a failure domain at a VM, with the key of that domain's callers.
    pub async fn open(
        world: &Rc<World>,
        record: &Record,
        domain: usize,
        vm: &VmId,
        route: &str,
    ) -> Result<Self, Closed> {
        Self::open_with(world, record, domain, vm, route, None).await
    }

    /// Opens a session with an explicit key instead of the domain's own.
    pub async fn open_with(
        world: &Rc<World>,
        record: &Record,
        domain: usize,
        vm: &VmId,
        route: &str,
        key: Option<&str>,
    ) -> Result<Self, Closed> {
        let kind = world.kind_of(route).ok_or(Closed)?;
        let stream = world.connect_caller(domain, vm).await.ok_or(Closed)?;
        let number = world.journal.borrow_mut().next_number();
        let own = format!("key{domain}");
        let key = key.unwrap_or(&own);
        let mut session = Self {
            stream,
            input: BytesMut::new(),
            record: record.clone(),
            number,
            vm: vm.clone(),
            organisation: world.holder_of(key),
            route: route.into(),
            kind,
            values: BTreeMap::new(),
            prepared: BTreeMap::new(),
            operation: None,
        };
        let mut output = BytesMut::new();
        wire::write_caller_start(&mut output, route, key);
        session.write(&output).await?;
        let answer = timeout(START_TIMEOUT, session.answer(true)).await;
        let answer = answer.map_err(|_| Closed)??;
        match answer.end {
            crate::direct::statement::End::Done(_) => Ok(session),
            crate::direct::statement::End::Error { .. } => Err(Closed),
        }
    }

    async fn write(&mut self, output: &[u8]) -> Result<(), Closed> {
        self.stream.write_all(output).await.map_err(|_| Closed)
    }

    async fn answer(&mut self, starting: bool) -> Result<Answer, Closed> {
        loop {
            match wire::read_answer(&mut self.input, starting) {
                Ok(Some(answer)) => return Ok(answer),
                Ok(None) => {}
                Err(_) => return Err(Closed),
            }
            let read = self.stream.read_buf(&mut self.input).await;
            if read.map_err(|_| Closed)? == 0 {
                return Err(Closed);
            }
        }
    }

    /// Sends one statement and waits for its answer, outside a transaction or in the one that
    /// [`Session::begin`] opened.
    pub async fn execute(&mut self, text: &str) -> Result<Answer, Closed> {
        let number = self.record_statement(text);
        let id = id_of(number);
        let mut output = BytesMut::new();
        wire::write_caller_query(&mut output, &id, text);
        self.write(&output).await?;
        let answer = timeout(ANSWER_TIMEOUT, self.answer(false)).await;
        let now = Instant::now();
        let answer = answer.ok().and_then(Result::ok);
        if let Some(said) = self.record.borrow_mut().find(number) {
            match &answer {
                Some(answer) => said.told = Some((now, answer.clone())),
                None => said.broke = Some(now),
            }
        }
        let answer = answer.ok_or(Closed)?;
        self.apply_answer(text, &answer);
        Ok(answer)
    }

    fn record_statement(&self, text: &str) -> u64 {
        let mut record = self.record.borrow_mut();
        let number = record.next();
        let now = Instant::now();
        let operation = self.operation;
        let shape = text.strip_prefix("exec ").and_then(|rest| {
            let name = rest.split(' ').next()?;
            self.prepared.get(name).map(|(_, shape)| shape.clone())
        });
        record.push(Said {
            number,
            id: id_of(number),
            text: text.into(),
            session: self.number,
            operation: operation.map_or(number, |operation| operation.number),
            transaction: operation.is_some(),
            vm: self.vm.clone(),
            organisation: self.organisation.clone(),
            route: self.route.clone(),
            kind: self.kind,
            values: self.values.clone(),
            shape,
            since: operation.map_or(now, |operation| operation.since),
            sent: now,
            told: None,
            broke: None,
        });
        number
    }

    fn apply_answer(&mut self, text: &str, answer: &Answer) {
        use crate::direct::statement::{End, Statement};
        if matches!(answer.end, End::Error { .. }) {
            return;
        }
        match wire::statement(text) {
            Statement::Set { name, value } => {
                self.values.insert(name, value);
            }
            Statement::Prepare {
                name,
                writes,
                shape,
            } => {
                self.prepared.insert(name, (writes, shape));
            }
            Statement::Deallocate { name } => {
                self.prepared.remove(&name);
            }
            _ => {}
        }
    }

    /// Opens a transaction.
    pub async fn begin(&mut self, read: bool) -> Result<Answer, Closed> {
        let number = self.record.borrow().next();
        self.operation = Some(Operation {
            number,
            since: Instant::now(),
        });
        let text = if read { "begin read" } else { "begin" };
        let answer = self.execute(text).await;
        if !matches!(&answer, Ok(answer) if answer.state == State::Open) {
            self.operation = None;
        }
        answer
    }

    /// Ends a transaction.
    pub async fn end(&mut self, commit: bool) -> Result<Answer, Closed> {
        let answer = self
            .execute(if commit { "commit" } else { "rollback" })
            .await;
        self.operation = None;
        answer
    }

    /// Closes the session in an orderly way.
    pub async fn close(mut self) {
        let mut output = BytesMut::new();
        wire::write_caller_bye(&mut output);
        let _ = self.write(&output).await;
    }
}

/// A caller that opens sessions and runs randomly chosen operations.
#[derive(Debug)]
pub struct Caller {
    /// The simulated world.
    pub world: Rc<World>,
    /// Where it records its statements.
    pub record: Record,
    /// Its failure domain, by number.
    pub domain: usize,
    /// The route that its sessions name.
    pub route: Box<str>,
    /// Its random number generator.
    pub random: ChaCha8Rng,
    /// The longest pause between operations and statements.
    pub pause: Duration,
    /// How many of twelve operations are single writes.
    pub writes: u64,
}

impl Caller {
    /// Creates a caller whose random numbers come from `seed`.
    pub fn new(
        world: &Rc<World>,
        record: &Record,
        domain: usize,
        route: &str,
        seed: u64,
        pause: Duration,
    ) -> Self {
        Self {
            world: world.clone(),
            record: record.clone(),
            domain,
            route: route.into(),
            random: ChaCha8Rng::seed_from_u64(seed),
            pause,
            writes: 3,
        }
    }

    /// Opens sessions and runs operations until `until`.
    pub async fn run(mut self, until: Instant) {
        while Instant::now() < until {
            self.pause().await;
            let Some(vm) = self.choose_vm() else { continue };
            let opened =
                Session::open(&self.world, &self.record, self.domain, &vm, &self.route).await;
            let Ok(session) = opened else { continue };
            let operations = 1 + self.below(8);
            let _ = self.session(session, operations, until).await;
        }
    }

    async fn session(
        &mut self,
        mut session: Session,
        operations: u64,
        until: Instant,
    ) -> Result<(), Closed> {
        for _ in 0..operations {
            self.operation(&mut session).await?;
            if Instant::now() >= until {
                break;
            }
            self.pause().await;
        }
        session.close().await;
        Ok(())
    }

    /// Runs one operation. Returns an error if the session should not be used further.
    async fn operation(&mut self, session: &mut Session) -> Result<(), Closed> {
        let writes = !matches!(session.kind, Kind::Bounded(_));
        let answer = match self.below(12) {
            drawn if drawn < self.writes && writes => {
                let text = self.write(session);
                session.execute(&text).await?
            }
            3 | 4 => return self.transaction(session, writes).await,
            5 => {
                let text = format!("set s{} {}", self.below(2), self.below(9));
                return require_success(session.execute(&text).await?);
            }
            6 => {
                let name = PREPARED_NAMES[self.below(2) as usize];
                let kind = if writes && self.below(2) == 0 {
                    "write"
                } else {
                    "read"
                };
                let text = format!("prepare {name} {kind} shape{}", self.below(3));
                return require_success(session.execute(&text).await?);
            }
            7 => match session.prepared.keys().next().cloned() {
                Some(name) if self.below(3) == 0 => {
                    return require_success(session.execute(&format!("forget {name}")).await?);
                }
                _ => return Ok(()),
            },
            _ => {
                let text = self.read(session);
                session.execute(&text).await?
            }
        };
        match answer.state {
            State::Idle => Ok(()),
            _ => Err(Closed),
        }
    }

    async fn transaction(&mut self, session: &mut Session, writes: bool) -> Result<(), Closed> {
        let read = !writes || self.below(3) == 0;
        if session.begin(read).await?.state != State::Open {
            return Ok(());
        }
        for _ in 0..self.below(4) {
            self.pause().await;
            let text = match !read && self.below(2) == 0 {
                true => self.write(session),
                false => self.read(session),
            };
            let answer = session.execute(&text).await?;
            if answer.state != State::Open {
                break;
            }
        }
        self.pause().await;
        if self.below(12) == 0 {
            // Some callers disconnect in the middle of a transaction.
            return Err(Closed);
        }
        let commit = self.below(4) > 0;
        let answer = session.end(commit).await?;
        match answer.state {
            State::Idle => Ok(()),
            _ => Err(Closed),
        }
    }

    fn write(&mut self, session: &Session) -> String {
        let (item, data) = (self.below(ITEM_COUNT), self.random.next_u64() % 100_000);
        match self.prepared(session, true) {
            Some(name) => format!("exec {name} i{item} v{data}"),
            None => format!("write i{item} v{data}"),
        }
    }

    fn read(&mut self, session: &Session) -> String {
        let item = self.below(ITEM_COUNT);
        match self.prepared(session, false) {
            Some(name) => format!("exec {name} i{item}"),
            None => format!("read i{item}"),
        }
    }

    fn prepared(&mut self, session: &Session, writes: bool) -> Option<Box<str>> {
        let mut known = session.prepared.iter();
        let (name, _) = known.find(|(_, (known, _))| *known == writes)?;
        let name = name.clone();
        (self.below(2) == 0).then_some(name)
    }

    /// Chooses a ready VM of the caller's failure domain, else any ready VM, else any that runs.
    fn choose_vm(&mut self) -> Option<VmId> {
        let world = self.world.clone();
        let running = world.running();
        let is_near = |vm: &&VmId| world.domain_of_vm(vm) == Some(self.domain);
        let ready: Vec<_> = running.iter().filter(|vm| world.is_ready(vm)).collect();
        let near: Vec<_> = ready.iter().copied().filter(|vm| is_near(vm)).collect();
        let from = match (near.is_empty(), ready.is_empty()) {
            (false, _) => near,
            (true, false) => ready,
            (true, true) => running.iter().collect(),
        };
        let index = self.below(from.len().max(1) as u64) as usize;
        from.get(index).map(|vm| (*vm).clone())
    }

    async fn pause(&mut self) {
        let span = self.below(self.pause.as_micros() as u64);
        sleep(Duration::from_micros(span)).await;
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.random.next_u64() % bound.max(1)
    }
}

/// The id of a statement by its number.
fn id_of(number: u64) -> Box<str> {
    format!("q{number}").into()
}

/// Ends the session after an error in answer to a `set`, `prepare` or `forget`.
fn require_success(answer: Answer) -> Result<(), Closed> {
    match answer.end {
        crate::direct::statement::End::Done(_) => Ok(()),
        crate::direct::statement::End::Error { .. } => Err(Closed),
    }
}
