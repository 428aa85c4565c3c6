//! The control path's client of the store: calls have a timeout and are counted.

use crate::clock::{Span, Time};
use crate::direct::adapter::Adapter;
use crate::direct::control::era::Eras;
use crate::direct::control::health::{Health, WriteTimeout};
use crate::direct::control::indirect::{Forwarder, Route};
use crate::direct::control::rows::{
    self, Member, MemberId, Reading, TABLE, encode, era_row, member_row, quiet_row,
};
use crate::direct::table::{self, Change, Command, Era, Fault, Response, Row, Version};
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::fmt;

/// How long a read may take until its answer begins. A slow store takes 240 ms. A steward whose
/// calls the store refuses to answer notices after this time, and offers the duty to other VMs.
const READ_TIMEOUT: Span = Span::from_millis(800);

/// How long a read of a long table may take until a page of the answer begins.
const LONG_READ_TIMEOUT: Span = Span::from_secs(3);

/// The timeout of every other read after a failure.
///
/// The store may come back after 6 s without an answer. A read that was sent just before that would
/// otherwise wait 0.8 s for nothing, then ask other VMs in vain and back off, and leases of 8 s
/// would expire meanwhile. Only every other read is short, so that a store which takes between this
/// time and [`READ_TIMEOUT`] is still usable.
const SHORT_READ_TIMEOUT: Span = Span::from_millis(300);

/// How much longer than its wait a long poll may take. A connection that has silently failed is
/// noticed only after this time, and a configuration has to be in force 3 s after it was accepted.
const POLL_MARGIN: Span = Span::from_millis(700);

/// How long after a failed call of its own this VM refuses calls for other VMs.
const FAILURE_COOLDOWN: Span = Span::from_secs(1);

/// How many rows a starting VM reads of a table, and how many from its own row on if the table is
/// longer.
pub(super) const FIRST_ROWS: u32 = 256;
const NEAR_ROWS: u32 = 64;

/// What a starting VM has read.
#[derive(Debug)]
pub(super) enum FirstReading {
    /// All rows.
    All(Box<Reading>),
    /// Of a long table, the VMs whose rows follow this VM's key, and its own row if it exists.
    Near(BTreeMap<MemberId, (Member, Version)>),
}

/// Counters of store calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Reads of tables and ranges.
    pub reads: u64,
    /// Long polls.
    pub follows: u64,
    /// Writes.
    pub writes: u64,
    /// Calls made for other VMs.
    pub relayed: u64,
    /// Calls that failed or timed out.
    pub faults: u64,
}

/// The control path's client of the store.
pub struct Store {
    adapter: Adapter,
    counts: Cell<Counts>,
    health: RefCell<Health>,
    write_timeout: Cell<WriteTimeout>,
    route: Cell<Route>,
    /// When a direct call failed, if none has succeeded since.
    direct_failed: Cell<Option<Time>>,
    forwarder: OnceCell<Forwarder>,
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
    /// Makes a client of the platform's store.
    pub fn new(adapter: Adapter) -> Self {
        Self {
            adapter,
            counts: Cell::default(),
            health: RefCell::default(),
            write_timeout: Cell::default(),
            route: Cell::default(),
            direct_failed: Cell::default(),
            forwarder: OnceCell::new(),
            eras: Cell::default(),
        }
    }

    /// Sets how calls are made through other VMs; only the first call has an effect.
    pub(super) fn set_forwarder(&self, forwarder: Forwarder) {
        let _ = self.forwarder.set(forwarder);
    }

    /// Returns the counters of calls.
    pub fn counts(&self) -> Counts {
        self.counts.get()
    }

    /// Returns since when the store has answered or failed.
    pub fn health(&self) -> Health {
        *self.health.borrow()
    }

    /// Returns whether calls are first made through other VMs, as the store refuses this VM's own.
    pub(super) fn avoids_direct(&self) -> bool {
        self.route.get().avoids_direct((self.adapter.clock)())
    }

    /// Returns whether the last direct call was answered.
    pub(super) fn is_reached(&self) -> bool {
        self.direct_failed.get().is_none()
    }

    fn read_timeout(&self) -> Span {
        let is_down = self.health.borrow().down.is_some();
        let is_odd = self.counts.get().faults % 2 == 1;
        if is_down && is_odd {
            SHORT_READ_TIMEOUT
        } else {
            READ_TIMEOUT
        }
    }

