//! Random fault schedules for the core with simulated databases, with fixed seeds.

mod support;

use lentilspoke::clock::{Span, Time};
use lentilspoke::core::node::Input;
use lentilspoke::core::request::{Kind, Outcome};
use lentilspoke::types::{Link, VmId};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use std::collections::BTreeMap;
use support::{World, id};

const VMS: usize = 4;
const SESSIONS: u64 = 3;

/// A caller's request and its time.
struct Asked {
    session: u64,
    text: Option<String>,
    at: Time,
    vm: VmId,
    /// Whether its proxy was killed before it answered.
    orphan: bool,
}

/// A transaction with one write.
struct Transaction {
    vm: String,
    text: String,
    /// How many of `begin`, the write and `commit` were submitted.
    submitted: usize,
}

struct Schedule {
    transactions: BTreeMap<Link, Transaction>,
    rng: ChaCha8Rng,
    world: World,
    asked: BTreeMap<Link, Asked>,
    next: u64,
}

impl Schedule {
    fn pick(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound
    }

    fn vm(&mut self) -> String {
        format!("vm{}", self.pick(VMS as u64))
    }

    fn ask(&mut self) {
        self.next += 1;
        let (link, session, vm) = (self.next, self.pick(SESSIONS), self.vm());
        if !self.world.nodes.contains_key(&id::<VmId>(&vm)) {
            return;
        }
        let writes = self.pick(2) == 0;
        let text = writes.then(|| format!("t{link}"));
        let kind = if writes { Kind::Write } else { Kind::Read };
        let body = text
            .as_ref()
            .map_or("r".to_owned(), |text| format!("w {text}"));
        let mut request = self.world.request(link, kind, &body);
        request.session = Some(id(&format!("s{session}")));
        if self.pick(4) == 0 {
            request.key = text.as_ref().map(|text| id(text));
        }
        self.world.submit(&vm, request);
        let at = self.world.now;
        let asked = Asked {
            session,
            text,
            at,
            vm: id(&vm),
            orphan: false,
        };
        self.asked.insert(Link(link), asked);
    }

    /// Begins a transaction, and continues those whose last statement was answered.
    fn transact(&mut self) {
        self.next += 1;
        let (link, vm) = (self.next, self.vm());
        if self.world.nodes.contains_key(&id::<VmId>(&vm)) {
            self.world.say(&vm, link, "begin");
            let text = format!("x{link}");
            let transaction = Transaction {
                vm,
                text,
                submitted: 1,
            };
            self.transactions.insert(Link(link), transaction);
        }
        for (link, transaction) in &mut self.transactions {
            let told = self.world.told.get(link).map_or(&[][..], Vec::as_slice);
            let done = told
                .iter()
                .all(|told| matches!(told.outcome, Outcome::Done(_)));
            let alive = self.world.nodes.contains_key(&id::<VmId>(&transaction.vm));
            if !alive || !done || told.len() < transaction.submitted || transaction.submitted == 3 {
                continue;
            }
            let body = match transaction.submitted {
                1 => format!("w {}", transaction.text),
                _ => "commit".into(),
            };
            transaction.submitted += 1;
            self.world.say(&transaction.vm.clone(), link.0, &body);
        }
    }

    /// Checks that a transaction's write exists if its commit was acknowledged, and does not if the
    /// transaction never committed or its commit was reported as not run.
    fn check_transactions(&self, seed: u64, texts: &[&str]) {
        for (link, transaction) in &self.transactions {
            let told = self.world.told.get(link).map_or(&[][..], Vec::as_slice);
            let count = texts
                .iter()
                .filter(|text| **text == transaction.text)
                .count();
            let committed = told.get(2).map(|told| &told.outcome);
            let min = usize::from(matches!(committed, Some(Outcome::Done(_))));
            let never = transaction.submitted < 3 || matches!(committed, Some(Outcome::NotRun(_)));
            let max = usize::from(!never);
            let name = &transaction.text;
            assert!(
                (min..=max).contains(&count),
                "seed {seed}: {name} {count} times, {told:?}"
            );
        }
    }

    fn fault(&mut self) {
        let vm = self.vm();
        let name = ["a", "b", "c"][self.pick(3) as usize];
        match self.pick(16) {
            0 => {
                let other = self.vm();
                if other != vm {
                    self.world.cut(&vm, &other);
                }
            }
            1 => self.world.cut(&vm, name),
            2 => {
                let other = ["a", "b", "c"][self.pick(3) as usize];
                self.world.cut(name, other);
            }
            3 => {
                self.world.paused.insert(id(&vm));
            }
            4 => self.world.paused.clear(),
            5 => self.world.database(name).lose_answers = 2,
            6 => self.world.database(name).lag = Span::from_millis(300),
            7 => self.world.database(name).lag = Span::ZERO,
            8 => self.kill(&vm),
            9 | 10 => self.start_all(),
            11 => self.world.kill_database(name),
            12 => self.world.revive_databases(),
            13 => self.world.input(&id(&vm), Input::Stop),
            _ => self.repair(),
        }
    }

