//! This VM's own readings of the store, and its own row.

use crate::direct::control::Control;
use crate::direct::control::enroll::Applicant;
use crate::direct::control::rows::{Member, Reading, member_row};
use crate::direct::control::state::Held;
use crate::direct::lead::Epoch;
use crate::direct::table::{Change, Fault, RowId, Version};
use crate::direct::view::Peer;
use crate::types::GroupId;
use std::collections::BTreeMap;
use std::rc::Rc;

impl Control {
    /// Reads the rows and applies them. If they do not contain this VM's row, registers it and
    /// reads them again.
    pub(super) async fn read_rows(self: &Rc<Self>) -> Result<(), Fault> {
        let reading = self.store.reading().await?;
        let lease = reading.is_lease_for(&self.id, self.setup.life);
        self.learn(reading.clone());
        if lease || self.setup.shared.get().stopping {
            self.release_by_store();
            return Ok(());
        }
        self.register_self(reading.members.get(&self.id)).await
    }

    /// Applies a reading.
    pub(super) fn learn(self: &Rc<Self>, reading: Reading) {
        let lease = reading.is_lease_for(&self.id, self.setup.life);
        self.member.set(lease);
        if lease {
            self.extend_tenure(reading.asked);
            self.learn_peers(reading.peers());
            for (group, (lead, _)) in &reading.leads {
                self.learn_lead(group, lead.clone(), reading.asked);
            }
        }
        self.learn_duty(&reading);
        self.state.borrow_mut().merge(reading);
    }

    /// Applies the list of registered VMs.
    pub(super) fn learn_peers(&self, peers: Vec<Peer>) {
        let now = self.now();
        self.setup
            .shared
            .modify_silently()
            .peers
            .replace(peers, now);
    }

    /// Applies the duty's row: another VM may have taken the duty, or this VM by a write whose
    /// answer was lost.
    fn learn_duty(self: &Rc<Self>, reading: &Reading) {
        let Some((duty, version)) = &reading.duty else {
            let before = |held: &Held| held.version.era < reading.era;
            if self.state.borrow().held.as_ref().is_some_and(before) {
                self.resign("the store came back from an older copy");
                self.state.borrow_mut().refreshed = None;
            }
            return;
        };
        let now = self.now();
        let same_vm = duty.address == self.setup.address && duty.vm == self.setup.vm;
        if same_vm && duty.life == self.setup.life {
            let held = self.state.borrow().held.clone();
            match held {
                Some(held) if held.version >= *version => {}
                Some(_) => {
                    if let Some(held) = self.state.borrow_mut().held(duty.token) {
                        held.version = *version;
                        held.number = duty.number;
                    }
                }
                None => self.become_steward(Held {
                    token: duty.token,
                    version: *version,
                    number: duty.number,
                    since: now,
                    handing_over: false,
                    running_orders: 0,
                    orders_from: now,
                }),
            }
            return;
        }
        let older = |held: &Held| held.version < *version;
        let lost = self.state.borrow().held.as_ref().is_some_and(older);
        if lost {
            self.resign("another VM has taken it");
        }
        self.follow(duty.address, duty.token, now);
        if let Some(followed) = &mut self.state.borrow_mut().followed
            && followed.token == duty.token
        {
            followed.life = Some(duty.life);
        }
        let ended = same_vm
            || reading.members.values().any(|(member, _)| {
                // A VM registers a new life only once its former process has ended.
                member.address == duty.address && member.life != duty.life
            });
        let mut state = self.state.borrow_mut();
        if same_vm {
            // A former life of this VM holds the duty: there is no process to call, but the
            // take-over waits for the same time as for any other steward.
            state.follow(duty.address, duty.token, now);
        }
        if let Some(followed) = state
            .followed
            .as_mut()
            .filter(|followed| ended && followed.token == duty.token)
        {
            followed.contact.end(now);
        }
    }

    /// Writes this VM's row, whose present content is `known`. This happens before any reading on
    /// which it may act.
    pub(super) async fn register_self(
        self: &Rc<Self>,
        known: Option<&(Member, Version)>,
    ) -> Result<(), Fault> {
        let member = Member {
            life: self.setup.life,
            address: self.setup.address,
            relay: self.setup.relay,
            domain: self.setup.domain.clone(),
            cores: self.setup.cores,
            evicted: false,
            released: self.released_epochs(known.map(|(member, _)| member)),
        };
        let former = known.map(|(member, _)| member.life.0);
        let evicted = known.is_some_and(|(member, _)| member.evicted);
        log::info!(vm:% = self.id, life:% = self.setup.life, former:?, evicted; "registering this VM");
        let applicant = Applicant {
            id: self.id.clone(),
            member,
            expect: known.map_or(Version::NONE, |(_, version)| *version),
        };
        self.enroll(applicant).await?;
        let now = self.now();
        self.state.borrow_mut().enrolled = Some(now);
        self.release_by_store();
        Ok(())
    }

    /// The epochs that this life has released according to its row.
    fn released_epochs(&self, known: Option<&Member>) -> BTreeMap<GroupId, Epoch> {
        let own = known.filter(|member| member.life == self.setup.life);
        own.map_or_else(BTreeMap::new, |member| member.released.clone())
    }

    /// Removes this VM's row.
    pub(super) async fn unregister(&self) -> Result<(), Fault> {
        let own = self.store.member(&self.id).await?;
        let Some((_, version)) = own.filter(|(member, _)| member.life == self.setup.life) else {
            return Ok(());
        };
        let row = member_row(&self.id);
        let change = Change {
            expect: vec![(row.clone(), version)],
            writes: Vec::new(),
            remove: vec![row],
        };
        let _ = self.store.write(change).await?;
        Ok(())
    }

    /// Logs each entry that failed to parse, once for each reason: others may write to the register
    /// too, as often as they like.
    fn log_unparsed(&self, unparsed: BTreeMap<RowId, Box<str>>) {
        let known = &mut self.state.borrow_mut().unparsed;
        for (row, reason) in &unparsed {
            if known.get(row) != Some(reason) {
                log::warn!(row:%, reason:%; "an entry names no database: the others hold");
            }
        }
        *known = unparsed;
    }

    /// Reads the register from the store.
    pub(super) async fn read_register(&self) -> Result<(), Fault> {
        let asked = self.now();
        let documents = &self.setup.adapter.documents;
        let (rows, _) = self.read_table(&documents.register).await?;
        let mut found = BTreeMap::new();
        let mut unparsed = BTreeMap::new();
        for row in &rows {
            let Some(value) = &row.value else { continue };
            match (documents.read_database)(&row.id.key, value) {
                Ok(mut database) => {
                    if self.store.is_former(row.version) {
                        // The database writes its entry again; until then the one known here is
                        // newer.
                        database = self.registered(&database.id).unwrap_or(database);
                    }
                    found.insert(database.id.clone(), database);
                }
                Err(reason) => {
                    unparsed.insert(row.id.clone(), reason);
                }
            }
        }
        self.log_unparsed(unparsed);
        let up = self.store.health().up;
        let changes = self
            .state
            .borrow_mut()
            .register
            .apply_reading(found, asked, up);
        self.publish(&changes, self.now().since(asked));
        Ok(())
    }
}
