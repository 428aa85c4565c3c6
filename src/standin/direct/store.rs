//! The platform's store: rows by table and key under one rising version, read, followed and written
//! as [`crate::direct::table`] defines, with faults that can be injected.

use crate::clock::Span;
use crate::direct::adapter::{CallStore, LocalFuture};
use crate::direct::table::{Change, Command, Era, Fault, Response, Row, RowId, Version};
use crate::standin::direct::network::{Hold, Network, Node, Sender};
use crate::types::VmId;
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

/// How long an answer that has begun to arrive may pause.
const STALL_TIMEOUT: Duration = Duration::from_millis(800);

/// The time that each call takes in the store.
const CALL_TIME: Duration = Duration::from_millis(4);

/// How the store handles a call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Health {
    /// It executes and answers it.
    #[default]
    Well,
    /// It refuses the call without executing it.
    Refusing,
    /// It does not answer and does not execute the call.
    Silent,
    /// It resets the connection without executing the call, which the caller can't know.
    Reset,
}

/// What happens to writes whose answers are lost.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Losing {
    /// No answer is lost.
    #[default]
    None,
    /// They are executed at once.
    Now,
    /// They are executed after this long, if their condition still holds.
    Later(Span),
}

/// How long earlier values of rows are kept for a restore.
const UNDO_RETENTION: Duration = Duration::from_secs(30);

/// The value of a row before a change.
#[derive(Debug)]
struct Undo {
    at: Instant,
    /// Whether the platform wrote: the operator or a database.
    by_platform: bool,
    id: RowId,
    before: Option<(Bytes, u64)>,
    /// The store's version number before the change.
    number: u64,
}

/// A record of one write, for inspection by checks and tests.
#[derive(Debug, Clone)]
pub struct Written {
    /// When it was written.
    pub at: Instant,
    /// The VM that wrote; `None` for the operator and databases.
    pub by: Option<VmId>,
    /// The changed rows with their new values.
    pub rows: Vec<Row>,
}

/// The simulated store.
pub struct Store {
    network: Rc<Network>,
    rows: RefCell<BTreeMap<RowId, (Bytes, u64)>>,
    /// Changes, oldest first.
    history: RefCell<Vec<Row>>,
    /// The era: rises with each restore from a backup.
    era: Cell<Era>,
    number: Cell<u64>,
    /// The version number up to which the history was discarded.
    forgotten: Cell<u64>,
    undo: RefCell<VecDeque<Undo>>,
    health: Cell<Health>,
    only: RefCell<Option<BTreeSet<VmId>>>,
    slow: Cell<Span>,
    /// How long each change takes; changes are executed one after another.
    change_time: Cell<Span>,
    /// When the last of the queued changes ends.
    queue_end: Cell<Option<Instant>>,
    losing: Cell<Losing>,
    changed: Notify,
    log: RefCell<Vec<Written>>,
    calls: Cell<u64>,
    /// Bytes of keys and values read, by table and VM.
    read: RefCell<BTreeMap<Box<str>, BTreeMap<VmId, u64>>>,
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Store")
            .field("version", &self.version())
            .finish_non_exhaustive()
    }
}

impl Store {
    /// Creates an empty store in an era.
    pub fn new(network: Rc<Network>, era: Era) -> Rc<Self> {
        Rc::new(Self {
            network,
            rows: RefCell::default(),
            history: RefCell::default(),
            era: Cell::new(era),
            number: Cell::new(0),
            forgotten: Cell::new(0),
            undo: RefCell::default(),
            health: Cell::default(),
            only: RefCell::default(),
            slow: Cell::default(),
            change_time: Cell::default(),
            queue_end: Cell::default(),
            losing: Cell::default(),
            changed: Notify::new(),
            log: RefCell::default(),
            calls: Cell::new(0),
            read: RefCell::default(),
        })
    }

    /// Sets how calls are handled from now on, for all VMs or only for some.
    pub fn set_health(&self, health: Health, only: Option<BTreeSet<VmId>>) {
        self.health.set(health);
        *self.only.borrow_mut() = only;
        self.changed.notify_waiters();
    }

    /// Sets how much longer each call takes from now on.
    pub fn set_slow(&self, slow: Span) {
        self.slow.set(slow);
    }

    /// Sets how long each change takes from now on; changes are executed one after another.
    pub fn set_change_time(&self, change_time: Span) {
        self.change_time.set(change_time);
    }

