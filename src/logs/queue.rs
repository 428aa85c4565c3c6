//! Lines on their way to a file that may block.

use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes that may wait: over a second of lines at the highest rate, and a thousandth of a VM's
/// memory.
pub const LIMIT: usize = 256 * 1024;

/// Writes are this far apart at least, so that a burst of lines costs 50 wake-ups a second at
/// most. A line that comes alone is written at once.
const PAUSE: Duration = Duration::from_millis(20);

/// Bytes of one write at most, unless one line is longer: as many as a pipe takes whole or not at
/// all. A reader that takes 8 KiB of a longer write and leaves the rest cuts lines in two.
const PIECE: usize = 4096;

#[derive(Debug, Default)]
struct State {
    waiting: Vec<u8>,
    writing: bool,
    unsaid: u64,
    dropped: u64,
}

#[derive(Debug, Default)]
struct Inner {
    state: Mutex<State>,
    changed: Condvar,
}

/// A bounded queue of lines, and the thread that writes them. Clones share it.
#[derive(Debug, Clone)]
pub struct Queue {
    inner: Arc<Inner>,
    limit: usize,
}

impl Queue {
    /// Starts the thread that writes to `out`; up to `limit` bytes wait. `say` makes the line that
    /// tells how many were dropped.
    pub fn start(
        out: impl Write + Send + 'static,
        limit: usize,
        say: impl Fn(u64) -> String + Send + 'static,
    ) -> std::io::Result<Self> {
        let inner = Arc::<Inner>::default();
        let queue = Self {
            inner: Arc::clone(&inner),
            limit,
        };
        thread::Builder::new()
            .name("logs".into())
            .spawn(move || inner.run(out, say))?;
        Ok(queue)
    }

    /// Adds whole lines, or counts them as dropped if there is no room.
    pub fn push(&self, lines: &[u8]) {
        if lines.is_empty() {
            return;
        }
        let mut state = self.inner.lock();
        if state.waiting.len() + lines.len() > self.limit {
            state.unsaid += 1;
            state.dropped += 1;
            return;
        }
        // The writer waits only for an empty queue to fill; later lines need no call.
        let idle = state.waiting.is_empty() && !state.writing;
        state.waiting.extend_from_slice(lines);
        drop(state);
        if idle {
            self.inner.changed.notify_all();
        }
    }

    /// How many lines found no room so far.
    pub fn dropped(&self) -> u64 {
        self.inner.lock().dropped
    }

    /// Waits until all is written, at most for `patience`; for the end of a process.
    pub fn drain(&self, patience: Duration) {
        let done = Instant::now() + patience;
        let mut state = self.inner.lock();
        while !state.waiting.is_empty() || state.writing {
            let left = done.saturating_duration_since(Instant::now());
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
        // A line half added does no harm, so a panic elsewhere must not end the logs.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run(&self, mut out: impl Write, say: impl Fn(u64) -> String) {
        let mut lines = Vec::new();
        loop {
            let dropped = self.take(&mut lines);
            if dropped > 0 {
                lines.extend_from_slice(say(dropped).as_bytes());
            }
            for piece in pieces(&lines) {
                // Nobody can be told that the output is gone; lines go nowhere from then on.
                let _ = out.write_all(piece);
            }
            lines.clear();
            self.lock().writing = false;
            self.changed.notify_all();
            thread::sleep(PAUSE);
        }
    }

    /// Waits for lines, and moves them to `lines`; tells how many were dropped since the last time.
    fn take(&self, lines: &mut Vec<u8>) -> u64 {
        let mut state = self.lock();
        while state.waiting.is_empty() {
            let waited = self.changed.wait(state);
            state = waited.unwrap_or_else(PoisonError::into_inner);
        }
        std::mem::swap(&mut state.waiting, lines);
        state.writing = true;
        std::mem::take(&mut state.unsaid)
    }
}

/// Whole lines, as many at a time as [`PIECE`] allows.
fn pieces(mut lines: &[u8]) -> impl Iterator<Item = &[u8]> {
    std::iter::from_fn(move || {
        if lines.is_empty() {
            return None;
        }
        let is_end = |byte: &u8| *byte == b'\n';
        let room = &lines[..lines.len().min(PIECE)];
        let end = room.iter().rposition(is_end);
        let end = end.or_else(|| lines.iter().position(is_end));
        let (piece, rest) = lines.split_at(end.map_or(lines.len(), |end| end + 1));
        lines = rest;
        Some(piece)
    })
}
