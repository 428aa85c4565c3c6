//! Exchange between the roles of one proxy: ended jobs, acknowledgements, roles and ownership.

use super::Node;
use crate::clock::Span;
use crate::config::Accepted;
use crate::core::database::{Event, Refusal};
use crate::core::holder::Holder;
use crate::core::job::{End, Ended, Job};
use crate::core::member::Member;
use crate::core::message::{Answer, Hint, Message};
use crate::core::output::Output;
use crate::core::request::{Done, Outcome, Unknown};
use crate::core::role::Role;
use crate::core::steward::Steward;
use crate::core::world::Turn;
use crate::types::{DatabaseId, GroupId};
use std::sync::Arc;

impl Node {
    /// Calls `act` with a database's holder, which is created if the configuration names the
    /// database. Returns whether there is one.
    pub(super) fn with_holder(
        &mut self,
        database: &DatabaseId,
        out: &mut Vec<Output>,
        act: impl FnOnce(&mut Holder, &mut Turn),
    ) -> bool {
        let (mut turn, parts) = self.turn(out);
        if !parts.holders.contains_key(database) {
            let (Some(settings), Some(group)) =
                (turn.world.database(database), turn.world.group_of(database))
            else {
                return false;
            };
            let holder = Holder::new(database.clone(), group.clone(), settings);
            parts.holders.insert(database.clone(), holder);
        }
        let Some(holder) = parts.holders.get_mut(database) else {
            return false;
        };
        act(holder, &mut turn);
        let ended = holder.take_ended();
        for ended in ended {
            self.ended(ended, out);
        }
        true
    }

    /// Calls `act` with this VM's steward of a group. Returns whether there is one.
    pub(super) fn with_steward(
        &mut self,
        group: &GroupId,
        out: &mut Vec<Output>,
        act: impl FnOnce(&mut Steward, &mut Turn),
    ) -> bool {
        let (mut turn, parts) = self.turn(out);
        let Some(steward) = parts.stewards.get_mut(group) else {
            return false;
        };
        act(steward, &mut turn);
        let completions = steward.take_completions();
        for completion in completions {
            let lease = completion.lease.map(|until| until.since(self.now));
            self.answer(completion.job, completion.outcome, None, lease, out);
        }
        self.sync_role(group, out);
        true
    }

    /// Like [`with_steward`](Self::with_steward), but creates the steward if there is none.
    pub(super) fn join_steward(
        &mut self,
        group: &GroupId,
        out: &mut Vec<Output>,
        act: impl FnOnce(&mut Steward, &mut Turn),
    ) -> bool {
        let (turn, parts) = self.turn(out);
        if turn.world.group(group).is_none() {
            return false;
        }
        if !parts.stewards.contains_key(group) {
            let steward = Steward::new(&turn, group.clone());
            parts.stewards.insert(group.clone(), steward);
        }
        self.with_steward(group, out, act)
    }

    /// Updates the roles of the holders whose databases start or stop being led by this VM.
    fn sync_role(&mut self, group: &GroupId, out: &mut Vec<Output>) {
        let role = self.stewards.get(group).and_then(Steward::role);
        let role = role.map(|(database, role)| (database.clone(), role));
        let led = self.led.get(group);
        if let Some(former) = led.filter(|led| role.as_ref().map(|(id, _)| id) != Some(*led)) {
            let former = former.clone();
            self.led.remove(group);
            self.with_holder(&former, out, |holder, turn| {
                holder.set_role(turn, Role::Replica);
            });
        }
        let Some((database, role)) = role else {
            return;
        };
        if self.led.get(group) != Some(&database) {
            self.led.insert(group.clone(), database.clone());
        }
        if self
            .holders
            .get(&database)
            .is_none_or(|holder| holder.role != role)
        {
            self.with_holder(&database, out, |holder, turn| {
                holder.set_role(turn, role);
            });
        }
    }

