//! One request's story out of the logs of many VMs: what it was told, and what its VM believed then.

pub mod line;

use line::Line;
use std::collections::BTreeSet;
use std::fmt;

/// How long before a request's first line a change of belief still matters: longer than a lease on
/// a group's primary and a replacement together.
const BEFORE_MS: i64 = 12_000;

/// How long after its last line: a belief that comes too late explains as much.
const AFTER_MS: i64 = 2_000;

/// The key under which a line names its request.
const REQUEST: &str = "request";

/// A request's story.
#[derive(Debug)]
pub struct Story<'a> {
    id: &'a str,
    vms: BTreeSet<&'a str>,
    /// What was known before, the newest line of each kind.
    known: Vec<&'a Line>,
    /// What happened, in order; what a VM said more than once stands where it said it first, with
    /// how often.
    lines: Vec<(&'a Line, usize)>,
}

/// Tells the story of request `id`; none if no line names it.
pub fn story<'a>(lines: &'a [Line], id: &'a str) -> Option<Story<'a>> {
    let own: Vec<&Line> = lines.iter().filter(|line| is_of(line, id)).collect();
    let begin = own.iter().map(|line| line.began_ms()).min()?;
    let end = own.iter().map(|line| line.at_ms).max()?;
    let scene = Scene {
        vms: own.iter().map(|line| &*line.vm).collect(),
        groups: values(&own, &["group"]),
        databases: values(&own, &["database", "primary"]),
    };
    let matters = |line: &&Line| is_of(line, id) || scene.concerns(line);
    let mut related: Vec<&Line> = lines.iter().filter(matters).collect();
    related.sort_by_key(|line| line.at_ms);
    let (early, rest): (Vec<_>, Vec<_>) = related
        .into_iter()
        .partition(|line| line.at_ms < begin - BEFORE_MS);
    Some(Story {
        id,
        known: newest(&early, &scene.vms),
        lines: fold(rest.into_iter().filter(|line| line.at_ms <= end + AFTER_MS)),
        vms: scene.vms,
    })
}

fn fold<'a>(lines: impl Iterator<Item = &'a Line>) -> Vec<(&'a Line, usize)> {
    let mut folded: Vec<(&Line, usize)> = Vec::new();
    for line in lines {
        match folded.iter_mut().find(|(other, _)| other.says_like(line)) {
            Some((_, times)) => *times += 1,
            None => folded.push((line, 1)),
        }
    }
    folded
}

fn is_of(line: &Line, id: &str) -> bool {
    line.value(REQUEST) == Some(id)
}

fn values<'a>(lines: &[&'a Line], keys: &[&str]) -> BTreeSet<&'a str> {
    let found = lines.iter().flat_map(|line| {
        let line: &'a Line = line;
        keys.iter().filter_map(move |key| line.value(key))
    });
    found.collect()
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

impl fmt::Display for Story<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let vms: Vec<&str> = self.vms.iter().copied().collect();
        writeln!(f, "request {} on {}", self.id, vms.join(", "))?;
        if !self.known.is_empty() {
            writeln!(f, "\nknown before")?;
        }
        for line in &self.known {
            writeln!(f, "  {line}")?;
        }
        writeln!(f, "\nwhat happened (> is the request itself)")?;
        for (line, times) in &self.lines {
            let mark = if is_of(line, self.id) { '>' } else { ' ' };
            write!(f, "{mark} {line}")?;
            match times {
                1 => writeln!(f)?,
                times => writeln!(f, " ({times} times)")?,
            }
        }
        Ok(())
    }
}
