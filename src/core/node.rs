//! The core of one proxy: its inputs and outputs, and the roles that process them.

mod dump;
mod peer;
mod settle;

use crate::clock::{Span, Time};
use crate::config::{Accepted, Pool};
use crate::core::counters::Counters;
use crate::core::database::Event;
use crate::core::entry::Entry;
use crate::core::holder::Holder;
use crate::core::member::{Identity, Member};
use crate::core::message::Message;
use crate::core::output::Output;
use crate::core::request::Request;
use crate::core::spread::Spread;
use crate::core::steward::{Quiet, Steward};
use crate::core::world::{Turn, World};
use crate::types::{CallerId, DatabaseId, GroupId, Link, PoolId, VmId};
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;

/// How often deadlines are checked while work is under way. This costs less than a timer for each
/// statement.
const DEADLINE_INTERVAL: Span = Span::from_millis(10);

/// The minimum time between two ticks, so that a timer in the past does not cause a busy loop.
const MIN_TICK_INTERVAL: Span = Span::from_millis(1);

/// The interval at which the set of databases and groups that this VM holds is updated.
const SWEEP_INTERVAL: Span = Span::from_secs(1);

/// A stopping proxy must be quiet for this long before it exits, so that requests that other
/// proxies sent before they received the announcement of the stop are still served.
const MIN_QUIET: Span = Span::from_millis(300);

/// The longest duration of a planned stop, whatever transactions callers hold open.
const STOP_TIMEOUT: Span = Span::from_secs(60);

/// An input of a proxy.
#[derive(Debug, Clone)]
pub enum Input {
    /// A caller sends a request.
    Submit(Request),
    /// A caller's connection was closed.
    Depart(Link),
    /// A caller asks to cancel the request under way on its connection.
    Cancel(Link),
    /// Another proxy's message arrived.
    Message {
        /// The sender.
        from: VmId,
        /// The message.
        message: Message,
    },
    /// The stream to another proxy is open. `PeerUp` and `PeerDown` of one proxy come in the
    /// order in which its streams opened and broke, each once.
    PeerUp(VmId),
    /// The stream to another proxy broke, or could not be opened. What was sent since the last
    /// `PeerUp` may have arrived; without a `PeerUp` since the last `PeerDown`, nothing has.
    ///
    /// No message of the old stream follows. Messages to that proxy are discarded, not sent over
    /// a new stream, from when the stream is found broken until this input has been handled: the
    /// node counts them as never sent, and sends them again.
    PeerDown(VmId),
    /// An event of a database or of a connection to it.
    Database(Event),
    /// The platform's list of VMs was read.
    Members(Vec<Member>),
    /// A configuration was read or received.
    Accepted(Arc<Accepted>),
    /// The process was asked to stop.
    Stop,
    /// Time has passed.
    Tick,
}

/// One proxy's core, without sockets or timers.
#[derive(Debug)]
pub struct Node {
    world: World,
    now: Time,
    entry: Entry,
    holders: BTreeMap<DatabaseId, Holder>,
    stewards: BTreeMap<GroupId, Steward>,
    /// The primaries that this VM leads and whose holders were given that role.
    led: BTreeMap<GroupId, DatabaseId>,
    spread: Spread,
    sweep_at: Time,
    /// When the last tick was. The next one counts from it, so that a proxy that receives inputs
    /// all the time still checks its deadlines.
    ticked: Time,
    stopping: Option<Stopping>,
}

/// A planned stop under way.
#[derive(Debug, Serialize)]
struct Stopping {
    /// When the process exits even if work is left.
    until: Time,
    /// Since when nothing has been under way.
    quiet_since: Time,
    stopped: bool,
}

impl Node {
    /// Creates a proxy without configuration or members.
    pub fn new(identity: Identity, now: Time) -> Self {
        Self {
            world: World::new(identity),
            now,
            entry: Entry::new(),
            holders: BTreeMap::new(),
            stewards: BTreeMap::new(),
            led: BTreeMap::new(),
            spread: Spread::default(),
            sweep_at: now + SWEEP_INTERVAL,
            ticked: now,
            stopping: None,
        }
    }

