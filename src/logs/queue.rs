//! A bounded queue of lines for an output that may block.

use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The most bytes in the queue: over a second of lines at the highest rate, and a thousandth of a
/// VM's memory.
pub const LIMIT: usize = 256 * 1024;

/// The shortest interval between writes, so that a burst of lines causes at most 50 wake-ups a
/// second. A single line is written at once.
const WRITE_INTERVAL: Duration = Duration::from_millis(20);

/// The most bytes in one write, unless one line is longer: a pipe accepts this many atomically. A
/// reader that reads only 8 KiB of a longer write would cut a line in two.
const MAX_WRITE_BYTES: usize = 4096;

#[derive(Debug, Default)]
struct State {
    waiting: Vec<u8>,
    writing: bool,
    unreported: u64,
    dropped: u64,
}

#[derive(Debug, Default)]
struct Inner {
    state: Mutex<State>,
    changed: Condvar,
}

/// A bounded queue of lines and the thread that writes them. Clones share both.
#[derive(Debug, Clone)]
pub struct Queue {
    inner: Arc<Inner>,
    limit: usize,
}

impl Queue {
    /// Starts the thread that writes to `out`. The queue holds up to `limit` bytes. `dropped_line`
    /// formats the line that reports a number of dropped lines. Fails if the thread can't be started.
    pub fn start(
        out: impl Write + Send + 'static,
        limit: usize,
        dropped_line: impl Fn(u64) -> String + Send + 'static,
    ) -> std::io::Result<Self> {
        let inner = Arc::<Inner>::default();
        let queue = Self {
            inner: Arc::clone(&inner),
            limit,
        };
        thread::Builder::new()
            .name("logs".into())
            .spawn(move || inner.run(out, dropped_line))?;
        Ok(queue)
    }

    /// Adds whole lines; if they don't fit, they are dropped and counted as one.
    pub fn push(&self, lines: &[u8]) {
        if lines.is_empty() {
            return;
        }
        let mut state = self.inner.lock();
        if state.waiting.len() + lines.len() > self.limit {
            state.unreported += 1;
            state.dropped += 1;
            return;
        }
        // The writer waits only while the queue is empty, so later lines need no notification.
        let idle = state.waiting.is_empty() && !state.writing;
        state.waiting.extend_from_slice(lines);
        drop(state);
        if idle {
            self.inner.changed.notify_all();
        }
    }

    /// How many lines were dropped so far.
    pub fn dropped(&self) -> u64 {
        self.inner.lock().dropped
    }

    /// Waits until all lines are written, or until `timeout`; for the end of a process.
    pub fn drain(&self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        let mut state = self.inner.lock();
        while !state.waiting.is_empty() || state.writing {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            let waited = self.inner.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl Write for Queue {
    fn write(&mut self, lines: &[u8]) -> std::io::Result<usize> {
        self.push(lines);
        Ok(lines.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        // A partly added line does no harm, so a panic of another thread need not stop the logs.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run(&self, mut out: impl Write, dropped_line: impl Fn(u64) -> String) {
        let mut lines = Vec::new();
        loop {
            let dropped = self.take(&mut lines);
            if dropped > 0 {
                lines.extend_from_slice(dropped_line(dropped).as_bytes());
            }
            for chunk in chunks(&lines) {
                // If the output is closed, there is nowhere to report it: the lines are lost.
                let _ = out.write_all(chunk);
            }
            lines.clear();
            self.lock().writing = false;
            self.changed.notify_all();
            thread::sleep(WRITE_INTERVAL);
        }
    }

    /// Waits for lines and moves them to `lines`; returns how many were dropped since the last call.
    fn take(&self, lines: &mut Vec<u8>) -> u64 {
        let mut state = self.lock();
        while state.waiting.is_empty() {
            let waited = self.changed.wait(state);
            state = waited.unwrap_or_else(PoisonError::into_inner);
        }
        std::mem::swap(&mut state.waiting, lines);
        state.writing = true;
        std::mem::take(&mut state.unreported)
    }
}

/// Splits `lines` into chunks of whole lines, each as long as [`MAX_WRITE_BYTES`] allows.
fn chunks(mut lines: &[u8]) -> impl Iterator<Item = &[u8]> {
    std::iter::from_fn(move || {
        if lines.is_empty() {
            return None;
        }
        let is_end = |byte: &u8| *byte == b'\n';
        let room = &lines[..lines.len().min(MAX_WRITE_BYTES)];
        let end = room.iter().rposition(is_end);
        let end = end.or_else(|| lines.iter().position(is_end));
        let (chunk, rest) = lines.split_at(end.map_or(lines.len(), |end| end + 1));
        lines = rest;
        Some(chunk)
    })
}