    /// Sets what happens to writes and their answers from now on.
    pub fn set_losing(&self, losing: Losing) {
        self.losing.set(losing);
    }

    /// Discards its history of changes.
    pub fn forget(&self) {
        self.forgotten.set(self.number.get());
        self.history.borrow_mut().clear();
        self.changed.notify_waiters();
    }

    /// Its newest version.
    pub fn version(&self) -> Version {
        Version::new(self.era.get(), self.number.get())
    }

    /// Restores a backup as old as `age`, in the next era. What the operator and the databases
    /// wrote since is written again after `rewrites`, except for rows that were written meanwhile.
    pub fn restore(self: &Rc<Self>, age: Span, rewrites: Span) {
        let copied = Instant::now() - Duration::from(age);
        let lost = self.undo_since(copied);
        let number = self.number.get();
        self.era.set(Era(self.era.get().0 + 1));
        self.history
            .borrow_mut()
            .retain(|row| row.version.number <= number);
        self.forgotten.set(self.forgotten.get().min(number));
        self.changed.notify_waiters();
        let store = self.clone();
        self.network.spawn(async move {
            tokio::time::sleep(rewrites.into()).await;
            for (id, value) in lost {
                let written = store.rows.borrow().get(&id).map(|(_, number)| *number);
                if written.is_none_or(|written| written <= number) {
                    store.put(id, value);
                }
            }
        });
    }

    /// Undoes all writes after a moment. Returns the last values of the undone rows that the
    /// operator or databases had written.
    fn undo_since(&self, copied: Instant) -> BTreeMap<RowId, Option<Bytes>> {
        let mut rows = self.rows.borrow_mut();
        let mut undo = self.undo.borrow_mut();
        let mut lost = BTreeMap::new();
        let kept = undo.partition_point(|undo| undo.at <= copied);
        for last in undo.drain(kept..).rev() {
            if last.by_platform {
                let value = rows.get(&last.id).map(|(value, _)| value.clone());
                lost.entry(last.id.clone()).or_insert(value);
            }
            match last.before {
                Some(before) => rows.insert(last.id, before),
                None => rows.remove(&last.id),
            };
            self.number.set(last.number);
        }
        lost
    }

    /// How many calls were made.
    pub fn calls(&self) -> u64 {
        self.calls.get()
    }

    /// How many bytes of keys and values each VM has read of a table.
    pub fn read_by(&self, table: &str) -> BTreeMap<VmId, u64> {
        self.read.borrow().get(table).cloned().unwrap_or_default()
    }

    /// Resets the counts of bytes read.
    pub fn forget_reads(&self) {
        self.read.borrow_mut().clear();
    }

    /// All recorded writes.
    pub fn log(&self) -> Vec<Written> {
        self.log.borrow().clone()
    }

    /// The recorded writes since a moment.
    pub fn since(&self, moment: Instant) -> Vec<Written> {
        let log = self.log.borrow();
        let first = log.partition_point(|written| written.at < moment);
        log[first..].to_vec()
    }

    /// The VM of the last write by a VM.
    pub fn last_writer(&self) -> Option<VmId> {
        let log = self.log.borrow();
        log.iter().rev().find_map(|written| written.by.clone())
    }

    /// Discards the record and the history of writes before a moment.
    pub fn forget_before(&self, before: Instant) {
        let mut log = self.log.borrow_mut();
        let gone = log.partition_point(|written| written.at < before);
        let last = log[..gone].iter().flat_map(|written| &written.rows);
        let Some(version) = last.map(|row| row.version.number).max() else {
            return;
        };
        log.drain(..gone);
        self.forgotten.set(self.forgotten.get().max(version));
        let mut history = self.history.borrow_mut();
        history.retain(|row| row.version.number > version);
    }

    /// A row's value.
    pub fn get(&self, id: &RowId) -> Option<Bytes> {
        self.rows.borrow().get(id).map(|(value, _)| value.clone())
    }

    /// Writes a row as the operator or a database, whatever the store's health. `None` removes it.
    pub fn put(&self, id: RowId, value: Option<Bytes>) -> Version {
        let mut change = Change::default();
        match value {
            Some(value) => change.writes.push((id, value)),
            None => change.remove.push(id),
        }
        self.write(None, &change);
        self.version()
    }

    /// Returns the function with which a VM calls the store. Calls continue when the VM is frozen
    /// or killed.
    pub fn calls_of(self: &Rc<Self>, vm: &VmId) -> CallStore {
        let (store, vm) = (self.clone(), vm.clone());
        Rc::new(move |command, span| store.call(vm.clone(), command, span))
    }

