//! Processes the scheduled events: inputs to proxies, commands to databases, replication.

use super::base::{Base, Offer};
use super::{DETECTION_DELAY, LATENCY, POLL_INTERVAL, REPLICATION_INTERVAL, Scheduled, System};
use crate::clock::Span;
use crate::core::database::{Command, Event};
use crate::core::node::Input;
use crate::types::{DatabaseId, Life, VmId};

impl System {
    pub(super) fn process(&mut self, scheduled: Scheduled) {
        match scheduled {
            Scheduled::Input(vm, life, input) => self.deliver(&vm, life, input),
            Scheduled::Message(from, to, epoch, message) => {
                if self.delivers(&from, &to, epoch)
                    && let Some(life) = self.machines.get(&to).map(|machine| machine.life)
                {
                    self.deliver(&to, life, Input::Message { from, message });
                }
            }
            Scheduled::Broken(one, other, epoch) => self.broken(one, other, epoch),
            Scheduled::Command(vm, life, command) => self.command(vm, life, command),
            Scheduled::Event(database, vm, life, event) => self.event(&database, &vm, life, event),
            Scheduled::Forget(vm, life) => {
                for base in self.bases.values_mut() {
                    base.connections
                        .retain(|owner, _| (&owner.0, owner.1) != (&vm, life));
                }
            }
            Scheduled::ResumeVm(vm, life) => self.resume_vm(&vm, life),
            Scheduled::ResumeDatabase(id) => self.resume_database(&id),
            Scheduled::Replicate => self.replicate(),
            Scheduled::Poll(vm, life) => self.poll(&vm, life),
        }
    }

    fn deliver(&mut self, vm: &VmId, life: Life, input: Input) {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(vm) else {
            return;
        };
        if machine.life != life {
            return;
        }
        if machine.paused {
            machine.deferred.push_back(input);
            return;
        }
        let mut out = Vec::new();
        machine.node.handle(now, input, &mut out);
        let version = machine.node.accepted().map(|accepted| accepted.version);
        if version < Some(machine.version) && machine.version.0 > 0 {
            self.violations.push("a configuration was reverted".into());
        }
        machine.version = version.unwrap_or_default();
        for output in out {
            self.output(vm, life, output);
        }
    }

    fn resume_vm(&mut self, vm: &VmId, life: Life) {
        let Some(machine) = self.machines.get_mut(vm) else {
            return;
        };
        if machine.life != life {
            return;
        }
        machine.paused = false;
        for input in std::mem::take(&mut machine.deferred) {
            self.schedule(Span::ZERO, Scheduled::Input(vm.clone(), life, input));
        }
    }

    fn poll(&mut self, vm: &VmId, life: Life) {
        if self.machines.get(vm).is_none_or(|m| m.life != life) {
            return;
        }
        let members = self.listed();
        self.input(vm, Span::ZERO, Input::Members(members));
        if !self.store.down {
            let accepted = self.store.accepted.clone();
            self.input(vm, Span::ZERO, Input::Accepted(accepted));
        }
        self.schedule(POLL_INTERVAL, Scheduled::Poll(vm.clone(), life));
    }

    /// Pauses a database's process for `span`: it accepts commands but does nothing.
    pub fn freeze_database(&mut self, id: &DatabaseId, span: Span) {
        if let Some(base) = self.bases.get_mut(id) {
            base.frozen = true;
            self.schedule(span, Scheduled::ResumeDatabase(id.clone()));
        }
    }

    fn resume_database(&mut self, id: &DatabaseId) {
        let Some(base) = self.bases.get_mut(id) else {
            return;
        };
        base.frozen = false;
        for (vm, life, command) in std::mem::take(&mut base.deferred) {
            self.schedule(Span::ZERO, Scheduled::Command(vm, life, command));
        }
    }

    /// Ends a database's process; it keeps its log and its term.
    pub fn kill_database(&mut self, id: &DatabaseId) {
        let Some(base) = self.bases.get_mut(id) else {
            return;
        };
        base.up = false;
        base.deferred.clear();
        for ((vm, life, conn), _) in std::mem::take(&mut base.connections) {
            let event = Event::Closed { conn };
            self.schedule(LATENCY, Scheduled::Event(id.clone(), vm, life, event));
        }
    }

    /// Restarts a database's process.
    pub fn revive_database(&mut self, id: &DatabaseId) {
        if let Some(base) = self.bases.get_mut(id) {
            base.up = true;
        }
    }

