//! One request's story out of the logs of many VMs: what it was told, and what its VM believed then.

pub mod cause;
pub mod line;

use cause::Case;
use line::Line;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// How long before a request's first line a change of belief still matters: longer than a lease on
/// a group's primary and a replacement together.
const BEFORE_MS: i64 = 12_000;

/// How long after its last line: a belief that comes too late explains as much.
const AFTER_MS: i64 = 2_000;

/// Keys by whose values a line says something else than another with the same message.
const SAME: [&str; 10] = [
    "group", "database", "primary", "epoch", "changing", "version", "outcome", "cause", "how", "vm",
];

/// What a VM says of a new configuration, which is compared between VMs.
const CONFIGURED: &str = "a configuration is in force";

/// The key under which a line names its request.
const REQUEST: &str = "request";

/// The key under which it names the first request of its operation.
const OPERATION: &str = "operation";

/// A request's story, or that of a moment on a VM.
#[derive(Debug)]
pub struct Story<'a> {
    title: String,
    cause: Option<String>,
    request: Option<&'a str>,
    /// What was known before, the newest line of each kind.
    known: Vec<&'a Line>,
    /// What happened, in order.
    lines: Vec<Told<'a>>,
}

/// A line, and those that say the same.
#[derive(Debug)]
struct Told<'a> {
    line: &'a Line,
    times: usize,
    vms: BTreeSet<&'a str>,
    last_ms: i64,
}

/// Tells the story of request `id`; none if no line names it.
pub fn story<'a>(lines: &'a [Line], id: &'a str) -> Option<Story<'a>> {
    let mut own: Vec<&Line> = lines.iter().filter(|line| is_of(line, id)).collect();
    own.sort_by_key(|line| line.at_ms);
    let begin = own.iter().map(|line| line.began_ms()).min()?;
    let end = own.iter().map(|line| line.at_ms).max()?;
    let scene = Scene {
        vms: own.iter().map(|line| &*line.vm).collect(),
        groups: values(&own, &["group"]),
        databases: values(&own, &["database", "primary"]),
    };
    let mut beliefs: Vec<&Line> = lines.iter().filter(|l| scene.concerns(l)).collect();
    beliefs.sort_by_key(|line| line.at_ms);
    let case = Case {
        own: &own,
        beliefs: &beliefs,
    };
    let vms: Vec<&str> = scene.vms.iter().copied().collect();
    Some(Story {
        title: format!("request {id} on {}", vms.join(", ")),
        cause: Some(cause::likely(&case)),
        ..tell(&scene, beliefs.into_iter().chain(own), begin, end, Some(id))
    })
}

/// Tells what `vm` believed, and whom it refused, around a moment: for a request that has no line, as
/// one that never arrived, or whose VM was killed.
pub fn moment<'a>(lines: &'a [Line], vm: &'a str, at_ms: i64) -> Story<'a> {
    let scene = Scene {
        vms: [vm].into(),
        groups: BTreeSet::new(),
        databases: BTreeSet::new(),
    };
    let of_vm = lines.iter().filter(|line| &*line.vm == vm);
    Story {
        title: format!("{vm} at {}", Seconds(at_ms)),
        ..tell(&scene, of_vm, at_ms, at_ms, None)
    }
}

fn tell<'a>(
    scene: &Scene<'_>,
    lines: impl Iterator<Item = &'a Line>,
    begin: i64,
    end: i64,
    request: Option<&'a str>,
) -> Story<'a> {
    let mut related: Vec<&Line> = lines.collect();
    related.sort_by_key(|line| line.at_ms);
    let (early, rest): (Vec<_>, Vec<_>) = related
        .into_iter()
        .partition(|line| line.at_ms < begin - BEFORE_MS);
    let near = rest.into_iter().filter(|line| line.at_ms <= end + AFTER_MS);
    Story {
        title: String::new(),
        cause: None,
        request,
        known: newest(&early, &scene.vms),
        lines: fold(near, scene),
    }
}