    fn call(
        self: &Rc<Self>,
        vm: VmId,
        command: Command,
        span: Span,
    ) -> LocalFuture<Result<Response, Fault>> {
        let (store, network) = (self.clone(), self.network.clone());
        Box::pin(async move {
            let (answer, answered) = oneshot::channel();
            let (sender, hold) = Sender::new();
            network.spawn(async move { store.serve(vm, command, sender, answer).await });
            let result = await_answer(answered, &hold, span).await;
            drop::<Hold>(hold);
            match result {
                Some(Ok(result)) => result,
                Some(Err(_)) => Err(Fault::Unknown("the connection broke".into())),
                None => Err(Fault::Unknown("no answer in time".into())),
            }
        })
    }

    async fn serve(
        self: Rc<Self>,
        vm: VmId,
        command: Command,
        sender: Sender,
        answer: oneshot::Sender<Result<Response, Fault>>,
    ) {
        let from = Node::Vm(vm.clone());
        if !self.network.deliver(&from, &Node::Store, &sender).await {
            return;
        }
        self.calls.set(self.calls.get() + 1);
        tokio::time::sleep(CALL_TIME + self.slow.get().into()).await;
        if matches!(command, Command::Write(_)) {
            self.wait_for_queue().await;
        }
        let response = match self.health_for(&vm) {
            Health::Well => self.run(&vm, command).await,
            Health::Refusing => Some(Err(Fault::Refused("down".into()))),
            Health::Reset => None,
            Health::Silent => return hold_open(answer).await,
        };
        let Some(response) = response else {
            return;
        };
        let bytes = response.as_ref().map_or(0, length);
        let route = (&Node::Store, &from);
        if self.network.transmit(route, bytes, &sender, true).await {
            let _ = answer.send(response);
        }
    }

    /// Waits until all earlier changes and this one have been executed.
    async fn wait_for_queue(&self) {
        let now = Instant::now();
        let begins = self
            .queue_end
            .get()
            .map_or(now, |queue_end| queue_end.max(now));
        let ends = begins + self.change_time.get().into();
        self.queue_end.set(Some(ends));
        tokio::time::sleep_until(ends).await;
    }

    fn health_for(&self, vm: &VmId) -> Health {
        let only = self.only.borrow();
        match &*only {
            Some(only) if !only.contains(vm) => Health::Well,
            _ => self.health.get(),
        }
    }

    async fn run(self: &Rc<Self>, vm: &VmId, command: Command) -> Option<Result<Response, Fault>> {
        match command {
            Command::Read(table) => Some(Ok(self.read(vm, &table, "", usize::MAX))),
            Command::Range { table, from, limit } => {
                Some(Ok(self.read(vm, &table, &from, limit as usize)))
            }
            Command::Follow { table, after, wait } => self.follow(vm, &table, after, wait).await,
            Command::Write(change) => match self.losing.get() {
                Losing::None => Some(Ok(self.write(Some(vm), &change))),
                Losing::Now => {
                    self.write(Some(vm), &change);
                    None
                }
                Losing::Later(span) => {
                    let (store, vm) = (self.clone(), vm.clone());
                    self.network.spawn(async move {
                        tokio::time::sleep(span.into()).await;
                        store.write(Some(&vm), &change);
                    });
                    None
                }
            },
        }
    }

    /// Reads the rows of a table from the key `from` on, at most `limit` of them.
    fn read(&self, vm: &VmId, table: &str, from: &str, limit: usize) -> Response {
        let rows = self.rows.borrow();
        let first = RowId::new(table, from);
        let rows = rows.range(first..);
        let rows = rows.take_while(|(id, _)| &*id.table == table).take(limit);
        let rows = rows.map(|(id, (value, version))| Row {
            id: id.clone(),
            value: Some(value.clone()),
            version: self.version_of(*version),
        });
        let rows: Vec<Row> = rows.collect();
        let bytes = rows.iter().map(Row::size).sum::<usize>() as u64;
        let mut read = self.read.borrow_mut();
        let of_table = read.entry(table.into()).or_default();
        *of_table.entry(vm.clone()).or_default() += bytes;
        Response::Rows {
            rows,
            version: self.version(),
        }
    }