    /// Handles `input` and adds the resulting outputs to `out`. `now` must be read from the clock
    /// after the input arrived.
    ///
    /// A process that was paused then handles old inputs with the current time and does not rely
    /// on leases or confirmations that expired during the pause.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        self.take(input, out);
        while let Some(message) = self.world.inbox.pop_front() {
            let me = self.world.me.vm.clone();
            self.message(me, message, out);
        }
        self.check_stop(out);
    }

    /// When the next [`Input::Tick`] is due.
    pub fn wake(&self) -> Option<Time> {
        let busy = self.entry.is_busy() || self.holders.values().any(Holder::is_busy);
        let deadlines = (busy || self.stopping.is_some()).then(|| self.ticked + DEADLINE_INTERVAL);
        let stewards = self.stewards.values().map(Steward::wake);
        let timers = [self.sweep_at, self.spread.wake()];
        let next = timers.into_iter().chain(stewards).chain(deadlines).min()?;
        Some(next.max(self.ticked + MIN_TICK_INTERVAL))
    }

    /// The configuration in force, once there is one.
    pub fn accepted(&self) -> Option<&Accepted> {
        self.world.config.as_deref()
    }

    /// Whether callers can be served, which needs a configuration and a list of VMs.
    pub fn is_ready(&self) -> bool {
        self.world.config.is_some() && self.world.listed
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.is_some()
    }

    /// The counters since the process started.
    pub fn counters(&self) -> &Counters {
        &self.world.counters
    }

    /// The pool that serves `caller` in `group` under the configuration in force.
    pub fn pool_of(&self, caller: &CallerId, group: &GroupId) -> Option<(PoolId, &Pool)> {
        self.world.pool_of(caller, group)
    }

    fn turn<'a>(&'a mut self, out: &'a mut Vec<Output>) -> (Turn<'a>, Parts<'a>) {
        let turn = Turn {
            now: self.now,
            world: &mut self.world,
            out,
        };
        let parts = Parts {
            entry: &mut self.entry,
            holders: &mut self.holders,
            stewards: &mut self.stewards,
            spread: &mut self.spread,
        };
        (turn, parts)
    }

    fn take(&mut self, input: Input, out: &mut Vec<Output>) {
        let (mut turn, parts) = self.turn(out);
        match input {
            Input::Submit(request) => parts.entry.submit(&mut turn, request),
            Input::Depart(link) => parts.entry.depart(&mut turn, link),
            Input::Cancel(link) => parts.entry.cancel(&mut turn, link),
            Input::Message { from, message } => self.message(from, message, out),
            Input::PeerUp(vm) => {
                turn.world.peer_up(&vm);
                parts.spread.send_hello(&mut turn, &vm);
            }
            Input::PeerDown(vm) => self.peer_down(&vm, out),
            Input::Database(event) => self.database(event, out),
            Input::Members(members) => self.members(members, out),
            Input::Accepted(accepted) => {
                let settled = parts.spread.offered(&mut turn, accepted);
                self.put_in_force(settled, out);
            }
            Input::Stop => self.stop(out),
            Input::Tick => self.tick(out),
        }
    }

    fn tick(&mut self, out: &mut Vec<Output>) {
        self.ticked = self.now;
        let (mut turn, parts) = self.turn(out);
        parts.entry.tick(&mut turn);
        parts.spread.tick(&mut turn);
        let settled = parts.spread.settle(&mut turn);
        self.put_in_force(settled, out);
        let databases: Vec<DatabaseId> = self.holders.keys().cloned().collect();
        for database in databases {
            self.with_holder(&database, out, |holder, turn| holder.tick(turn));
        }
        let groups: Vec<GroupId> = self.stewards.keys().cloned().collect();
        for group in groups {
            let quiet = self.quiet(&group);
            self.with_steward(&group, out, |steward, turn| steward.tick(turn, quiet));
        }
        if self.sweep_at <= self.now {
            self.sweep_at = self.now + SWEEP_INTERVAL;
            self.sweep(out);
        }
    }

    fn quiet(&self, group: &GroupId) -> Quiet {
        let holder = self.led.get(group).and_then(|id| self.holders.get(id));
        Quiet {
            transactions: holder.is_none_or(Holder::has_no_transaction),
            work: holder.is_none_or(Holder::has_no_job),
        }
    }

    fn stop(&mut self, out: &mut Vec<Output>) {
        if self.stopping.is_some() {
            return;
        }
        self.world.stopping = true;
        self.stopping = Some(Stopping {
            until: self.now + STOP_TIMEOUT,
            quiet_since: self.now,
            stopped: false,
        });
        let (mut turn, parts) = self.turn(out);
        parts.entry.stop(&mut turn);
        let peers = turn.world.peers.iter().filter(|(_, peer)| peer.up);
        let mut peers: Vec<VmId> = peers.map(|(vm, _)| vm.clone()).collect();
        peers.sort_unstable();
        for vm in peers {
            parts.spread.send_hello(&mut turn, &vm);
        }
    }

    /// Ends the process once it leads no group and nothing has been under way for a while.
    fn check_stop(&mut self, out: &mut Vec<Output>) {
        if self
            .stopping
            .as_ref()
            .is_none_or(|stopping| stopping.stopped)
        {
            return;
        }
        let now = self.now;
        let quiet = self.entry.is_quiet()
            && self.holders.values().all(Holder::is_quiet)
            && !self.stewards.values().any(Steward::is_active);
        let Some(stopping) = &mut self.stopping else {
            return;
        };
        if !quiet {
            stopping.quiet_since = now;
        }
        if now >= stopping.quiet_since + MIN_QUIET || now >= stopping.until {
            stopping.stopped = true;
            out.push(Output::Stopped);
        }
    }
}

/// The roles of a node, borrowed separately from its turn.
struct Parts<'a> {
    entry: &'a mut Entry,
    holders: &'a mut BTreeMap<DatabaseId, Holder>,
    stewards: &'a mut BTreeMap<GroupId, Steward>,
    spread: &'a mut Spread,
}
