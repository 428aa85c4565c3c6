//! Draws requests, faults and pauses from a seed.

use crate::standin::fake::{Answer, System};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of proxies in a schedule.
pub(super) const VMS: usize = 3;
const DATABASES: [&str; 3] = ["a", "b", "c"];
/// Sessions; the last one uses the pool that acknowledges a write once the primary has it.
const SESSIONS: [&str; 4] = ["s1", "s2", "s3", "quick"];

/// The lines that end every fault and give the system time to recover.
pub(super) const REPAIR: &[&str] = &[
    "heal",
    "store up",
    "list lags 0s",
    "start a",
    "start b",
    "start c",
    "flow a",
    "flow b",
    "flow c",
    "lag a 20ms",
    "lag b 20ms",
    "lag c 20ms",
    "run 8s",
    "start vm1",
    "start vm2",
    "start vm3",
    "run 30s",
];

/// Draws the lines of a schedule; remembers the values written and the proxies being stopped.
#[derive(Debug)]
pub(super) struct Generator {
    random: ChaCha8Rng,
    written: u64,
    stopping: Vec<String>,
}

impl Generator {
    pub fn new(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            written: 0,
            stopping: Vec::new(),
        }
    }

    /// The next lines: a request or a fault, and a pause.
    pub fn steps(&mut self, system: &System) -> Vec<String> {
        let mut lines = match self.below(10) {
            0..=6 => self.request(system),
            _ => self.fault(system).into_iter().collect(),
        };
        let pause = match self.below(6) {
            0 => 0,
            1..=4 => self.below(300),
            _ => self.below(3_000),
        };
        lines.push(format!("run {pause}ms"));
        lines
    }

    /// Two reads and a write of each session, after all faults have ended.
    pub fn final_requests(&mut self) -> Vec<String> {
        let mut lines = Vec::new();
        for session in SESSIONS {
            for _ in 0..2 {
                let vm = self.vm();
                lines.push(format!(
                    "read {session} at {vm} {session}{}",
                    durability_suffix(session)
                ));
                lines.push("run 6s".into());
            }
            let (vm, value) = (self.vm(), self.value());
            let fast = durability_suffix(session);
            lines.push(format!("write {session} at {vm} {session}={value}{fast}"));
            lines.push("run 6s".into());
        }
        lines.push("run 10s".into());
        lines
    }

    fn request(&mut self, system: &System) -> Vec<String> {
        let session = SESSIONS[self.below(SESSIONS.len() as u64) as usize];
        let (vm, fast) = (self.vm(), durability_suffix(session));
        match self.below(12) {
            0..=4 => {
                let value = self.value();
                vec![format!("write {session} at {vm} {session}={value}{fast}")]
            }
            5..=8 => vec![format!("read {session} at {vm} {session}{fast}")],
            9 => vec![format!("read phone at {vm} {session} age 500ms")],
            10 => self.keyed_write(system, vm),
            _ => self.transaction(vm),
        }
    }

    /// A write with a request key; often repeats the last one that was answered but not done.
    fn keyed_write(&mut self, system: &System, vm: String) -> Vec<String> {
        let keyed = |session: &str| session.starts_with("keyed");
        let open = system.tickets.iter().rev().find(|ticket| {
            let answered = matches!(&ticket.told, Some((_, Answer::Outcome(outcome)))
                if matches!(outcome, crate::core::request::Outcome::Done(_)));
            keyed(&ticket.session) && !answered && ticket.told.is_some()
        });
        let value = match open.and_then(|ticket| ticket.body.rsplit('=').next()) {
            Some(value) if self.below(3) > 0 => value.to_owned(),
            _ => self.value(),
        };
        vec![format!("write keyed at {vm} keyed={value} key {value}")]
    }

    fn transaction(&mut self, vm: String) -> Vec<String> {
        let value = self.value();
        let session = format!("t-{value}");
        let end = if self.below(4) == 0 {
            "rollback"
        } else {
            "commit"
        };
        let gap = format!("run {}ms", 5 + self.below(300));
        vec![
            format!("begin {session} at {vm}"),
            gap.clone(),
            format!("put {session} at {vm} left={value}"),
            gap.clone(),
            format!("put {session} at {vm} right={value}"),
            gap,
            format!("{end} {session} at {vm}"),
        ]
    }

    fn fault(&mut self, system: &System) -> Option<String> {
        let (vm, database) = (self.vm(), self.database());
        let runs = system.vms().iter().any(|running| running.as_str() == vm);
        let up = system.database_is_up(&database);
        let span = 100 + self.below(4_000);
        Some(match self.below(20) {
            0 => format!("cut {database} from {}", self.database()),
            1 => format!("cut {vm} from {database}"),
            2 if runs => {
                let other = self.vm();
                let both_run = other != vm && system.vms().iter().any(|v| v.as_str() == other);
                return both_run.then(|| format!("cut {vm} from {other}"));
            }
            3..=5 => "heal".into(),
            6 if runs => format!("freeze {vm} for {span}ms"),
            7 => format!("freeze {database} for {span}ms"),
            8 if runs => format!("kill {vm}"),
            9 if up => format!("kill {database}"),
            10 if runs && self.stopping.iter().all(|known| *known != vm) => {
                self.stopping.push(vm.clone());
                format!("stop {vm}")
            }
            8 | 10 | 11 => {
                self.stopping.retain(|known| *known != vm);
                match runs {
                    true => return None,
                    false => format!("start {vm}"),
                }
            }
            9 | 12 => format!("start {database}"),
            13 => format!("silence {database}"),
            14 => format!("lag {database} {span}ms"),
            15 => format!("stall {database}"),
            16 => format!("flow {database}"),
            17 => format!("lose {database}"),
            18 => match self.below(4) {
                0 => "store down".into(),
                1 => "store loses".into(),
                _ => "store up".into(),
            },
            19 => match self.below(2) {
                0 => format!("list lags {span}ms"),
                _ => {
                    // A second operator may work from an older version.
                    let base = system.stored().0 - self.below(2).min(system.stored().0 - 1);
                    format!("apply {base} staying {database}")
                }
            },
            _ => return None,
        })
    }

    fn value(&mut self) -> String {
        self.written += 1;
        format!("v{}", self.written)
    }

    fn vm(&mut self) -> String {
        format!("vm{}", 1 + self.below(VMS as u64))
    }

    fn database(&mut self) -> String {
        DATABASES[self.below(DATABASES.len() as u64) as usize].into()
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.random.next_u64() % bound
    }
}

/// The script's mark for writes that are acknowledged by the primary alone.
fn durability_suffix(session: &str) -> &'static str {
    match session {
        "quick" => " fast",
        _ => "",
    }
}