    /// Reads a table.
    pub async fn read(&self, table: &str) -> Result<(Vec<Row>, Version), Fault> {
        self.count(|counts| counts.reads += 1);
        let ask = Command::Read(table.into());
        rows_of(self.call(ask, self.read_timeout()).await?)
    }

    /// Reads a table that may be long, by a direct call only.
    ///
    /// A configuration of some hundred KB takes half a second on a small VM's link. If a late read
    /// were retried through other VMs, each of them would read the table too: in a fleet of 300 all
    /// VMs would ask the same few for 700 KB each, and these would reach their memory limit.
    pub async fn read_directly(&self, table: &str) -> Result<(Vec<Row>, Version), Fault> {
        self.read_within(table, self.read_timeout()).await
    }

    /// Like [`Store::read_directly`], with a timeout for hundreds of VMs that read it at the same
    /// moment.
    pub async fn read_long(&self, table: &str) -> Result<(Vec<Row>, Version), Fault> {
        self.read_within(table, LONG_READ_TIMEOUT).await
    }

    async fn read_within(&self, table: &str, timeout: Span) -> Result<(Vec<Row>, Version), Fault> {
        self.count(|counts| counts.reads += 1);
        rows_of(
            self.call_directly(Command::Read(table.into()), timeout)
                .await?,
        )
    }

    /// Reads up to `limit` rows of a table, beginning at a key.
    async fn read_range(
        &self,
        table: &str,
        from: &str,
        limit: u32,
    ) -> Result<(Vec<Row>, Version), Fault> {
        self.count(|counts| counts.reads += 1);
        let ask = Command::Range {
            table: table.into(),
            from: from.into(),
            limit,
        };
        rows_of(self.call(ask, self.read_timeout()).await?)
    }

    /// Reads what a starting VM needs first: all control rows, or of a long table its own row and
    /// those that follow it.
    ///
    /// After a loss of power all VMs start at once. Each needs only the version of its own row and
    /// some VMs that may write it, not the whole table.
    pub(super) async fn first_reading(&self, id: &MemberId) -> Result<FirstReading, Fault> {
        let asked = (self.adapter.clock)();
        let (rows, version) = self.read_range(TABLE, "", FIRST_ROWS).await?;
        let era_version = self.ensure_era_row(&rows, version).await?;
        if rows.len() < FIRST_ROWS as usize {
            let reading = self.decode_reading(&rows, era_version, asked);
            return Ok(FirstReading::All(Box::new(reading)));
        }
        let own = member_row(id);
        let (rows, _) = self.read_range(TABLE, &own.key, NEAR_ROWS).await?;
        Ok(FirstReading::Near(rows::members(&rows, era_version)))
    }

    /// Reads one VM's row and its version.
    pub(super) async fn member(&self, id: &MemberId) -> Result<Option<(Member, Version)>, Fault> {
        let own = member_row(id);
        let (rows, version) = self.read_range(TABLE, &own.key, 1).await?;
        let era_version = self
            .eras
            .get()
            .row_version(version.era)
            .ok_or_else(era_row_missing)?;
        Ok(rows::members(&rows, era_version).remove(id))
    }

    /// Reads the control rows.
    pub async fn reading(&self) -> Result<Reading, Fault> {
        let asked = (self.adapter.clock)();
        let (rows, version) = self.read(TABLE).await?;
        let era_version = self.ensure_era_row(&rows, version).await?;
        Ok(self.decode_reading(&rows, era_version, asked))
    }

    /// Returns the version of the row that names the store's era, if these rows contain it.
    /// Otherwise writes that row and fails: what the rows show may be lost by the time it is
    /// written.
    async fn ensure_era_row(&self, rows: &[Row], version: Version) -> Result<Version, Fault> {
        let mut eras = self.eras.get();
        if let Some(era_version) = eras.record_rows(rows, version.era) {
            self.eras.set(eras);
            return Ok(era_version);
        }
        let change = Change {
            expect: vec![(era_row(), table::version_in(rows, &era_row()))],
            writes: vec![(era_row(), encode(&version.era))],
            remove: Vec::new(),
        };
        let timeout = self.write_timeout.get().span();
        let answer = self.call(Command::Write(change), timeout).await;
        let written = matches!(answer, Ok(Response::Written(_)));
        log::info!(era:% = version.era, written; "the row of the store's era was missing");
        Err(era_row_missing())
    }

