//! Requests drawn from a stream by a seeded generator.

use crate::clock::{Span, Time};
use crate::core::request::Class;
use crate::experiment::deployment::Size;
use crate::experiment::pattern::{
    Kind, LONG, LONG_PATIENCE, Mix, PATIENCE, SHORT, Stream, seconds,
};
use crate::types::CallerId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Sessions of each caller. A firm has so many brokers or clerks.
const SESSIONS: u32 = 50;

/// Half of all session reads look at what the session has just written, within this time.
const FOLLOWS_WITHIN: Span = Span::from_secs(1);

/// A burst comes once in this time, and lasts for its first second.
const BURST_PERIOD: Span = Span::from_secs(5);

/// One request as its caller sends it.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// What it is reported as.
    pub kind: Kind,
    /// The group asked.
    pub group: usize,
    /// Whose it is.
    pub caller: CallerId,
    /// The session, unique in its group.
    pub session: u32,
    /// The entry that it reaches, by the balancer.
    pub entry: usize,
    /// Its time on a warm database.
    pub service: Span,
    /// When it is sent.
    pub born: Time,
    /// How long its caller has use for an answer.
    pub patience: Span,
}

/// One draw from a source.
#[derive(Debug)]
pub struct Drawn {
    /// The request that is sent now.
    pub arrival: Option<Arrival>,
    /// Reads by which its session looks at what it wrote.
    pub follows: Vec<(Time, Arrival)>,
    /// When to draw again.
    pub next: Time,
}

/// A stream and its generator.
#[derive(Debug)]
pub struct Source {
    stream: Stream,
    callers: Vec<CallerId>,
    size: Size,
    random: ChaCha8Rng,
    started: bool,
}

impl Source {
    /// The source of `stream`, the `number`th of its plan.
    pub fn new(stream: Stream, size: &Size, seed: u64, number: u64) -> Self {
        let callers = (0..stream.callers)
            .filter_map(|caller| {
                let name = format!("{}-{}-{caller}", stream.prefix, stream.group);
                name.parse().ok()
            })
            .collect();
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(number);
        Self {
            callers,
            size: *size,
            random,
            started: false,
            stream,
        }
    }

    /// Draws what is sent at `now`; the first draw only tells when to begin.
    pub fn next(&mut self, now: Time) -> Drawn {
        let arrival = self.started.then(|| self.arrival(now));
        self.started = true;
        let follows = match &arrival {
            Some(arrival) if arrival.kind.class == Class::Confirm => self.follows(arrival),
            _ => Vec::new(),
        };
        let burst = now.0 % BURST_PERIOD.0 < BURST_PERIOD.0 / 5;
        let rate = self.rate() * if burst { self.stream.burst } else { 1.0 };
        let gap = self.exponential(Span((1e6 / rate) as u64));
        Drawn {
            arrival,
            follows,
            next: now + gap,
        }
    }

    /// The rate without follow-ups, which come on top.
    fn rate(&self) -> f64 {
        let followed = match self.stream.mix {
            Mix::Usual => f64::from(self.size.session_reads / 2),
            Mix::Long => 0.0,
        };
        self.stream.rate * (100.0 - followed) / 100.0
    }

    fn arrival(&mut self, born: Time) -> Arrival {
        let caller = self.random.random_range(0..self.callers.len());
        let class = self.class();
        let (mean, patience) = match class {
            Class::Long => (LONG, LONG_PATIENCE),
            _ => (SHORT, PATIENCE),
        };
        Arrival {
            kind: Kind {
                class,
                prefix: self.stream.prefix,
            },
            group: self.stream.group,
            caller: self.callers[caller].clone(),
            session: caller as u32 * SESSIONS + self.random.random_range(0..SESSIONS),
            entry: self.random.random_range(0..self.size.entries),
            service: self.exponential(mean),
            born,
            patience,
        }
    }

    /// Draws a class for what isn't sent as the follow-up of a write.
    fn class(&mut self) -> Class {
        if self.stream.mix == Mix::Long {
            return Class::Long;
        }
        let followed = self.size.session_reads / 2;
        let point = self.random.random_range(0..100 - followed);
        if point < self.size.writes {
            Class::Confirm
        } else if point < self.size.writes + self.size.session_reads - followed {
            Class::Session
        } else {
            Class::Aged
        }
    }

    fn follows(&mut self, write: &Arrival) -> Vec<(Time, Arrival)> {
        let mean = f64::from(self.size.session_reads) / 2.0 / f64::from(self.size.writes);
        let count = mean.floor() as u32 + u32::from(self.random.random_bool(mean.fract()));
        (0..count)
            .map(|_| {
                let gap = self.random.random_range(0..FOLLOWS_WITHIN.0);
                let born = write.born + Span(gap);
                let mut read = write.clone();
                read.kind.class = Class::Session;
                read.entry = self.random.random_range(0..self.size.entries);
                read.service = self.exponential(SHORT);
                read.born = born;
                (born, read)
            })
            .collect()
    }

    fn exponential(&mut self, mean: Span) -> Span {
        let uniform: f64 = self.random.random();
        Span(((1.0 - uniform).ln() * -seconds(mean) * 1e6) as u64 + 1)
    }
}
