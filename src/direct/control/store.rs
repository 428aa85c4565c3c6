//! Calls of the store: counted, bounded, and with the times since it answers or does not.

use crate::clock::{Span, Time};
use crate::direct::adapter::Adapter;
use crate::direct::control::detour::{Detour, Route};
use crate::direct::control::era::Eras;
use crate::direct::control::rows::{
    self, Member, MemberId, Reading, TABLE, encode, era_row, member_row, quiet_row,
};
use crate::direct::table::{self, Change, Command, Era, Fault, Response, Row, Version};
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::fmt;

/// How long a write's answer is waited for.
///
/// **Pattern answered.** The store loses one answer in three for some seconds, or is sixty times
/// as slow as usual: a write takes 16 ms as a rule, 720 ms then. **Without it** each lost answer
/// adds 1.5 s to the gap in service while a primary is replaced; or no write of a slow store is
/// ever waited for long enough. **Thresholds.** Some times what the last answers took, from
/// [`LEAST`] to [`MOST`], and twice as long once [`MISSES`] answers in a row were lost, which a
/// store that loses one in three seldom does. A write that is asked again is under the condition
/// of the same version, so only one of both is done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Patience {
    span: Span,
    missed: u32,
}

const LEAST: Span = Span::from_millis(300);
const MOST: Span = Span::from_millis(1_500);
const MISSES: u32 = 4;

/// A write takes this many times as long as a reading.
const WRITE_TO_READ: u64 = 3;

impl Default for Patience {
    fn default() -> Self {
        Self {
            span: LEAST,
            missed: 0,
        }
    }
}

impl Patience {
    /// How long to wait now.
    pub fn span(self) -> Span {
        self.span
    }

    /// A write's answer took this long.
    pub fn written(&mut self, took: Span) {
        self.missed = 0;
        self.span = Span(took.0.saturating_mul(4)).clamp(LEAST, MOST);
    }

    /// A reading took this long.
    pub fn read(&mut self, took: Span) {
        let write = Span(took.0.saturating_mul(WRITE_TO_READ * 2));
        self.span = self.span.max(write.min(MOST));
    }

    /// A write's answer was not there in time.
    pub fn missed(&mut self) {
        self.missed += 1;
        if self.missed >= MISSES {
            self.span = self.span.percent(200).min(MOST);
        }
    }
}

/// How long it is waited until a table begins to come, which a slow store reads in 240 ms: a steward that is turned away
/// without an answer notices by this, and offers the duty to others.
const READ_PATIENCE: Span = Span::from_millis(800);

/// How long it is waited until a page of a long table begins to come.
const LONG_PATIENCE: Span = Span::from_secs(3);

/// How long every other reading is waited for once one has brought nothing.
///
/// **Pattern answered.** A store that says nothing for 6 s is back. **Without it** whoever asked just before
/// waits 0.8 s for nothing, asks others in vain, pauses, and the leases of 8 s are over by then. **Why every
/// other one.** A store that takes between this and [`READ_PATIENCE`] is still heard.
const AWAY: Span = Span::from_millis(300);

/// What a poll may take beyond its wait: a connection that fell silent for good is noticed only
/// when this is over, and a configuration has to be in force 3 s after it was accepted.
const POLL_MARGIN: Span = Span::from_millis(700);

/// How long after a failed call none is made for other VMs.
const FAILED: Span = Span::from_secs(1);

/// How many rows a VM that starts reads of a table of any length, and from its own row on where there
/// are more.
pub(super) const FIRST_ROWS: u32 = 256;
const NEAR_ROWS: u32 = 64;

/// What a VM that starts has read.
#[derive(Debug)]
pub(super) enum Opening {
    /// All rows.
    All(Box<Reading>),
    /// Of a long table the VMs whose rows follow its own, and its own if that is there.
    Near(BTreeMap<MemberId, (Member, Version)>),
}

/// How often the store was asked.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Tables read.
    pub reads: u64,
    /// Long polls.
    pub follows: u64,
    /// Changes asked for.
    pub writes: u64,
    /// Calls made for other VMs.
    pub relayed: u64,
    /// Calls that brought no answer.
    pub faults: u64,
}

/// Since when the store has answered every call, or none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Health {
    /// The first answer since the last fault.
    pub up: Option<Time>,
    /// The first fault since the last answer.
    pub down: Option<Time>,
    /// When the last call was asked that was answered.
    pub answered: Option<Time>,
}

impl Health {
    /// A call asked at `asked` ended; returns whether this changes what is believed.
    pub fn note(&mut self, good: bool, asked: Time, now: Time) -> bool {
        if good {
            self.up.get_or_insert(asked);
            self.answered = self.answered.max(Some(asked));
            return self.down.take().is_some();
        }
        self.up = None;
        let first = self.down.is_none();
        self.down.get_or_insert(now);
        first
    }
}

