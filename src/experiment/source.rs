//! Requests generated from a stream by a seeded generator.

use crate::clock::{Span, Time};
use crate::core::request::Class;
use crate::experiment::deployment::Size;
use crate::experiment::pattern::{
    Kind, LONG_REQUEST_TIMEOUT, LONG_STATEMENT_TIME, Mix, REQUEST_TIMEOUT, SHORT_STATEMENT_TIME,
    Stream, seconds,
};
use crate::types::CallerId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Sessions per caller: a firm has this many brokers or clerks.
const SESSIONS_PER_CALLER: u32 = 50;

/// Half of all session reads read back the session's last write, within this time.
const READ_BACK_WINDOW: Span = Span::from_secs(1);

/// The interval between bursts; each lasts for the first fifth of it, one second.
const BURST_PERIOD: Span = Span::from_secs(5);

/// One request as its caller sends it.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The kind that it is reported under.
    pub kind: Kind,
    /// The group that it is sent to.
    pub group: usize,
    /// The caller that sends it.
    pub caller: CallerId,
    /// The session, unique in its group.
    pub session: u32,
    /// The index of the entry that the load balancer chose.
    pub entry: usize,
    /// Its execution time on a warm database.
    pub service: Span,
    /// When it is sent.
    pub sent_at: Time,
    /// How long its caller waits for an answer.
    pub timeout: Span,
}

/// The result of one draw from a source.
#[derive(Debug)]
pub struct Drawn {
    /// The request to send now.
    pub arrival: Option<Arrival>,
    /// Later reads by which the session reads back its write.
    pub follow_ups: Vec<(Time, Arrival)>,
    /// When to draw again.
    pub next: Time,
}

/// A stream and its random number generator.
#[derive(Debug)]
pub struct Source {
    stream: Stream,
    callers: Vec<CallerId>,
    size: Size,
    random: ChaCha8Rng,
    started: bool,
}

impl Source {
    /// Creates the source of `stream`; `number` is its index in the plan.
    pub fn new(stream: Stream, size: &Size, seed: u64, number: u64) -> Self {
        let callers = (0..stream.callers)
            .filter_map(|caller| {
                let name = format!("{}-{}-{caller}", stream.prefix, stream.group);
                name.parse().ok()
            })
            .collect();
        Self {
            callers,
            size: *size,
            random: random(seed, number),
            started: false,
            stream,
        }
    }

    /// Draws the request to send at `now`; the first draw returns only the time of the next.
    pub fn next(&mut self, now: Time) -> Drawn {
        let arrival = self.started.then(|| self.arrival(now));
        self.started = true;
        let follow_ups = match &arrival {
            Some(arrival) if arrival.kind.class == Class::Confirm => self.follow_ups(arrival),
            _ => Vec::new(),
        };
        let burst = now.0 % BURST_PERIOD.0 < BURST_PERIOD.0 / 5;
        let rate = self.rate() * if burst { self.stream.burst } else { 1.0 };
        let gap = self.exponential(Span((1e6 / rate) as u64));
        Drawn {
            arrival,
            follow_ups,
            next: now + gap,
        }
    }

    /// The rate without follow-up reads, which are sent in addition.
    fn rate(&self) -> f64 {
        let followed = match self.stream.mix {
            Mix::Usual => f64::from(self.size.session_reads / 2),
            Mix::Long => 0.0,
        };
        self.stream.rate * (100.0 - followed) / 100.0
    }

    fn arrival(&mut self, sent_at: Time) -> Arrival {
        let caller = self.random.random_range(0..self.callers.len());
        let class = self.class();
        let (mean, timeout) = match class {
            Class::Long => (LONG_STATEMENT_TIME, LONG_REQUEST_TIMEOUT),
            _ => (SHORT_STATEMENT_TIME, REQUEST_TIMEOUT),
        };
        Arrival {
            kind: Kind {
                class,
                prefix: self.stream.prefix,
            },
            group: self.stream.group,
            caller: self.callers[caller].clone(),
            session: caller as u32 * SESSIONS_PER_CALLER
                + self.random.random_range(0..SESSIONS_PER_CALLER),
            entry: self.random.random_range(0..self.size.entries),
            service: self.exponential(mean),
            sent_at,
            timeout,
        }
    }

    /// Draws the class of a request that is not a follow-up read.
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

    fn follow_ups(&mut self, write: &Arrival) -> Vec<(Time, Arrival)> {
        let mean = f64::from(self.size.session_reads) / 2.0 / f64::from(self.size.writes);
        let count = mean.floor() as u32 + u32::from(self.random.random_bool(mean.fract()));
        (0..count)
            .map(|_| {
                let gap = self.random.random_range(0..READ_BACK_WINDOW.0);
                let sent_at = write.sent_at + Span(gap);
                let mut read = write.clone();
                read.kind.class = Class::Session;
                read.entry = self.random.random_range(0..self.size.entries);
                read.service = self.exponential(SHORT_STATEMENT_TIME);
                read.sent_at = sent_at;
                (sent_at, read)
            })
            .collect()
    }

    fn exponential(&mut self, mean: Span) -> Span {
        exponential(&mut self.random, mean)
    }
}

/// The random number generator of one stream of a seed.
pub fn random(seed: u64, stream: u64) -> ChaCha8Rng {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(stream);
    random
}

/// Draws an exponential span with this mean.
pub fn exponential(random: &mut ChaCha8Rng, mean: Span) -> Span {
    let uniform: f64 = random.random();
    Span(((1.0 - uniform).ln() * -seconds(mean) * 1e6) as u64 + 1)
}
