//! Log lines on standard output, written without blocking the process.
//!
//! Standard output may be a pipe that nobody reads, or that is read slowly. A blocking write would
//! stop the one thread that serves all callers. Lines therefore go into a bounded queue ([`queue`]),
//! and a separate thread writes them and may block for ever. Lines that don't fit are dropped and
//! counted, and a log line reports their number.
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

/// The most lines a second of one target. This is more than the 254 requests that a VM refused in
/// the worst second of a bad day at the users' sites, when 8 VMs came back at once, and few enough
/// that a flood of lines leaves the processor to the requests.
pub const RATE: u32 = 400;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Sends logs to standard output, with the time of `clock`, which starts at zero with the process.
/// The environment variable `RUST_LOG` overrides `level`.
///
/// Call [`Queue::drain`] on the returned queue at the end of the process. Fails if the thread of the
/// queue can't be started.
pub fn install(
    level: log::LevelFilter,
    clock: impl Fn() -> Time + Copy + Send + Sync + 'static,
) -> std::io::Result<Queue> {
    let report_dropped = move |dropped| {
        DROPPED.fetch_add(dropped, Ordering::Relaxed);
        dropped_line(clock(), "unread", dropped)
    };
    let queue = Queue::start(Output, queue::LIMIT, report_dropped)?;
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
    // A second call, by another test in the same process, has no effect.
    let _ = builder.try_init();
    let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let unix = unix.map_or(Span::ZERO, Span::from);
    log::info!(unix_ms = unix.0 / 1_000; "started");
    Ok(queue)
}

/// Standard output without the lock and the buffer of `std::io::stdout`, as a thread that holds the
/// lock may block. It uses the process's own descriptor, the only one that some supervisors read.
struct Output;

impl std::io::Write for Output {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        Ok(rustix::io::write(std::io::stdout().as_fd(), bytes)?)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// The text to write for `record`: none, its line, or the number of dropped lines and its line.
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

/// Lines dropped since the process started, because the queue was full or the rate was exceeded.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

fn millis(now: Time) -> u64 {
    now.since(Time::default()).0 / 1_000
}

/// The line of `record`, with the line feed.
pub fn line(now: Time, record: &log::Record<'_>) -> String {
    let target = record.target();
    let target = target.strip_prefix("lentilspoke::").unwrap_or(target);
    let level = record.level();
    format!("{} {level} {target} {}\n", millis(now), body(record))
}

/// The message of `record` and its key-values, on one line whatever characters they hold.
pub fn body(record: &log::Record<'_>) -> String {
    let message = record.args().to_string();
    let shown = message
        .chars()
        .map(|c| if c.is_control() { ' ' } else { c });
    let mut body: String = shown.collect();
    // If a key-value can't be formatted, the rest of the line is still written.
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
        // Callers choose some values. Quotes keep a value from adding a pair or a line.
        let is_plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
        let written = match !value.is_empty() && value.chars().all(is_plain) {
            true => write!(self.0, " {key}={value}"),
            false => write!(self.0, " {key}={value:?}"),
        };
        written.map_err(log::kv::Error::from)
    }
}