/// The store as the control path asks it.
pub struct Store {
    adapter: Adapter,
    counts: Cell<Counts>,
    health: RefCell<Health>,
    patience: Cell<Patience>,
    route: Cell<Route>,
    /// When a call by the own way failed that none succeeded after.
    failed: Cell<Option<Time>>,
    detour: OnceCell<Detour>,
    eras: Cell<Eras>,
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Store")
            .field("health", &self.health)
            .field("route", &self.route)
            .finish_non_exhaustive()
    }
}

impl Store {
    /// The store of a platform.
    pub fn new(adapter: Adapter) -> Self {
        Self {
            adapter,
            counts: Cell::default(),
            health: RefCell::default(),
            patience: Cell::default(),
            route: Cell::default(),
            failed: Cell::default(),
            detour: OnceCell::new(),
            eras: Cell::default(),
        }
    }

    /// Sets the way by other VMs, once.
    pub(super) fn set_detour(&self, detour: Detour) {
        let _ = self.detour.set(detour);
    }

    /// How often it was asked.
    pub fn counts(&self) -> Counts {
        self.counts.get()
    }

    /// Since when it answers.
    pub fn health(&self) -> Health {
        *self.health.borrow()
    }

    fn read_patience(&self) -> Span {
        let away = self.health.borrow().down.is_some();
        let odd = self.counts.get().faults % 2 == 1;
        if away && odd { AWAY } else { READ_PATIENCE }
    }

    /// Reads a table.
    pub async fn read(&self, table: &str) -> Result<(Vec<Row>, Version), Fault> {
        self.count(|counts| counts.reads += 1);
        let ask = Command::Read(table.into());
        rows_of(self.call(ask, self.read_patience()).await?)
    }

    /// Reads a table that may be long, by the own way only.
    ///
    /// **Pattern answered.** A configuration of some hundred KB is half a second on a small VM's link.
    /// **Without it** a reading that is late is asked for by way of other VMs, each of which reads it
    /// too: of 300 VMs all ask a few for 700 KB each, which end at their memory's limit.
    pub async fn read_here(&self, table: &str) -> Result<(Vec<Row>, Version), Fault> {
        self.read_within(table, self.read_patience()).await
    }

    /// The same, where hundreds of VMs may read it at one moment.
    pub async fn read_long(&self, table: &str) -> Result<(Vec<Row>, Version), Fault> {
        self.read_within(table, LONG_PATIENCE).await
    }

    async fn read_within(&self, table: &str, patience: Span) -> Result<(Vec<Row>, Version), Fault> {
        self.count(|counts| counts.reads += 1);
        rows_of(
            self.call_here(Command::Read(table.into()), patience)
                .await?,
        )
    }

    /// Reads some rows of a table from a key on.
    async fn read_range(
        &self,
        table: &str,
        from: &str,
        most: u32,
    ) -> Result<(Vec<Row>, Version), Fault> {
        self.count(|counts| counts.reads += 1);
        let ask = Command::Range {
            table: table.into(),
            from: from.into(),
            limit: most,
        };
        rows_of(self.call(ask, self.read_patience()).await?)
    }

    /// What a VM reads first: all rows of the control path, or of a long table its own row and those
    /// that follow it.
    ///
    /// Answers a loss of power of all VMs: each needs the version of its own row and some VMs that may
    /// write it, not the whole table.
    pub(super) async fn opening(&self, id: &MemberId) -> Result<Opening, Fault> {
        let asked = (self.adapter.clock)();
        let (rows, version) = self.read_range(TABLE, "", FIRST_ROWS).await?;
        let settled = self.settle(&rows, version).await?;
        if rows.len() < FIRST_ROWS as usize {
            let reading = self.take_reading(&rows, settled, asked);
            return Ok(Opening::All(Box::new(reading)));
        }
        let own = member_row(id);
        let (rows, _) = self.read_range(TABLE, &own.key, NEAR_ROWS).await?;
        Ok(Opening::Near(rows::members(&rows, settled)))
    }

    /// One VM's row, and its version.
    pub(super) async fn member(&self, id: &MemberId) -> Result<Option<(Member, Version)>, Fault> {
        let own = member_row(id);
        let (rows, version) = self.read_range(TABLE, &own.key, 1).await?;
        let settled = self.eras.get().settled(version.era).ok_or_else(unsettled)?;
        Ok(rows::members(&rows, settled).remove(id))
    }

    /// Reads the rows of the control path.
    pub async fn reading(&self) -> Result<Reading, Fault> {
        let asked = (self.adapter.clock)();
        let (rows, version) = self.read(TABLE).await?;
        let settled = self.settle(&rows, version).await?;
        Ok(self.take_reading(&rows, settled, asked))
    }