    /// Returns the newest known era of the store, and since when this or another VM has known it.
    pub(super) fn era(&self) -> (Era, Option<Time>) {
        let eras = self.eras.get();
        (eras.newest(), eras.since())
    }

    /// Returns until when VMs may hold leases that registered in an earlier era and have no row in
    /// this one.
    pub(super) fn unlisted_until(&self) -> Option<Time> {
        self.eras.get().unlisted_until()
    }

    /// Once no lease of an earlier era can be left, writes that to the store, for stewards that
    /// start later.
    pub(super) async fn record_quiet(&self) {
        let now = (self.adapter.clock)();
        if !self.eras.get().is_quiet_unrecorded(now) {
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
        // If this fails, the next reading shows that the row is missing, and it is written again.
        let _ = self.write(change).await;
    }

    /// Records that another VM has known of this era since `since`.
    pub(super) fn record_era(&self, era: Era, since: Time) {
        let mut eras = self.eras.get();
        eras.record_known(era, since);
        self.update_eras(eras);
    }

    /// Returns whether a row was last written before the store's newest known era.
    pub(super) fn is_former(&self, version: Version) -> bool {
        let era_version = self.eras.get().row_version(version.era);
        era_version.is_none_or(|era_version| version <= era_version)
    }

    /// Records the era of an answer. An answer of an earlier era is an error, as it does not show
    /// the store's present state.
    fn check_era(&self, answer: Result<Response, Fault>) -> Result<Response, Fault> {
        let era = match &answer {
            Ok(Response::Rows { version, .. } | Response::Written(version)) => Some(version.era),
            Ok(Response::Conflict(rows)) => rows.first().map(|row| row.version.era),
            Ok(Response::Forgotten) | Err(_) => None,
        };
        let Some(era) = era else { return answer };
        let mut eras = self.eras.get();
        let is_outdated = !eras.record(era, (self.adapter.clock)());
        self.update_eras(eras);
        if is_outdated {
            return Err(Fault::Unknown(
                "it is of an earlier era of the store".into(),
            ));
        }
        answer
    }

    fn update_eras(&self, eras: Eras) {
        let known = self.eras.replace(eras).known();
        if let Some(before) = known
            && before < eras.newest()
        {
            let answered = self.health.borrow().answered;
            let age_ms = answered.map(|at| (self.adapter.clock)().since(at).0 / 1_000);
            log::warn!(
                before:%, era:% = eras.newest(), answered_ms:? = age_ms;
                "the store came back from an older copy: earlier readings are not trusted"
            );
        }
    }

    /// Decodes rows that were requested at `asked` and have just been received. The time they took
    /// also adjusts the timeout of writes.
    fn decode_reading(&self, rows: &[Row], era_version: Version, asked: Time) -> Reading {
        let answered = (self.adapter.clock)();
        let mut timeout = self.write_timeout.get();
        timeout.read(answered.since(asked));
        self.write_timeout.set(timeout);
        Reading::new(rows, era_version, asked, answered)
    }

    /// Waits for a change of a table after a version. `None` means that the store no longer has the
    /// history from that version on.
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
            // A new era reuses the numbers after this one for other content.
            Response::Rows { version, .. } if version.era != after.era => Ok(None),
            Response::Rows { rows, version } => Ok(Some((rows, version))),
            Response::Forgotten => Ok(None),
            _ => Err(unexpected_kind()),
        }
    }

    /// Writes a change. The inner error holds the rows of the condition, if their versions were not
    /// as expected.
    pub async fn write(&self, mut change: Change) -> Result<Result<Version, Vec<Row>>, Fault> {
        let era_version = self
            .eras
            .get()
            .condition(&change)
            .ok_or_else(era_row_missing)?;
        if !era_version.is_none() {
            change.expect.push((era_row(), era_version));
        }
        self.count(|counts| counts.writes += 1);
        let mut timeout = self.write_timeout.get();
        let asked = (self.adapter.clock)();
        let answer = self.call(Command::Write(change), timeout.span()).await;
        match &answer {
            Ok(_) => timeout.written((self.adapter.clock)().since(asked)),
            Err(fault) => {
                log::info!(
                    reason:% = fault, patience_ms = timeout.span().0 / 1_000;
                    "a write to the store failed or timed out"
                );
                timeout.missed();
            }
        }
        self.write_timeout.set(timeout);
        match answer? {
            // The era's row still had its old version after the restore, as no VM had written it
            // again.
            Response::Written(version)
                if version.era > era_version.era && !era_version.is_none() =>
            {
                Err(Fault::Unknown(
                    "it was done in a later era of the store".into(),
                ))
            }
            Response::Written(version) => Ok(Ok(version)),
            Response::Conflict(rows) => {
                if table::version_in(&rows, &era_row()) != era_version {
                    return Err(era_row_missing());
                }
                Ok(Err(rows))
            }
            _ => Err(unexpected_kind()),
        }
    }

    async fn call(&self, ask: Command, span: Span) -> Result<Response, Fault> {
        let asked = (self.adapter.clock)();
        let answer = match ask {
            // Long polls are always direct: a VM that can't poll gets the same update from the
            // steward.
            Command::Follow { .. } => self.call_directly(ask, span).await,
            Command::Read(_) | Command::Range { .. } | Command::Write(_) => {
                self.call_by_any_route(ask, span).await
            }
        };
        let now = (self.adapter.clock)();
        if answer.is_err() {
            self.count(|counts| counts.faults += 1);
        }
        let changed = self.health.borrow_mut().record(answer.is_ok(), asked, now);
        match &answer {
            Err(fault) if changed => log::warn!(reason:% = fault; "the store does not answer"),
            Ok(_) if changed => log::info!("the store answers again"),
            _ => {}
        }
        answer
    }

    /// Makes a call directly, and through other VMs if that fails. While the direct route is
    /// avoided, it tries the other VMs first.
    async fn call_by_any_route(&self, ask: Command, span: Span) -> Result<Response, Fault> {
        let mut route = self.route.get();
        if route.avoids_direct((self.adapter.clock)()) {
            if let Some(answer) = self.call_indirectly(&ask).await {
                return self.check_era(Ok(answer));
            }
            route.reset();
            self.route.set(route);
            return self.call_directly(ask, span).await;
        }
        let answer = self.call_directly(ask.clone(), span).await;
        if answer.is_ok() {
            route.reset();
            self.route.set(route);
            return answer;
        }
        let Some(other) = self.call_indirectly(&ask).await else {
            return answer;
        };
        if route == Route::default() {
            log::info!("the store turns this VM away: its calls go by way of other VMs");
        }
        route.failed((self.adapter.clock)());
        self.route.set(route);
        self.check_era(Ok(other))
    }

    async fn call_indirectly(&self, ask: &Command) -> Option<Response> {
        let forwarder = self.forwarder.get()?;
        forwarder(ask.clone()).await
    }

    /// Makes a call directly.
    async fn call_directly(&self, ask: Command, span: Span) -> Result<Response, Fault> {
        let answer = (self.adapter.store)(ask, span).await;
        let now = (self.adapter.clock)();
        self.direct_failed.set(answer.is_err().then_some(now));
        self.check_era(answer)
    }

    /// Makes a call for another VM, only directly. Refused at once while direct calls fail here
    /// too: in an outage of the store each VM would otherwise make the others' calls as well.
    pub(super) async fn call_for_another(
        &self,
        ask: Command,
        within: Span,
    ) -> Result<Response, Fault> {
        let now = (self.adapter.clock)();
        if self
            .direct_failed
            .get()
            .is_some_and(|at| now < at + FAILURE_COOLDOWN)
        {
            return Err(Fault::Refused("it does not answer here either".into()));
        }
        self.count(|counts| counts.relayed += 1);
        self.call_directly(ask, within).await
    }

    fn count(&self, add: impl FnOnce(&mut Counts)) {
        let mut counts = self.counts.get();
        add(&mut counts);
        self.counts.set(counts);
    }
}

fn rows_of(answer: Response) -> Result<(Vec<Row>, Version), Fault> {
    match answer {
        Response::Rows { rows, version } => Ok((rows, version)),
        _ => Err(unexpected_kind()),
    }
}

fn era_row_missing() -> Fault {
    Fault::Refused(
        "the row of the store's era is missing or has changed: read the rows first".into(),
    )
}

fn unexpected_kind() -> Fault {
    Fault::Unknown("the answer's kind does not match the call".into())
}
