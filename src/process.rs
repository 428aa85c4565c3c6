//! What this process uses of its machine, as Linux tells it under `/proc`.

use std::fs;
use std::time::Duration;

/// Linux counts processor time for programs in hundredths of a second.
const TICK: Duration = Duration::from_millis(10);

/// The size of a page on the machines that this runs on, in bytes.
const PAGE: u64 = 4096;

/// The resident memory of this process in bytes; `None` where the system doesn't tell it.
pub fn resident() -> Option<u64> {
    let text = fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = text.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE)
}

/// The processor time that this process used so far, in user and system mode, to 10 ms.
pub fn processor() -> Option<Duration> {
    let text = fs::read_to_string("/proc/self/stat").ok()?;
    // The second field is the program's name in brackets, which may hold anything.
    let (_, rest) = text.rsplit_once(')')?;
    let mut fields = rest.split_whitespace();
    let user: u32 = fields.nth(11)?.parse().ok()?;
    let system: u32 = fields.next()?.parse().ok()?;
    TICK.checked_mul(user.checked_add(system)?)
}

/// The processor time that this process's threads named `name` used so far, to the nanosecond.
pub fn thread(name: &str) -> Option<Duration> {
    let mut total = None;
    for task in fs::read_dir("/proc/self/task").ok()?.flatten() {
        let path = task.path();
        // A thread may end while it is looked at.
        let Ok(found) = fs::read_to_string(path.join("comm")) else {
            continue;
        };
        if found.trim_end() != name {
            continue;
        }
        let text = fs::read_to_string(path.join("schedstat")).ok()?;
        let nanos: u64 = text.split_whitespace().next()?.parse().ok()?;
        total = Some(total.unwrap_or_default() + Duration::from_nanos(nanos));
    }
    total
}