    /// The version of the row that names the store's era, if these rows have it. Else it is written, and they can't be
    /// used: what they show may be gone once it is there.
    async fn settle(&self, rows: &[Row], version: Version) -> Result<Version, Fault> {
        let mut eras = self.eras.get();
        if let Some(settled) = eras.read(rows, version.era) {
            self.eras.set(eras);
            return Ok(settled);
        }
        let change = Change {
            expect: vec![(era_row(), table::version_in(rows, &era_row()))],
            writes: vec![(era_row(), encode(&version.era))],
            remove: Vec::new(),
        };
        let patience = self.patience.get().span();
        let told = self.call(Command::Write(change), patience).await;
        let written = matches!(told, Ok(Response::Written(_)));
        log::info!(era:% = version.era, written; "the row of the store's era was missing");
        Err(unsettled())
    }

    /// The era that the store is in, and since when that is known here or at another VM.
    pub(super) fn era(&self) -> (Era, Option<Time>) {
        let eras = self.eras.get();
        (eras.newest(), eras.since())
    }

    /// Until when VMs may hold leases that registered in an earlier era and are in no row of this one.
    pub(super) fn strangers_until(&self) -> Option<Time> {
        self.eras.get().strangers_until()
    }

    /// Writes that no lease of an earlier era is left, once that is so, for stewards that start later.
    pub(super) async fn say_quiet(&self) {
        let now = (self.adapter.clock)();
        if !self.eras.get().is_quiet_unsaid(now) {
            return;
        }
        let Ok((rows, _)) = self.read_range(TABLE, &quiet_row().key, 1).await else {
            return;
        };
        let change = Change {
            expect: vec![(quiet_row(), table::version_in(&rows, &quiet_row()))],
            writes: vec![(quiet_row(), encode(&self.eras.get().newest()))],
            remove: Vec::new(),
        };
        // The next reading shows it, or it is written then.
        let _ = self.write(change).await;
    }

    /// Another VM has known since a moment that the store is in this era.
    pub(super) fn hear_era(&self, era: Era, since: Time) {
        let mut eras = self.eras.get();
        eras.hear(era, since);
        self.note_eras(eras);
    }

    /// Whether a row was last written before the era that the store is in, as far as is known.
    pub(super) fn is_former(&self, version: Version) -> bool {
        let settled = self.eras.get().settled(version.era);
        settled.is_none_or(|settled| version <= settled)
    }

    /// Notes the era of an answer. One of an earlier era tells nothing of the store as it is.
    fn accept(&self, told: Result<Response, Fault>) -> Result<Response, Fault> {
        let era = match &told {
            Ok(Response::Rows { version, .. } | Response::Written(version)) => Some(version.era),
            Ok(Response::Conflict(rows)) => rows.first().map(|row| row.version.era),
            Ok(Response::Forgotten) | Err(_) => None,
        };
        let Some(era) = era else { return told };
        let mut eras = self.eras.get();
        let is_old = !eras.told(era, (self.adapter.clock)());
        self.note_eras(eras);
        if is_old {
            return Err(Fault::Unknown(
                "it is of an earlier era of the store".into(),
            ));
        }
        told
    }

    fn note_eras(&self, eras: Eras) {
        let known = self.eras.replace(eras).known();
        if let Some(before) = known
            && before < eras.newest()
        {
            let answered = self.health.borrow().answered;
            let age_ms = answered.map(|at| (self.adapter.clock)().since(at).0 / 1_000);
            log::warn!(
                before:%, era:% = eras.newest(), answered_ms:? = age_ms;
                "the store came back from an older copy: what was read there before is hearsay"
            );
        }
    }

    /// The reading that these rows are, which were asked for at `asked` and are there now; how long they took
    /// tells how long a write may take.
    fn take_reading(&self, rows: &[Row], settled: Version, asked: Time) -> Reading {
        let answered = (self.adapter.clock)();
        let mut patience = self.patience.get();
        patience.read(answered.since(asked));
        self.patience.set(patience);
        Reading::new(rows, settled, asked, answered)
    }

    /// Waits for a change of a table after a version; none means that the history is gone.
    pub async fn follow(
        &self,
        table: &str,
        after: Version,
        wait: Span,
    ) -> Result<Option<(Vec<Row>, Version)>, Fault> {
        self.count(|counts| counts.follows += 1);
        let ask = Command::Follow {
            table: table.into(),
            after,
            wait,
        };
        match self.call(ask, wait + POLL_MARGIN).await? {
            // The numbers after this one are given out again, to other content.
            Response::Rows { version, .. } if version.era != after.era => Ok(None),
            Response::Rows { rows, version } => Ok(Some((rows, version))),
            Response::Forgotten => Ok(None),
            _ => Err(unexpected()),
        }
    }

