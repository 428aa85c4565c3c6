//! Parses log lines in the format of `crate::logs`, or with a time and a VM in front.

use std::collections::BTreeMap;
use std::fmt;

const LEVELS: [&str; 5] = ["TRACE", "DEBUG", "INFO", "WARN", "ERROR"];

/// The message of a process's first line, and its key for the time of day.
const STARTED: &str = "started";
const UNIX: &str = "unix_ms";

type Pairs = Vec<(Box<str>, Box<str>)>;

/// One log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// When it was written, in milliseconds, on a time axis common to all lines.
    pub at_ms: i64,
    /// The VM that wrote it.
    pub vm: Box<str>,
    /// Its level.
    pub level: Box<str>,
    /// Its message.
    pub message: Box<str>,
    pairs: Pairs,
}

impl Line {
    /// The value of a key.
    pub fn value(&self, key: &str) -> Option<&str> {
        let found = self.pairs.iter().find(|(name, _)| **name == *key);
        found.map(|(_, value)| &**value)
    }

    /// When the operation that it reports began: its time less `took_ms`.
    pub fn began_ms(&self) -> i64 {
        let took = self.value("took_ms").and_then(|took| took.parse().ok());
        self.at_ms - took.unwrap_or(0)
    }
}

/// A time in milliseconds, shown in seconds; before the first process started it is negative.
#[derive(Debug, Clone, Copy)]
pub struct Seconds(pub i64);

impl fmt::Display for Seconds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}", self.0 as f64 / 1_000.0)
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = Seconds(self.at_ms).to_string();
        write!(f, "{at:>10} {:<18} {:<5} ", self.vm, self.level)?;
        write!(f, "{}", self.message)?;
        for (key, value) in &self.pairs {
            write!(f, " {key}={value}")?;
        }
        Ok(())
    }
}

/// The lines of several files, on a common time axis.
#[derive(Debug, Default)]
pub struct Reader {
    lines: Vec<Line>,
    /// The time of day at which the first process started.
    origin: Option<i64>,
}

impl Reader {
    /// Reads a file's text. Lines in another format are skipped. `name` is the VM of lines that name
    /// none.
    pub fn read(&mut self, name: &str, text: &str) {
        // A process's times count from its start, and a file may hold several runs of it.
        let mut started = 0;
        for line in text.lines() {
            let Some(Raw { prefix, body }) = split(line) else {
                continue;
            };
            let (message, pairs) = fields(body.rest);
            let seen = match *prefix {
                [time, vm] | [time, vm, _] => seconds(time).map(|at| (at, vm)),
                [time] => {
                    if message == STARTED {
                        started = self.offset(&pairs, time);
                    }
                    time.parse().ok().map(|at: i64| (started + at, name))
                }
                _ => None,
            };
            let Some((at_ms, vm)) = seen else { continue };
            self.lines.push(Line {
                at_ms,
                vm: vm.into(),
                level: body.level.into(),
                message: message.into(),
                pairs,
            });
        }
    }

    /// The start of a process, relative to that of the first process read.
    fn offset(&mut self, pairs: &Pairs, time: &str) -> i64 {
        let pairs: BTreeMap<&str, &str> = pairs.iter().map(|(k, v)| (&**k, &**v)).collect();
        let unix = pairs.get(UNIX).and_then(|unix| unix.parse::<i64>().ok());
        let (Some(unix), Ok(time)) = (unix, time.parse::<i64>()) else {
            return 0;
        };
        let zero = unix - time;
        zero - *self.origin.get_or_insert(zero)
    }

    /// All lines.
    pub fn lines(self) -> Vec<Line> {
        self.lines
    }
}

struct Raw<'a> {
    prefix: Box<[&'a str]>,
    body: Body<'a>,
}

struct Body<'a> {
    level: &'a str,
    rest: &'a str,
}

/// Splits a line into the words before the level, the level, and the text after the target.
fn split(line: &str) -> Option<Raw<'_>> {
    let mut prefix = Vec::new();
    let mut rest = line.trim_start();
    loop {
        let (word, after) = rest.split_once(' ')?;
        rest = after.trim_start();
        if LEVELS.contains(&word) {
            let (_, rest) = rest.split_once(' ')?;
            let body = Body { level: word, rest };
            let prefix = prefix.into();
            return Some(Raw { prefix, body });
        }
        prefix.push(word);
        if prefix.len() > 3 {
            return None;
        }
    }
}

/// Milliseconds, from a time in seconds.
pub fn seconds(text: &str) -> Option<i64> {
    let seconds: f64 = text.parse().ok()?;
    Some((seconds * 1_000.0).round() as i64)
}

/// Splits a text into the message and the pairs after it.
fn fields(rest: &str) -> (&str, Pairs) {
    let mut at = 0;
    for word in rest.split(' ') {
        if is_pair(word) {
            let message = rest[..at].trim_end();
            return (message, pairs(&rest[at..]));
        }
        at += word.len() + 1;
    }
    (rest, Vec::new())
}

fn is_pair(word: &str) -> bool {
    let key = word.split_once('=').map(|(key, _)| key);
    let plain = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_';
    key.is_some_and(|key| !key.is_empty() && key.chars().all(plain))
}

fn pairs(mut rest: &str) -> Pairs {
    let mut pairs = Vec::new();
    while let Some((key, after)) = rest.split_once('=') {
        let end = value_end(after);
        pairs.push((key.trim().into(), after[..end].into()));
        rest = &after[end..];
    }
    pairs
}

/// The index at which a value ends: at a space, or after the closing quote.
fn value_end(text: &str) -> usize {
    if !text.starts_with('"') {
        return text.find(' ').unwrap_or(text.len());
    }
    let mut escaped = false;
    for (at, c) in text.char_indices().skip(1) {
        match c {
            _ if escaped => escaped = false,
            '\\' => escaped = true,
            '"' => return at + 1,
            _ => {}
        }
    }
    text.len()
}