/// What makes two lines say the same: on the request's VM all but ages, elsewhere also the VM may
/// differ, so that 74 VMs that learn of one thing are one line.
fn fold<'a>(lines: impl Iterator<Item = &'a Line>, scene: &Scene<'_>) -> Vec<Told<'a>> {
    let mut told: Vec<Told<'_>> = Vec::new();
    let mut places = BTreeMap::new();
    for line in lines {
        let vm = scene.vms.contains(&*line.vm).then_some(&*line.vm);
        let same = SAME.map(|key| line.value(key));
        let place = *places
            .entry((vm, &*line.message, same))
            .or_insert(told.len());
        if place == told.len() {
            told.push(Told {
                line,
                times: 0,
                vms: BTreeSet::new(),
                last_ms: line.at_ms,
            });
        }
        let told = &mut told[place];
        told.times += 1;
        told.vms.insert(&line.vm);
        told.last_ms = line.at_ms;
    }
    told
}

/// Whether a line is of request `id`, or of the transaction that began with it.
fn is_of(line: &Line, id: &str) -> bool {
    line.value(REQUEST) == Some(id) || line.value(OPERATION) == Some(id)
}

fn values<'a>(lines: &[&'a Line], keys: &[&str]) -> BTreeSet<&'a str> {
    let found = lines.iter().flat_map(|line| {
        let line: &'a Line = line;
        keys.iter().filter_map(move |key| line.value(key))
    });
    found.filter(|value| *value != "-").collect()
}

/// What a request has to do with.
struct Scene<'a> {
    vms: BTreeSet<&'a str>,
    groups: BTreeSet<&'a str>,
    databases: BTreeSet<&'a str>,
}

impl Scene<'_> {
    /// Whether a line that names no request tells of a belief that matters to this one.
    fn concerns(&self, line: &Line) -> bool {
        if line.value(REQUEST).is_some() {
            return false;
        }
        if &*line.message == CONFIGURED {
            return true;
        }
        let database = ["database", "primary"]
            .iter()
            .find_map(|key| line.value(key));
        if database.is_some_and(|database| self.databases.contains(database)) {
            return true;
        }
        match line.value("group") {
            Some(group) => self.groups.contains(group),
            // What has no group is of the whole VM: the store, the configuration, the steward.
            None => database.is_none() && self.vms.contains(&*line.vm),
        }
    }
}

/// The newest line of each kind, of the request's own VMs.
fn newest<'a>(early: &[&'a Line], vms: &BTreeSet<&str>) -> Vec<&'a Line> {
    let mut seen = BTreeSet::new();
    let own = early.iter().rev().filter(|line| vms.contains(&*line.vm));
    let mut known: Vec<&Line> = own
        .filter(|line| seen.insert((&*line.vm, &*line.message, line.value("group"))))
        .copied()
        .collect();
    known.reverse();
    known
}

/// A time in seconds.
struct Seconds(i64);

impl fmt::Display for Seconds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (seconds, millis) = (self.0.div_euclid(1_000), self.0.rem_euclid(1_000));
        write!(f, "{seconds}.{millis:03}")
    }
}

impl fmt::Display for Told<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.line)?;
        if self.times == 1 {
            return writeln!(f);
        }
        write!(f, " ({} times", self.times)?;
        if self.vms.len() > 1 {
            write!(f, " on {} VMs", self.vms.len())?;
        }
        writeln!(f, ", the last at {})", Seconds(self.last_ms))
    }
}

impl fmt::Display for Story<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.title)?;
        if let Some(cause) = &self.cause {
            writeln!(f, "likely cause: {cause}")?;
        }
        if !self.known.is_empty() {
            writeln!(f, "\nknown before")?;
        }
        for line in &self.known {
            writeln!(f, "  {line}")?;
        }
        match self.request {
            Some(_) => writeln!(f, "\nwhat happened (> is the request itself)")?,
            None => writeln!(f, "\nwhat happened")?,
        }
        for told in &self.lines {
            let own = self.request.is_some_and(|id| is_of(told.line, id));
            write!(f, "{} {told}", if own { '>' } else { ' ' })?;
        }
        Ok(())
    }
}