    /// Changes rows; the rows under condition come back if they are not as expected.
    pub async fn write(&self, mut change: Change) -> Result<Result<Version, Vec<Row>>, Fault> {
        let settled = self.eras.get().condition(&change).ok_or_else(unsettled)?;
        if !settled.is_none() {
            change.expect.push((era_row(), settled));
        }
        self.count(|counts| counts.writes += 1);
        let mut patience = self.patience.get();
        let asked = (self.adapter.clock)();
        let told = self.call(Command::Write(change), patience.span()).await;
        match &told {
            Ok(_) => patience.written((self.adapter.clock)().since(asked)),
            Err(fault) => {
                log::info!(
                    reason:% = fault, patience_ms = patience.span().0 / 1_000;
                    "a change of the store's rows brought no answer"
                );
                patience.missed();
            }
        }
        self.patience.set(patience);
        match told? {
            // The row of the former era was there once more, as no other had taken its place.
            Response::Written(version) if version.era > settled.era && !settled.is_none() => Err(
                Fault::Unknown("it was done in a later era of the store".into()),
            ),
            Response::Written(version) => Ok(Ok(version)),
            Response::Conflict(rows) => {
                if table::version_in(&rows, &era_row()) != settled {
                    return Err(unsettled());
                }
                Ok(Err(rows))
            }
            _ => Err(unexpected()),
        }
    }

    async fn call(&self, ask: Command, span: Span) -> Result<Response, Fault> {
        let asked = (self.adapter.clock)();
        let told = match ask {
            // Whoever waits for a change may as well hear of it from the steward.
            Command::Follow { .. } => self.call_here(ask, span).await,
            Command::Read(_) | Command::Range { .. } | Command::Write(_) => {
                self.call_somehow(ask, span).await
            }
        };
        let now = (self.adapter.clock)();
        if told.is_err() {
            self.count(|counts| counts.faults += 1);
        }
        let changed = self.health.borrow_mut().note(told.is_ok(), asked, now);
        match &told {
            Err(fault) if changed => log::warn!(reason:% = fault; "the store does not answer"),
            Ok(_) if changed => log::info!("the store answers again"),
            _ => {}
        }
        told
    }

    /// Makes a call by the own way, and by way of other VMs if that fails; the other way round
    /// while the own way is avoided.
    async fn call_somehow(&self, ask: Command, span: Span) -> Result<Response, Fault> {
        let mut route = self.route.get();
        if route.avoids_own((self.adapter.clock)()) {
            if let Some(told) = self.call_by_others(&ask).await {
                return self.accept(Ok(told));
            }
            route.reset();
            self.route.set(route);
            return self.call_here(ask, span).await;
        }
        let told = self.call_here(ask.clone(), span).await;
        if told.is_ok() {
            route.reset();
            self.route.set(route);
            return told;
        }
        let Some(other) = self.call_by_others(&ask).await else {
            return told;
        };
        if route == Route::default() {
            log::info!("the store turns this VM away: its calls go by way of other VMs");
        }
        route.failed((self.adapter.clock)());
        self.route.set(route);
        self.accept(Ok(other))
    }

    async fn call_by_others(&self, ask: &Command) -> Option<Response> {
        let detour = self.detour.get()?;
        detour(ask.clone()).await
    }

    /// Makes a call by the own way.
    async fn call_here(&self, ask: Command, span: Span) -> Result<Response, Fault> {
        let told = (self.adapter.store)(ask, span).await;
        let now = (self.adapter.clock)();
        self.failed.set(told.is_err().then_some(now));
        self.accept(told)
    }

    /// Makes a call for another VM, by the own way only. While that fails here too, the call is
    /// refused at once: in an outage of the store each VM would make the others' calls as well.
    pub(super) async fn call_for_another(
        &self,
        ask: Command,
        within: Span,
    ) -> Result<Response, Fault> {
        let now = (self.adapter.clock)();
        if self.failed.get().is_some_and(|at| now < at + FAILED) {
            return Err(Fault::Refused("it does not answer here either".into()));
        }
        self.count(|counts| counts.relayed += 1);
        self.call_here(ask, within).await
    }

    fn count(&self, add: impl FnOnce(&mut Counts)) {
        let mut counts = self.counts.get();
        add(&mut counts);
        self.counts.set(counts);
    }
}

fn rows_of(told: Response) -> Result<(Vec<Row>, Version), Fault> {
    match told {
        Response::Rows { rows, version } => Ok((rows, version)),
        _ => Err(unexpected()),
    }
}

fn unsettled() -> Fault {
    Fault::Refused("no row names the store's era, or another one does: read the rows first".into())
}

fn unexpected() -> Fault {
    Fault::Unknown("the answer is of another kind than the call".into())
}