    fn command(&mut self, vm: VmId, life: Life, command: Command) {
        let database = match &command {
            Command::Connect { conn, database, .. } => {
                let owner = (vm.clone(), life, *conn);
                self.owners.insert(owner, database.clone());
                Some(database.clone())
            }
            Command::Control { database, .. } => Some(database.clone()),
            Command::Run { conn, .. } | Command::Cancel { conn } | Command::Close { conn } => {
                self.owners.get(&(vm.clone(), life, *conn)).cloned()
            }
        };
        let Some(database) = database else { return };
        let cut = self.is_cut(vm.as_str(), database.as_str());
        let Some(base) = self.bases.get_mut(&database) else {
            return;
        };
        if cut || !base.up {
            return self.unreachable(&database, vm, life, command);
        }
        if base.frozen {
            base.deferred.push_back((vm, life, command));
            return;
        }
        let now = self.now;
        let event = match command {
            Command::Connect { conn, .. } if base.connections.len() >= base.limit => {
                Some(Event::ConnectFailed { conn, full: true })
            }
            Command::Connect { conn, .. } => {
                base.connections.insert((vm.clone(), life, conn), None);
                Some(Event::Connected { conn })
            }
            Command::Close { conn } => {
                base.connections.remove(&(vm.clone(), life, conn));
                None
            }
            Command::Cancel { .. } => None,
            Command::Run { conn, run } => {
                let owner = (vm.clone(), life, conn);
                match base.silent.contains(&owner) {
                    true => None,
                    false => base.run(&owner, run),
                }
            }
            Command::Control { id, order, .. } => base.order(now, (&vm, life), id, order),
        };
        if let Some(event) = event {
            self.schedule(LATENCY, Scheduled::Event(database, vm, life, event));
        }
    }

    /// Handles a command to a database that can't be reached: a partition drops it, a dead process
    /// refuses it.
    fn unreachable(&mut self, id: &DatabaseId, vm: VmId, life: Life, command: Command) {
        let up = self.bases.get(id).is_some_and(|base| base.up);
        let event = match command {
            Command::Connect { conn, .. } => Event::ConnectFailed { conn, full: false },
            Command::Control { id, .. } => Event::Controlled { id, result: None },
            Command::Run { conn, .. } if !up => Event::Closed { conn },
            Command::Run { conn, .. } => {
                if let Some(base) = self.bases.get_mut(id) {
                    base.silent.push((vm, life, conn));
                }
                return;
            }
            Command::Cancel { .. } | Command::Close { .. } => return,
        };
        let input = Input::Database(event);
        self.schedule(DETECTION_DELAY, Scheduled::Input(vm, life, input));
    }

    /// Delivers a database's answer unless a partition drops it or its connection is silent.
    fn event(&mut self, database: &DatabaseId, vm: &VmId, life: Life, event: Event) {
        let cut = self.is_cut(vm.as_str(), database.as_str());
        let conn = match &event {
            Event::Answered { conn, .. } | Event::Refused { conn, .. } => Some(*conn),
            Event::Closed { conn } if cut => Some(*conn),
            _ => None,
        };
        let owner = conn.map(|conn| (vm.clone(), life, conn));
        if cut {
            if let (Some(owner), Some(base)) = (owner, self.bases.get_mut(database)) {
                base.silent.push(owner);
            }
            let event = match event {
                Event::Controlled { id, .. } => Event::Controlled { id, result: None },
                Event::Connected { conn } => Event::ConnectFailed { conn, full: false },
                _ => return,
            };
            return self.schedule(
                DETECTION_DELAY,
                Scheduled::Input(vm.clone(), life, Input::Database(event)),
            );
        }
        let silent = |owner| self.bases.get(database).map(|b| b.silent.contains(&owner));
        if owner.and_then(silent) == Some(true) {
            return;
        }
        self.deliver(vm, life, Input::Database(event));
    }

    fn replicate(&mut self) {
        let now = self.now;
        let ids = self.databases();
        let offers: Vec<Offer> = self.bases.values().filter_map(Base::offer).collect();
        for id in ids {
            for offer in &offers {
                let cut = self.is_cut(offer.from.as_str(), id.as_str());
                let Some(base) = self.bases.get_mut(&id) else {
                    continue;
                };
                if offer.from != id && !cut && base.up && !base.frozen && !base.stalled {
                    base.follow(now, offer);
                }
            }
            let Some(base) = self.bases.get_mut(&id).filter(|b| b.up && !b.frozen) else {
                continue;
            };
            for (vm, life, event) in base.replicate(now) {
                self.schedule(LATENCY, Scheduled::Event(id.clone(), vm, life, event));
            }
        }
        self.schedule(REPLICATION_INTERVAL, Scheduled::Replicate);
    }
}