    /// Handles the end of a job. A primary's answer goes through its steward.
    fn ended(&mut self, ended: Ended, out: &mut Vec<Output>) {
        let Ended { job, end } = ended;
        match end {
            End::Answered(reply) => match job.term {
                Some(term) => {
                    let group = job.work.group.clone();
                    let job = &mut Some((job, reply));
                    self.with_steward(&group, out, |steward, turn| {
                        if let Some((job, reply)) = job.take() {
                            steward.answered(turn, term, job, reply);
                        }
                    });
                    if let Some((job, _)) = job.take() {
                        let outcome = Outcome::Unknown(Unknown::Unconfirmed);
                        self.answer(job, outcome, None, None, out);
                    }
                }
                None => {
                    let done = Done {
                        body: reply.body,
                        status: reply.status,
                        wrote: reply.wrote,
                        replica: true,
                    };
                    self.answer(job, Outcome::Done(done), None, None, out);
                }
            },
            End::NotRun(not_run, refused) => {
                let group = job.work.group.clone();
                self.answer(job, Outcome::NotRun(not_run), refused, None, out);
                if let Some(Refusal::Term(higher)) = refused {
                    self.with_steward(&group, out, |steward, turn| steward.refused(turn, higher));
                }
            }
            End::Unknown(unknown) => self.answer(job, Outcome::Unknown(unknown), None, None, out),
        }
    }

    /// Sends a job's outcome to its entry.
    fn answer(
        &mut self,
        job: Job,
        outcome: Outcome,
        refused: Option<Refusal>,
        lease: Option<Span>,
        out: &mut Vec<Output>,
    ) {
        let hint = self.hint(&job);
        let (mut turn, _) = self.turn(out);
        let answer = Answer {
            request: job.work.request,
            outcome,
            refused,
            lease,
            hint,
        };
        turn.send(&job.origin, Message::Answer(answer));
    }

    fn hint(&self, job: &Job) -> Hint {
        let leader = self.world.leaders.get(&job.work.group);
        let holder = self.holders.get(&job.work.database);
        holder.map_or_else(Hint::default, |holder| {
            holder.hint(self.now, leader, job.work.leader)
        })
    }

    /// Handles an event of a database or of a connection to it.
    pub(super) fn database(&mut self, event: Event, out: &mut Vec<Output>) {
        let conn = match &event {
            Event::Controlled { .. } => return self.controlled(event, out),
            Event::Connected { conn }
            | Event::ConnectFailed { conn, .. }
            | Event::Answered { conn, .. }
            | Event::Refused { conn, .. }
            | Event::Closed { conn } => *conn,
        };
        let Some(database) = self.world.connections.get(&conn).cloned() else {
            return;
        };
        if matches!(event, Event::Closed { .. } | Event::ConnectFailed { .. }) {
            self.world.connections.remove(&conn);
        }
        self.with_holder(&database, out, |holder, turn| holder.event(turn, event));
    }

    /// Handles a new list of VMs from the platform.
    pub(super) fn members(&mut self, members: Vec<Member>, out: &mut Vec<Output>) {
        let first = self.world.members.is_empty();
        self.world.set_members(members);
        let (mut turn, parts) = self.turn(out);
        if first {
            parts.spread.accepted(&mut turn);
        }
        self.sweep(out);
    }

    /// Puts a configuration in force, if there is one.
    pub(super) fn put_in_force(&mut self, accepted: Option<Arc<Accepted>>, out: &mut Vec<Output>) {
        let Some(accepted) = accepted else {
            return;
        };
        self.world.accept(accepted);
        for (id, holder) in &mut self.holders {
            if let Some(settings) = self.world.database(id) {
                holder.configure(settings);
            }
        }
        let groups: Vec<GroupId> = self.stewards.keys().cloned().collect();
        for group in groups {
            self.with_steward(&group, out, |steward, turn| steward.configure(turn));
        }
        let (mut turn, parts) = self.turn(out);
        parts.spread.accepted(&mut turn);
        self.sweep(out);
    }

    /// Creates holders for the databases that this VM holds now, and releases the others.
    pub(super) fn sweep(&mut self, out: &mut Vec<Output>) {
        let held = self.world.held(self.now);
        for database in &held {
            self.with_holder(database, out, |_, _| {});
            if let Some(group) = self.world.group_of(database).cloned() {
                self.join_steward(&group, out, |_, _| {});
            }
        }
        let led: Vec<DatabaseId> = self.led.values().cloned().collect();
        let world = &self.world;
        let works = |id: &DatabaseId| world.database(id).is_some_and(|found| !found.leaving);
        let stays = |id: &DatabaseId| held.contains(id) && works(id) || led.contains(id);
        let others: Vec<DatabaseId> = self
            .holders
            .keys()
            .filter(|id| !stays(id))
            .cloned()
            .collect();
        for database in others {
            self.with_holder(&database, out, |holder, turn| holder.close_idle(turn));
        }
        self.holders
            .retain(|id, holder| held.contains(id) || led.contains(id) || !holder.is_empty());
        let world = &self.world;
        self.stewards.retain(|group, steward| {
            steward.is_active() || held.iter().any(|id| world.group_of(id) == Some(group))
        });
    }
}
