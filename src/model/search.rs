//! Exhaustive breadth-first search over the states of a small specification.
//!
//! Breadth-first order makes the trace to a broken property one of the shortest.

use pathfinding::directed::bfs::bfs;
use std::cell::Cell;
use std::fmt;
use std::hash::{Hash, Hasher};

/// A transition: an event and the state after it.
#[derive(Debug, Clone)]
pub struct Step<S, E> {
    /// The event.
    pub event: E,
    /// The state after the event.
    pub state: S,
}

/// The result of a search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Number of distinct states visited.
    pub states: usize,
    /// The most events between the start and a visited state.
    pub depth: usize,
    /// Whether all reachable states were visited, without stopping at the depth limit.
    pub complete: bool,
    /// A shortest trace to a broken property, if one was found.
    pub trace: Option<Trace>,
}

/// The events that lead from the start to a broken property.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Trace {
    /// The description of the broken property.
    pub broken: &'static str,
    /// The events, first to last.
    pub events: Vec<Box<str>>,
}

impl fmt::Display for Trace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for event in &self.events {
            writeln!(f, "{event}")?;
        }
        write!(f, "=> {}", self.broken)
    }
}

/// A state with its last event and depth; compared and hashed by the state alone.
#[derive(Debug, Clone)]
struct Node<S, E> {
    state: S,
    event: Option<E>,
    depth: usize,
}

impl<S: PartialEq, E> PartialEq for Node<S, E> {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state
    }
}

impl<S: Eq, E> Eq for Node<S, E> {}

impl<S: Hash, E> Hash for Node<S, E> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.state.hash(hasher);
    }
}

/// Searches all states within `limit` events of `start`.
///
/// `next` returns the steps from a state; `broken` returns the property that a state breaks.
pub fn search<S, E>(
    start: S,
    limit: usize,
    next: impl Fn(&S) -> Vec<Step<S, E>>,
    broken: impl Fn(&S) -> Option<&'static str>,
) -> Report
where
    S: Clone + Eq + Hash,
    E: Clone + fmt::Display,
{
    let start = Node {
        state: start,
        event: None,
        depth: 0,
    };
    let states = Cell::new(0);
    let depth = Cell::new(0);
    let truncated = Cell::new(false);
    let successors = |node: &Node<S, E>| {
        states.set(states.get() + 1);
        depth.set(node.depth);
        let within_limit = node.depth < limit;
        if !within_limit && truncated.get() {
            return Vec::new();
        }
        let steps = next(&node.state);
        truncated.set(truncated.get() || (!within_limit && !steps.is_empty()));
        let next_depth = node.depth + 1;
        steps
            .into_iter()
            .take_while(move |_| within_limit)
            .map(move |step| Node {
                state: step.state,
                event: Some(step.event),
                depth: next_depth,
            })
            .collect::<Vec<_>>()
    };
    let path = bfs(&start, successors, |node| broken(&node.state).is_some());
    let trace = path.and_then(|path| {
        let broken = broken(&path.last()?.state)?;
        let events = path.iter().filter_map(|node| node.event.as_ref());
        Some(Trace {
            broken,
            events: events.map(|event| event.to_string().into()).collect(),
        })
    });
    Report {
        states: states.get(),
        depth: depth.get() + usize::from(trace.is_some()),
        complete: trace.is_none() && !truncated.get(),
        trace,
    }
}
