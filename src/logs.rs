//! Log lines on standard output, for a process that must never wait for whoever reads them.
//!
//! **Failure answered.** Standard output is a pipe that nobody reads, or reads slowly.
//! **Symptom without it.** The write blocks, and with it the one thread that serves all callers.
//! **Why it suffices.** Lines go into a queue of bounded size ([`queue`]); a thread of its own does
//! the writes, and may block for ever. What does not fit is dropped, counted, and said in a line.
//!
//! A line is `MILLISECONDS LEVEL TARGET MESSAGE KEY=VALUE...`, the time counted from the start of
//! the process. The first line of a process gives the time of day as `unix_ms`, so that the lines of
//! several VMs can be put in order.

pub mod budget;
pub mod queue;

use crate::clock::{Span, Time};
use budget::{Budget, Verdict};
use queue::Queue;
use std::fmt::Write;
use std::os::fd::AsFd;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::SystemTime;

/// Lines a second of one target: more than a VM refused in the worst second of a bad day on the
/// users' sites (254, when 8 VMs came back at once), and few enough that a storm leaves the
/// processor to the requests.
pub const RATE: u32 = 400;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Sends logs to standard output from now on, with the time read from `clock`, which shows zero
/// when the process starts. The environment variable `RUST_LOG` goes before `level`.
///
/// The queue that comes back is for [`Queue::drain`] at the end of the process.
pub fn install(
    level: log::LevelFilter,
    clock: impl Fn() -> Time + Copy + Send + Sync + 'static,
) -> std::io::Result<Queue> {
    let say = move |dropped| {
        DROPPED.fetch_add(dropped, Ordering::Relaxed);
        dropped_line(clock(), "unread", dropped)
    };
    let queue = Queue::start(Output, queue::LIMIT, say)?;
    let budget = Mutex::new(Budget::new(RATE));
    let mut builder = env_logger::Builder::new();
    builder
        .filter_module("lentilspoke", level)
        .parse_default_env()
        .target(env_logger::Target::Pipe(Box::new(queue.clone())))
        .format(move |out, record| {
            let now = clock();
            let verdict = match budget.lock() {
                Ok(mut budget) => budget.admit(record.target(), now),
                Err(_) => Verdict::Admit,
            };
            std::io::Write::write_all(out, text(verdict, now, record).as_bytes())
        });
    // A second call, by a test in the same process, changes nothing.
    let _ = builder.try_init();
    let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let unix = unix.map_or(Span::ZERO, Span::from);
    log::info!(unix_ms = unix.0 / 1_000; "started");
    Ok(queue)
}

/// Standard output without the lock and the buffer of `std::io::stdout`: whoever holds that lock
/// may block. The descriptor is the process's own, as some supervisors follow only that one.
struct Output;

impl std::io::Write for Output {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        Ok(rustix::io::write(std::io::stdout().as_fd(), bytes)?)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// What is written in place of `record`: nothing, its line, or its line after the number dropped.
fn text(verdict: Verdict, now: Time, record: &log::Record<'_>) -> String {
    match verdict {
        Verdict::Drop => {
            DROPPED.fetch_add(1, Ordering::Relaxed);
            String::new()
        }
        Verdict::Admit => line(now, record),
        Verdict::AdmitAfter(dropped) => {
            dropped_line(now, record.target(), dropped) + &line(now, record)
        }
    }
}

fn dropped_line(now: Time, of: &str, dropped: u64) -> String {
    format!(
        "{} WARN logs lines dropped of={of} dropped={dropped}\n",
        millis(now)
    )
}

/// Lines that found no room since the process started, or not enough of the rate.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

fn millis(now: Time) -> u64 {
    now.since(Time::default()).0 / 1_000
}

/// The line of `record`, with its end.
pub fn line(now: Time, record: &log::Record<'_>) -> String {
    let target = record.target();
    let target = target.strip_prefix("lentilspoke::").unwrap_or(target);
    let level = record.level();
    format!("{} {level} {target} {}\n", millis(now), body(record))
}

/// The message of `record` and its key-values, on one line whatever is in them.
pub fn body(record: &log::Record<'_>) -> String {
    let message = record.args().to_string();
    let shown = message
        .chars()
        .map(|c| if c.is_control() { ' ' } else { c });
    let mut body: String = shown.collect();
    // A key-value that can't be shown must not cost the line.
    let _ = record.key_values().visit(&mut Pairs(&mut body));
    body
}

struct Pairs<'a>(&'a mut String);

impl<'kvs> log::kv::VisitSource<'kvs> for Pairs<'_> {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        let value = value.to_string();
        // Callers choose some values; none of them can make a pair or a line of its own.
        let plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
        let written = match !value.is_empty() && value.chars().all(plain) {
            true => write!(self.0, " {key}={value}"),
            false => write!(self.0, " {key}={value:?}"),
        };
        written.map_err(log::kv::Error::from)
    }
}
