//! Patterns of overload on direct access: organisations with allowances, VMs and databases.
//!
//! All requests of a pattern are drawn beforehand from the seed alone, so that each policy gets the same ones.

use crate::admission::Rank;
use crate::clock::{Span, Time};
use crate::direct::identity::{Allowance, Rate};
use crate::experiment::deployment::Unknown;
use crate::experiment::engine::WARM_UP_END;
use crate::experiment::source::{exponential, random};
use crate::types::Cores;
use rand::RngExt;
use serde::Serialize;
use std::fmt;
use std::str::FromStr;

/// The objectives of the ranks, most urgent first: those of the deployment that the patterns come from.
pub const OBJECTIVES: [Span; RANKS] = [
    Span::from_millis(250),
    Span::from_millis(500),
    Span::from_millis(1_000),
];

/// Number of ranks.
pub const RANKS: usize = 3;

/// Each rank's part of an organisation's operations, in percent.
const RANK_PERCENT: [u32; RANKS] = [15, 35, 50];

/// Number of organisations, with the one that floods.
const ORGANISATIONS: usize = 79;

/// The allowances of the organisations, in turn: operations a second, and as many at once.
const RATES: [u32; 4] = [5, 10, 20, 40];

/// The allowance of the organisation that floods.
const FLOOD_RATE: u32 = 100;

/// The organisation that floods.
const FLOODING: usize = 0;

/// Operations that the flooding organisation sends, as a multiple of its allowance.
const FLOOD_FACTOR: f64 = 6.0;

/// Operations that other organisations send, as a multiple of their allowance.
const USUAL_FACTOR: f64 = 0.5;

/// The same where callers leave: the busiest database has more than it can run.
const LEAVE_FACTOR: f64 = 0.95;

/// The rate of the least urgent rank in a burst, as a multiple of its usual rate.
const BURST_FACTOR: f64 = 2.6;

/// How much slower the slow database is.
const SLOWNESS: f64 = 8.0;

/// The database that becomes slow; it has the usual load.
const SLOW_DATABASE: usize = 1;

/// Number of databases.
pub const DATABASES: usize = 6;

/// Arrivals at the first database, divided by the mean over databases.
const BUSIEST_FACTOR: f64 = 2.09;

/// Mean time of a statement. With it, the busiest database is usually busy for two thirds of the time.
const STATEMENT_TIME: Span = Span::from_millis(8);

/// How long all VMs are without power, and within which span their callers return.
const OUTAGE: Span = Span::from_millis(1_500);
const RETURN_SPREAD: Span = Span::from_millis(50);

/// How long the load goes on after the last counted request: callers that were refused return under it.
const AFTER: Span = Span::from_secs(5);

/// Share of the callers that leave early, and the mean time after which they do.
const LEAVING: f64 = 0.4;
const LEAVES_AFTER: Span = Span::from_millis(100);

/// Number of VMs, and the cores of weak and strong ones; every third is strong.
pub const VMS: usize = 12;
const WEAK_CORES: Cores = Cores::from_thousandths(120);
const STRONG_CORES: Cores = Cores::from_thousandths(500);
const STRONG_ONE_IN: usize = 3;

/// A pattern of overload.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Load {
    /// One organisation sends six times its allowance, in three ranks, beside 78 others.
    Flood,
    /// The least urgent rank sends 2.6 times its usual rate.
    ClassBurst,
    /// A database is eight times slower.
    Slowdown,
    /// VMs of 0.12 and 0.5 cores, with owners among both.
    Uneven,
    /// All VMs lose power, and all callers return at once.
    Return,
    /// Callers leave early, while a database has more work than it can run.
    Leave,
}

impl Load {
    /// All patterns.
    pub const ALL: [Load; 6] = [
        Load::Flood,
        Load::ClassBurst,
        Load::Slowdown,
        Load::Uneven,
        Load::Return,
        Load::Leave,
    ];
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Load::Flood => "flood",
            Load::ClassBurst => "class-burst",
            Load::Slowdown => "slowdown",
            Load::Uneven => "uneven",
            Load::Return => "return",
            Load::Leave => "leave",
        })
    }
}

impl FromStr for Load {
    type Err = Unknown;

    fn from_str(text: &str) -> Result<Self, Unknown> {
        let mut all = Self::ALL.into_iter();
        all.find(|load| load.to_string() == text)
            .ok_or_else(|| Unknown {
                given: text.into(),
                known: "flood, class-burst, slowdown, uneven, return, leave",
            })
    }
}

/// An organisation.
#[derive(Debug, Clone)]
pub struct Organisation {
    /// Its name.
    pub name: Box<str>,
    /// The rows under which its requests are reported.
    pub callers: &'static str,
    /// Its allowance.
    pub allowance: Allowance,
}

/// A request of a caller.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Index of its organisation.
    pub organisation: usize,
    /// Its rank.
    pub rank: Rank,
    /// Index of the VM that the load balancer chose.
    pub vm: usize,
    /// Index of its database.
    pub database: usize,
    /// The time of its statement.
    pub service: Span,
    /// When it is first sent.
    pub sent_at: Time,
    /// After which time its caller leaves, if it does not wait for the answer.
    pub leaves_after: Option<Span>,
}