    async fn follow(
        &self,
        vm: &VmId,
        table: &str,
        after: Version,
        wait: Span,
    ) -> Option<Result<Response, Fault>> {
        let deadline = Instant::now() + wait.into();
        loop {
            let changed = self.changed.notified();
            if self.health_for(vm) != Health::Well {
                return None;
            }
            if after.number < self.forgotten.get() || after.number > self.number.get() {
                return Some(Ok(Response::Forgotten));
            }
            let rows = self.rows_since(table, after.number);
            let version = self.version();
            if !rows.is_empty() || Instant::now() >= deadline {
                return Some(Ok(Response::Rows { rows, version }));
            }
            let _ = tokio::time::timeout_at(deadline, changed).await;
        }
    }

    /// A version of the current era from a number.
    fn version_of(&self, number: u64) -> Version {
        Version::new(self.era.get(), number)
    }

    fn rows_since(&self, table: &str, after: u64) -> Vec<Row> {
        let history = self.history.borrow();
        let rows = history.iter();
        let rows = rows.filter(|row| row.version.number > after && &*row.id.table == table);
        let rows = rows.cloned().map(|row| Row {
            version: self.version_of(row.version.number),
            ..row
        });
        rows.collect()
    }

    fn write(&self, by: Option<&VmId>, change: &Change) -> Response {
        let mut rows = self.rows.borrow_mut();
        let number_of = |rows: &BTreeMap<RowId, (Bytes, u64)>, id: &RowId| {
            rows.get(id).map_or(0, |(_, version)| *version)
        };
        let mut expect = change.expect.iter();
        if !expect.all(|(id, version)| number_of(&rows, id) == version.number) {
            let now = change.expect.iter().filter_map(|(id, _)| {
                let (value, version) = rows.get(id)?;
                Some(Row {
                    id: id.clone(),
                    value: Some(value.clone()),
                    version: self.version_of(*version),
                })
            });
            return Response::Conflict(now.collect());
        }
        let before = self.number.get();
        let number = before + 1;
        self.number.set(number);
        let version = self.version();
        self.record_undo(by.is_none(), &rows, change, before);
        let mut changed = Vec::new();
        for (id, value) in &change.writes {
            rows.insert(id.clone(), (value.clone(), number));
            changed.push((id, Some(value.clone())));
        }
        for id in &change.remove {
            if rows.remove(id).is_some() {
                changed.push((id, None));
            }
        }
        let changed = changed.into_iter().map(|(id, value)| Row {
            id: id.clone(),
            value,
            version,
        });
        let rows: Vec<Row> = changed.collect();
        self.history.borrow_mut().extend(rows.iter().cloned());
        let by = by.cloned();
        let at = Instant::now();
        self.log.borrow_mut().push(Written { at, by, rows });
        self.changed.notify_waiters();
        Response::Written(version)
    }
}

/// The size of an answer in bytes, with values in base64.
fn length(response: &Response) -> u64 {
    let (Response::Rows { rows, .. } | Response::Conflict(rows)) = response else {
        return 0;
    };
    rows.iter().map(|row| row.size() as u64 * 4 / 3).sum()
}

impl Store {
    fn record_undo(
        &self,
        by_platform: bool,
        rows: &BTreeMap<RowId, (Bytes, u64)>,
        change: &Change,
        number: u64,
    ) {
        let at = Instant::now();
        let mut undo = self.undo.borrow_mut();
        let changed = change.writes.iter().map(|(id, _)| id).chain(&change.remove);
        undo.extend(changed.map(|id| Undo {
            at,
            by_platform,
            id: id.clone(),
            before: rows.get(id).cloned(),
            number,
        }));
        let gone = undo.partition_point(|undo| undo.at + UNDO_RETENTION < at);
        undo.drain(..gone);
    }
}

/// Waits for an answer that has to begin to arrive within `span` and then must not pause for longer
/// than `STALL_TIMEOUT`.
async fn await_answer<T>(answered: impl Future<Output = T>, hold: &Hold, span: Span) -> Option<T> {
    let mut answered = std::pin::pin!(answered);
    let mut due = Instant::now() + span.into();
    loop {
        if let Ok(answer) = tokio::time::timeout_at(due, &mut answered).await {
            return Some(answer);
        }
        let stalled_at = hold.last_arrival().map(|arrival| arrival + STALL_TIMEOUT);
        due = stalled_at.filter(|stalled_at| *stalled_at > due)?;
    }
}

/// Keeps a call open without an answer until the caller stops waiting.
async fn hold_open(mut answer: oneshot::Sender<Result<Response, Fault>>) {
    answer.closed().await;
}
