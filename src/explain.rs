//! What happened to one request, from the logs of many VMs: its outcome, and what its VM knew then.

pub mod cause;
pub mod line;

use cause::Case;
use line::{Line, Seconds};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// How long before a request's start a line about a VM's state is still relevant: longer than a
/// lease on a group's primary and a replacement together.
const BEFORE_MS: i64 = 12_000;

/// How long after a request's last line such a line is relevant: late information may be the cause.
const AFTER_MS: i64 = 2_000;

/// Keys whose values distinguish lines with the same message.
const DISTINGUISHING_KEYS: [&str; 10] = [
    "group", "database", "primary", "epoch", "changing", "version", "outcome", "cause", "how", "vm",
];

/// The message of a VM with a new configuration. These lines are compared between VMs.
const CONFIGURED: &str = "a configuration is in force";

/// The key that holds the id of a line's request.
const REQUEST: &str = "request";

/// The key that holds the id of the first request of its operation.
const OPERATION: &str = "operation";

/// The lines that explain a request, or a moment on a VM.
#[derive(Debug)]
pub struct Report<'a> {
    title: String,
    cause: Option<String>,
    request: Option<&'a str>,
    /// The newest earlier line of each kind.
    known: Vec<&'a Line>,
    /// The lines of the time around it, in order.
    lines: Vec<Merged<'a>>,
}

/// A line and its repetitions.
#[derive(Debug)]
struct Merged<'a> {
    line: &'a Line,
    times: usize,
    vms: BTreeSet<&'a str>,
    last_ms: i64,
}

/// Explains request `id`; `None` if no line names it.
pub fn report<'a>(lines: &'a [Line], id: &'a str) -> Option<Report<'a>> {
    let mut own: Vec<&Line> = lines.iter().filter(|line| is_of(line, id)).collect();
    own.sort_by_key(|line| line.at_ms);
    let begin = own.iter().map(|line| line.began_ms()).min()?;
    let end = own.iter().map(|line| line.at_ms).max()?;
    let scope = Scope {
        vms: own.iter().map(|line| &*line.vm).collect(),
        groups: values(&own, &["group"]),
        databases: values(&own, &["database", "primary"]),
    };
    let mut context: Vec<&Line> = lines.iter().filter(|l| scope.concerns(l)).collect();
    context.sort_by_key(|line| line.at_ms);
    let case = Case {
        own: &own,
        context: &context,
    };
    let vms: Vec<&str> = scope.vms.iter().copied().collect();
    Some(Report {
        title: format!("request {id} on {}", vms.join(", ")),
        cause: Some(cause::likely(&case)),
        ..build(&scope, context.into_iter().chain(own), begin, end, Some(id))
    })
}

/// Shows the state of `vm` and its refusals around a moment: for a request that has no line, such as
/// one that never arrived, or whose VM was killed.
pub fn moment<'a>(lines: &'a [Line], vm: &'a str, at_ms: i64) -> Report<'a> {
    let scope = Scope {
        vms: [vm].into(),
        groups: BTreeSet::new(),
        databases: BTreeSet::new(),
    };
    let of_vm = lines.iter().filter(|line| &*line.vm == vm);
    Report {
        title: format!("{vm} at {}", Seconds(at_ms)),
        ..build(&scope, of_vm, at_ms, at_ms, None)
    }
}

fn build<'a>(
    scope: &Scope<'_>,
    lines: impl Iterator<Item = &'a Line>,
    begin: i64,
    end: i64,
    request: Option<&'a str>,
) -> Report<'a> {
    let mut related: Vec<&Line> = lines.collect();
    related.sort_by_key(|line| line.at_ms);
    let (early, rest): (Vec<_>, Vec<_>) = related
        .into_iter()
        .partition(|line| line.at_ms < begin - BEFORE_MS);
    let near = rest.into_iter().filter(|line| line.at_ms <= end + AFTER_MS);
    Report {
        title: String::new(),
        cause: None,
        request,
        known: newest(&early, &scope.vms),
        lines: merge(near, scope),
    }
}

/// Merges repeated lines. On the request's VMs, lines may differ only in values that are not among
/// [`DISTINGUISHING_KEYS`], such as ages. On other VMs the VM may differ too, so that 74 VMs that
/// receive the same update take one line.
fn merge<'a>(lines: impl Iterator<Item = &'a Line>, scope: &Scope<'_>) -> Vec<Merged<'a>> {
    let mut merged: Vec<Merged<'_>> = Vec::new();
    let mut indexes = BTreeMap::new();
    for line in lines {
        let vm = scope.vms.contains(&*line.vm).then_some(&*line.vm);
        let values = DISTINGUISHING_KEYS.map(|key| line.value(key));
        let index = *indexes
            .entry((vm, &*line.message, values))
            .or_insert(merged.len());
        if index == merged.len() {
            merged.push(Merged {
                line,
                times: 0,
                vms: BTreeSet::new(),
                last_ms: line.at_ms,
            });
        }
        let merged = &mut merged[index];
        merged.times += 1;
        merged.vms.insert(&line.vm);
        merged.last_ms = line.at_ms;
    }
    merged
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

/// The VMs, groups and databases that a request involved.
struct Scope<'a> {
    vms: BTreeSet<&'a str>,
    groups: BTreeSet<&'a str>,
    databases: BTreeSet<&'a str>,
}

impl Scope<'_> {
    /// Whether a line names no request and is about state that is relevant to this one.
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
            // A line without a group is about the whole VM: its store, configuration or steward.
            None => database.is_none() && self.vms.contains(&*line.vm),
        }
    }
}

/// The newest line of each kind that the request's own VMs wrote.
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

impl fmt::Display for Merged<'_> {
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

impl fmt::Display for Report<'_> {
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
        for merged in &self.lines {
            let own = self.request.is_some_and(|id| is_of(merged.line, id));
            write!(f, "{} {merged}", if own { '>' } else { ' ' })?;
        }
        Ok(())
    }
}
