//! Divides a database's slots between its owners by their demand.

use crate::admission::share::{ASK_INTERVAL, Load};
use crate::clock::{Span, Time};
use crate::direct::meter::Meter;
use crate::direct::pool::Pool;
use crate::direct::relay::line::Lines;
use crate::direct::relay::{OwnerLoad, Reply, Request};
use crate::direct::targets::{Target, Targets};
use crate::direct::view::Shared;
use crate::types::DatabaseId;
use futures_util::future::join_all;
use std::net::SocketAddr;
use std::rc::Rc;

/// How long another owner has to answer: a round trip between regions and a slow VM's processing.
const ANSWER_TIMEOUT: Span = Span::from_millis(150);

/// One owner's view of a database whose slots it shares.
#[derive(Debug, Clone)]
pub struct Sharer {
    /// The database.
    pub database: DatabaseId,
    /// The connections to it.
    pub pool: Rc<Pool>,
    /// Streams to the other owners.
    pub lines: Rc<Lines>,
    /// The address by which the others know this owner.
    pub own: SocketAddr,
    /// The state of this VM, for its metrics.
    pub shared: Rc<Shared>,
}

/// Asks the other owners of a database for their loads if work would wait here, and keeps to this owner's part until
/// nothing waits at any of them.
pub fn keep_to_part(targets: &Targets, target: &Target) {
    let pool = &target.pool;
    if pool.gate.load().waiting == 0 && !pool.gate.is_full() {
        return;
    }
    begin(targets, target);
}

/// Records the load of another owner that asked for this one's; returns that.
pub fn note(targets: &Targets, target: &Target, asked: &OwnerLoad) -> Load {
    let pool = &target.pool;
    let known = pool.others().contains(&asked.owner);
    if known && pool.hear(asked.owner, asked.load, targets.now()) {
        begin(targets, target);
    } else {
        targets.shared.meter.load_ignored();
    }
    pool.load(targets.now())
}

fn begin(targets: &Targets, target: &Target) {
    let Some(own) = targets.relay() else {
        return;
    };
    if target.pool.others().is_empty() || target.pool.divides.replace(true) {
        return;
    }
    let sharer = Sharer {
        database: target.database.id.clone(),
        pool: target.pool.clone(),
        lines: targets.lines.clone(),
        own,
        shared: targets.shared.clone(),
    };
    actix_rt::spawn(async move {
        loop {
            let began = sharer.lines.now();
            if !sharer.turn().await {
                break;
            }
            let rest = (began + ASK_INTERVAL).since(sharer.lines.now());
            tokio::time::sleep(rest.into()).await;
        }
        sharer.pool.divides.set(false);
    });
}

impl Sharer {
    /// Asks the other owners if work waits here, and applies this owner's part. Returns whether there is one.
    pub async fn turn(&self) -> bool {
        let others = self.pool.others();
        let asked = self.lines.now();
        let load = self.pool.load(asked);
        let ask = || self.pool.division(|division| division.ask(&others, asked));
        if load.waiting > 0
            && let Some(to_ask) = ask()
        {
            join_all(to_ask.iter().map(|other| self.ask(*other, load, asked))).await;
            let now = self.lines.now();
            self.pool.division(|division| division.end(&others, now));
        }
        let now = self.lines.now();
        let part = self.pool.apply_part(now);
        let (id, limit) = (&self.database, self.pool.gate.limit());
        self.meter().slots(id, part, limit);
        part.is_some()
    }

    /// Asks one owner. Unlike a failed statement, a failure does not make other work avoid the owner: it may be of an
    /// older release, which closes the stream.
    async fn ask(&self, other: SocketAddr, load: Load, asked: Time) {
        match self.exchange(other, load).await {
            Some(load) if self.pool.hear(other, load, asked) => {}
            answer => {
                if answer.is_some() {
                    self.meter().load_ignored();
                }
                let now = self.lines.now();
                self.pool.division(|division| division.fail(other, now));
            }
        }
    }

    async fn exchange(&self, other: SocketAddr, load: Load) -> Option<Load> {
        if self.lines.avoids(other) {
            return None;
        }
        let request = Request::Load(OwnerLoad {
            database: self.database.clone(),
            owner: self.own,
            load,
        });
        let mut line = self.lines.take(other).await.ok()?;
        let answer = tokio::time::timeout(ANSWER_TIMEOUT.into(), line.ask(&request)).await;
        let response = answer.ok()?.ok()?;
        match response.reply {
            Reply::Load(load) => {
                self.lines.give_back(line);
                Some(load)
            }
            Reply::Stopping => {
                self.lines.avoid_stopping(other);
                None
            }
            Reply::Unknown => {
                self.lines.give_back(line);
                None
            }
            _ => None,
        }
    }

    fn meter(&self) -> &Meter {
        &self.shared.meter
    }
}
