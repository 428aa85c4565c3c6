//! Exhaustive breadth-first search over the states of a small specification.
//!
//! The first broken state found is one of the nearest, so its trace is as short as any.

use pathfinding::directed::bfs::bfs;
use std::cell::Cell;
use std::fmt;
use std::hash::{Hash, Hasher};

/// A state that a specification may go to, and the event that leads there.
#[derive(Debug, Clone)]
pub struct Step<S, E> {
    /// What happens.
    pub event: E,
    /// The state after it.
    pub state: S,
}

/// What a search found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// How many different states were looked at.
    pub states: usize,
    /// The most events between the start and a state that was looked at.
    pub depth: usize,
    /// Whether the search ended because nothing was left, and not at its depth limit.
    pub complete: bool,
    /// The shortest way to a broken property, if there is one.
    pub trace: Option<Trace>,
}

/// The events that lead from the start to a broken property.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Trace {
    /// The property.
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

/// A state with the way it was reached; two are the same if their states are.
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
/// `next` lists the steps out of a state; `broken` names the property that a state breaks.
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
    let cut = Cell::new(false);
    let successors = |node: &Node<S, E>| {
        states.set(states.get() + 1);
        depth.set(node.depth);
        let inside = node.depth < limit;
        if !inside && cut.get() {
            return Vec::new();
        }
        let steps = next(&node.state);
        cut.set(cut.get() || (!inside && !steps.is_empty()));
        let below = node.depth + 1;
        steps
            .into_iter()
            .take_while(move |_| inside)
            .map(move |step| Node {
                state: step.state,
                event: Some(step.event),
                depth: below,
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
        complete: trace.is_none() && !cut.get(),
        trace,
    }
}