    /// Removes the processes that have stopped. All their requests were answered, so no request
    /// becomes an orphan.
    fn remove_stopped(&mut self) {
        for vm in std::mem::take(&mut self.world.stopped) {
            self.world.kill(vm.as_str());
        }
    }

    fn kill(&mut self, vm: &str) {
        self.world.kill(vm);
        for (link, asked) in &mut self.asked {
            asked.orphan |= asked.vm.as_str() == vm && !self.world.told.contains_key(link);
        }
    }

    fn start_all(&mut self) {
        for index in 0..VMS {
            let vm: VmId = id(&format!("vm{index}"));
            if !self.world.nodes.contains_key(&vm) {
                self.world.start(&vm);
            }
        }
    }

    fn repair(&mut self) {
        self.world.heal();
        self.world.paused.clear();
        self.world.revive_databases();
        self.start_all();
    }

    fn play(&mut self) {
        self.world.run(Span::from_secs(4));
        for _ in 0..150 {
            if self.pick(8) == 0 {
                self.fault();
            }
            self.remove_stopped();
            self.ask();
            if self.pick(4) == 0 {
                self.transact();
            }
            let pause = self.pick(100);
            self.world.run(Span::from_millis(pause));
        }
        self.repair();
        self.world.run(Span::from_secs(20));
    }

    /// Compares the log of the last primary with the outcomes that callers received.
    fn check(&mut self, seed: u64) {
        let Some(primary) = self.world.primary() else {
            panic!("no primary with seed {seed}")
        };
        let log = self.world.database(&primary).texts().join(",");
        let texts: Vec<&str> = log.split(',').collect();
        for (link, asked) in &self.asked {
            let told = self.world.told.get(link).map_or(&[][..], Vec::as_slice);
            let Some(told) = told.first().filter(|_| told.len() == 1) else {
                // A caller whose proxy was killed receives no answer.
                assert!(
                    told.is_empty() && asked.orphan,
                    "seed {seed}: {link} was told {told:?}"
                );
                continue;
            };
            let count = |text: &String| texts.iter().filter(|t| *t == text).count();
            let Some(text) = &asked.text else { continue };
            match &told.outcome {
                Outcome::Done(_) => assert_eq!(count(text), 1, "seed {seed}: {text} in {log}"),
                Outcome::NotRun(_) => assert_eq!(count(text), 0, "seed {seed}: {text} in {log}"),
                Outcome::Unknown(_) => assert!(count(text) <= 1, "seed {seed}: {text} in {log}"),
            }
        }
        self.check_transactions(seed, &texts);
        self.check_reads(seed);
    }

    /// Checks that each answered read shows all writes of its session acknowledged before it.
    fn check_reads(&self, seed: u64) {
        for (link, asked) in self.asked.iter().filter(|(_, asked)| asked.text.is_none()) {
            let told = self.world.told.get(link).map(|told| &told[0].outcome);
            let Some(Outcome::Done(done)) = told else {
                continue;
            };
            let body = String::from_utf8(done.body.to_vec()).unwrap();
            let seen: Vec<&str> = body.split(',').collect();
            for (other, write) in &self.asked {
                let (Some(text), Some(told)) = (&write.text, self.world.told.get(other)) else {
                    continue;
                };
                let told = &told[0];
                let acknowledged = matches!(told.outcome, Outcome::Done(_));
                if acknowledged && write.session == asked.session && told.at < asked.at {
                    let told_at = told.at;
                    assert!(
                        seen.contains(&text.as_str()),
                        "seed {seed}: read {link} asked at {:?} lacks {text} of {told_at:?}: {body}",
                        asked.at
                    );
                }
            }
        }
    }
}

fn play(seed: u64) -> (usize, usize) {
    let mut schedule = Schedule {
        rng: ChaCha8Rng::seed_from_u64(seed),
        world: World::new(VMS),
        asked: BTreeMap::new(),
        transactions: BTreeMap::new(),
        next: 0,
    };
    schedule.play();
    schedule.check(seed);
    let told = schedule.world.told.values().flatten();
    let done = told
        .filter(|told| matches!(told.outcome, Outcome::Done(_)))
        .count();
    (done, schedule.asked.len())
}

#[test]
fn reported_outcomes_hold_under_random_faults() {
    let seeds = std::env::var("LENTILSPOKE_SEEDS").ok();
    let seeds: u64 = seeds.and_then(|seeds| seeds.parse().ok()).unwrap_or(20);
    let (mut done, mut asked) = (0, 0);
    for seed in 0..seeds {
        let (answered, all) = play(seed);
        done += answered;
        asked += all;
    }
    assert!(
        done * 3 > asked,
        "only {done} of {asked} requests were answered"
    );
}