/// A fault or its end.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// A database runs statements slower by this factor.
    Slow(usize, f64),
    /// All VMs lose power until this time.
    PowerLoss(Time),
}

/// A pattern's organisations, VMs, requests and faults.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The organisations.
    pub organisations: Vec<Organisation>,
    /// The requests, in order of time.
    pub arrivals: Vec<Arrival>,
    /// The faults and their times.
    pub faults: Vec<(Time, Fault)>,
    /// Requests that are first sent from then on are not counted.
    pub ends: Time,
    /// The cores of each VM; `None` if processor time is not simulated.
    pub cores: Option<Vec<Cores>>,
}

/// The middle half of the counted time, in which bursts and faults happen.
#[derive(Debug, Clone, Copy)]
struct Period {
    from: Time,
    to: Time,
}

impl Plan {
    /// Draws a pattern whose requests are counted for `length`.
    pub fn new(load: Load, seed: u64, length: Span) -> Self {
        let period = Period {
            from: WARM_UP_END + Span(length.0 / 4),
            to: WARM_UP_END + Span(length.0 / 4 * 3),
        };
        let ends = WARM_UP_END + length;
        let organisations: Vec<_> = (0..ORGANISATIONS)
            .map(|index| organisation(load, index))
            .collect();
        let mut arrivals = Vec::new();
        for (index, organisation) in organisations.iter().enumerate() {
            for rank in 0..RANKS {
                let stream = Stream {
                    load,
                    organisation: index,
                    rank,
                    rate: rate(load, index, organisation.allowance, rank),
                    period,
                };
                stream.draw(seed, ends + AFTER, &mut arrivals);
            }
        }
        arrivals.sort_by_key(|arrival| arrival.sent_at);
        Self {
            organisations,
            arrivals,
            faults: faults(load, period),
            ends,
            cores: (load == Load::Uneven).then(|| (0..VMS).map(cores).collect()),
        }
    }
}

fn organisation(load: Load, index: usize) -> Organisation {
    let floods = load == Load::Flood && index == FLOODING;
    // Where callers leave, the allowances are not what limits the load.
    let factor = if load == Load::Leave { 2 } else { 1 };
    let rate = match floods {
        true => FLOOD_RATE,
        false => RATES[index % RATES.len()] * factor,
    };
    Organisation {
        name: format!("organisation-{index}").into(),
        callers: if floods { "flood" } else { "usual" },
        allowance: Allowance {
            rate: Rate(u64::from(rate) * 1_000),
            burst: rate,
        },
    }
}

/// Requests a second of one rank of an organisation.
fn rate(load: Load, organisation: usize, allowance: Allowance, rank: usize) -> f64 {
    let factor = match load {
        Load::Flood if organisation == FLOODING => FLOOD_FACTOR,
        Load::Leave => LEAVE_FACTOR / 2.0,
        _ => USUAL_FACTOR,
    };
    allowance.rate.0 as f64 / 1e3 * factor * f64::from(RANK_PERCENT[rank]) / 100.0
}

fn faults(load: Load, period: Period) -> Vec<(Time, Fault)> {
    match load {
        Load::Slowdown => vec![
            (period.from, Fault::Slow(SLOW_DATABASE, SLOWNESS)),
            (period.to, Fault::Slow(SLOW_DATABASE, 1.0)),
        ],
        Load::Return => vec![(period.from, Fault::PowerLoss(period.from + OUTAGE))],
        _ => Vec::new(),
    }
}

fn cores(vm: usize) -> Cores {
    match vm % STRONG_ONE_IN {
        0 => STRONG_CORES,
        _ => WEAK_CORES,
    }
}

/// The requests of one rank of an organisation.
struct Stream {
    load: Load,
    organisation: usize,
    rank: usize,
    rate: f64,
    period: Period,
}

impl Stream {
    fn draw(&self, seed: u64, ends: Time, arrivals: &mut Vec<Arrival>) {
        let number = (self.organisation * RANKS + self.rank) as u64;
        let mut random = random(seed, number);
        let mut now = Time::default();
        loop {
            let in_period = self.period.from <= now && now < self.period.to;
            let least_urgent = self.rank + 1 == RANKS;
            let factor = match self.load {
                Load::ClassBurst if in_period && least_urgent => BURST_FACTOR,
                _ => 1.0,
            };
            now = now + exponential(&mut random, Span((1e6 / (self.rate * factor)) as u64));
            if now >= ends {
                return;
            }
            let busiest = random.random_bool(BUSIEST_FACTOR / DATABASES as f64);
            let other = random.random_range(1..DATABASES);
            let leaves = self.load == Load::Leave && random.random_bool(LEAVING);
            let leaves_after = leaves.then(|| exponential(&mut random, LEAVES_AFTER));
            let returned = now.since(self.period.from) < OUTAGE && now >= self.period.from;
            let sent_at = match self.load == Load::Return && returned {
                true => {
                    let spread = Span(random.random_range(0..RETURN_SPREAD.0));
                    self.period.from + OUTAGE + spread
                }
                false => now,
            };
            arrivals.push(Arrival {
                organisation: self.organisation,
                rank: Rank(self.rank as u8),
                vm: random.random_range(0..VMS),
                database: if busiest { 0 } else { other },
                service: exponential(&mut random, STATEMENT_TIME),
                sent_at,
                leaves_after,
            });
        }
    }
}
