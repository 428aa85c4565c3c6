//! What happens at each moment: inputs to proxies, commands to databases, replication.

use super::base::{Base, Offer};
use super::{Coming, LATENCY, NOTICE, POLL, PUMP, System};
use crate::clock::Span;
use crate::core::database::{Command, Event};
use crate::core::node::Input;
use crate::types::{DatabaseId, Life, VmId};

impl System {
    pub(super) fn happen(&mut self, coming: Coming) {
        match coming {
            Coming::Input(vm, life, input) => self.take(&vm, life, input),
            Coming::Message(from, to, epoch, message) => {
                if self.delivers(&from, &to, epoch)
                    && let Some(life) = self.machines.get(&to).map(|machine| machine.life)
                {
                    self.take(&to, life, Input::Message { from, message });
                }
            }
            Coming::Broken(one, other, epoch) => self.broken(one, other, epoch),
            Coming::Command(vm, life, command) => self.command(vm, life, command),
            Coming::Event(database, vm, life, event) => self.event(&database, &vm, life, event),
            Coming::Forget(vm, life) => {
                for base in self.bases.values_mut() {
                    base.connections
                        .retain(|owner, _| (&owner.0, owner.1) != (&vm, life));
                }
            }
            Coming::ThawVm(vm, life) => self.thaw_vm(&vm, life),
            Coming::ThawBase(id) => self.thaw_base(&id),
            Coming::Pump => self.pump(),
            Coming::Poll(vm, life) => self.poll(&vm, life),
        }
    }

    fn take(&mut self, vm: &VmId, life: Life, input: Input) {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(vm) else {
            return;
        };
        if machine.life != life {
            return;
        }
        if machine.paused {
            machine.held.push_back(input);
            return;
        }
        let mut out = Vec::new();
        machine.node.handle(now, input, &mut out);
        let version = machine.node.accepted().map(|accepted| accepted.version);
        if version < Some(machine.version) && machine.version.0 > 0 {
            self.wrong.push("a configuration was reverted".into());
        }
        machine.version = version.unwrap_or_default();
        for output in out {
            self.output(vm, life, output);
        }
    }

    fn thaw_vm(&mut self, vm: &VmId, life: Life) {
        let Some(machine) = self.machines.get_mut(vm) else {
            return;
        };
        if machine.life != life {
            return;
        }
        machine.paused = false;
        for input in std::mem::take(&mut machine.held) {
            self.later(Span::ZERO, Coming::Input(vm.clone(), life, input));
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
        self.later(POLL, Coming::Poll(vm.clone(), life));
    }

    /// A database's process takes everything and does nothing for a while.
    pub fn freeze_database(&mut self, id: &DatabaseId, span: Span) {
        if let Some(base) = self.bases.get_mut(id) {
            base.frozen = true;
            self.later(span, Coming::ThawBase(id.clone()));
        }
    }

    fn thaw_base(&mut self, id: &DatabaseId) {
        let Some(base) = self.bases.get_mut(id) else {
            return;
        };
        base.frozen = false;
        for (vm, life, command) in std::mem::take(&mut base.held) {
            self.later(Span::ZERO, Coming::Command(vm, life, command));
        }
    }

    /// Ends a database's process; it keeps its log and its term.
    pub fn kill_database(&mut self, id: &DatabaseId) {
        let Some(base) = self.bases.get_mut(id) else {
            return;
        };
        base.up = false;
        base.held.clear();
        for ((vm, life, conn), _) in std::mem::take(&mut base.connections) {
            let event = Event::Closed { conn };
            self.later(LATENCY, Coming::Event(id.clone(), vm, life, event));
        }
    }

    /// Starts a database's process again.
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
            base.held.push_back((vm, life, command));
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
            self.later(LATENCY, Coming::Event(database, vm, life, event));
        }
    }

    /// A cut swallows what is sent; a dead process refuses it.
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
        self.later(NOTICE, Coming::Input(vm, life, input));
    }

    /// A database's answer arrives, unless it is cut off or its connection has gone silent.
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
            return self.later(
                NOTICE,
                Coming::Input(vm.clone(), life, Input::Database(event)),
            );
        }
        let silent = |owner| self.bases.get(database).map(|b| b.silent.contains(&owner));
        if owner.and_then(silent) == Some(true) {
            return;
        }
        self.take(vm, life, Input::Database(event));
    }

    fn pump(&mut self) {
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
            for (vm, life, event) in base.pump(now) {
                self.later(LATENCY, Coming::Event(id.clone(), vm, life, event));
            }
        }
        self.later(PUMP, Coming::Pump);
    }
}
