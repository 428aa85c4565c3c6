//! Resource usage of this process, from Linux's `/proc`.

use std::fs;
use std::time::Duration;

/// The unit in which Linux reports processor time to programs: hundredths of a second.
const TICK: Duration = Duration::from_millis(10);

/// The page size of the supported machines, in bytes.
const PAGE: u64 = 4096;

/// The resident memory of this process in bytes; `None` if the system doesn't report it.
pub fn resident() -> Option<u64> {
    let text = fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = text.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE)
}

/// The processor time that this process has used in user and system mode, with a resolution of 10 ms.
pub fn cpu_time() -> Option<Duration> {
    let text = fs::read_to_string("/proc/self/stat").ok()?;
    // The second field is the program's name in brackets, which may hold any character.
    let (_, rest) = text.rsplit_once(')')?;
    let mut fields = rest.split_whitespace();
    let user: u32 = fields.nth(11)?.parse().ok()?;
    let system: u32 = fields.next()?.parse().ok()?;
    TICK.checked_mul(user.checked_add(system)?)
}

/// The processor time that this process's threads named `name` have used, with a resolution of 1 ns.
pub fn thread_cpu_time(name: &str) -> Option<Duration> {
    let mut total = None;
    for task in fs::read_dir("/proc/self/task").ok()?.flatten() {
        let path = task.path();
        // A thread may end before its files are read.
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
