//! The rows that the control path keeps in the store, all in one table, so that one call reads
//! them as of a single moment.

use crate::clock::Time;
use crate::direct::lead::Lead;
use crate::direct::table::{Era, Row, RowId, Version};
use crate::direct::view::Peer;
use crate::types::{Cores, Domain, GroupId, Life, VmId};
use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};

/// The table of all rows of ours.
pub const TABLE: &str = "control";

const DUTY: &str = "duty";
const ERA: &str = "era";
const QUIET: &str = "era.quiet";
const LEAD: &str = "lead.";
const MEMBER: &str = "vm.";

/// Which VM a row is about: its name and IP, as a new VM may come under an old name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(Box<str>);

impl MemberId {
    /// The id of a VM at an IP.
    pub fn new(vm: &VmId, ip: IpAddr) -> Self {
        Self(format!("{vm}@{ip}").into())
    }
}

impl std::fmt::Display for MemberId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

/// The duty of promotions: who is the steward.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Duty {
    /// The VM that holds it.
    pub vm: VmId,
    /// That VM's life.
    pub life: Life,
    /// Where it listens for other VMs.
    pub address: SocketAddr,
    /// The fencing token: rises whenever the duty is taken.
    pub token: u64,
    /// Rises with each renewal, so that no two writes are alike.
    pub number: u64,
}

/// A VM that may act on leases.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The life of its process.
    pub life: Life,
    /// Where it listens for other VMs.
    pub address: SocketAddr,
    /// Where it relays other VMs' statements, if it does. A former release wrote nothing here.
    #[serde(default)]
    pub relay: Option<SocketAddr>,
    /// Its failure domain.
    pub domain: Domain,
    /// The processor that it has. A former release wrote nothing here.
    #[serde(default)]
    pub cores: Cores,
    /// Set by a steward that does not hear it: readings asked after this are no lease for it.
    pub evicted: bool,
}

/// The rows as of one moment.
///
/// **Failure answered.** The store comes back from an older copy: a VM that is registered, an intent or a change of
/// primary is gone, and what was changed is as it was. **Symptom without it.** Two VMs hold the duty with one token,
/// or a VM acts on a primary that was replaced. **Why it suffices.** The first that is written in an era is the row that
/// names it. Whatever has a lower number is from before, and counts as hearsay: as a VM that is evicted, as no duty and
/// as no lead. All our writes are under the condition of that row, so none that was asked before lands after it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reading {
    /// The store's era.
    pub era: Era,
    /// When they were asked for.
    pub asked: Time,
    /// When they were there.
    pub answered: Time,
    /// The steward, and the version of that row.
    pub duty: Option<(Duty, Version)>,
    /// Who leads, and the versions of those rows.
    pub leads: BTreeMap<GroupId, (Lead, Version)>,
    /// The VMs, and the versions of their rows.
    pub members: BTreeMap<MemberId, (Member, Version)>,
    /// Rows of an earlier era that nothing of this one has replaced.
    pub former: Former,
}

/// What an earlier era left: hearsay, and the versions under which it is replaced.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Former {
    /// The duty's row.
    pub duty: Option<(Duty, Version)>,
    /// Who led.
    pub leads: BTreeMap<GroupId, (Lead, Version)>,
}

impl Reading {
    /// Reads the rows that a call asked at `asked` brought at `answered`, in an era that a row of the version
    /// `settled` names. What can't be read is left out and logged: another release may have written it.
    pub fn new(rows: &[Row], settled: Version, asked: Time, answered: Time) -> Self {
        let mut reading = Self {
            era: settled.era,
            asked,
            answered,
            duty: None,
            leads: BTreeMap::new(),
            members: members(rows, settled),
            former: Former::default(),
        };
        for row in rows {
            reading.add(row, row.version <= settled);
        }
        reading
    }

    fn add(&mut self, row: &Row, is_former: bool) {
        let key = &*row.id.key;
        let (duty, leads) = match is_former {
            true => (&mut self.former.duty, &mut self.former.leads),
            false => (&mut self.duty, &mut self.leads),
        };
        if key == DUTY {
            *duty = decode(row).map(|duty| (duty, row.version));
        } else if let Some(group) = key.strip_prefix(LEAD).and_then(|text| text.parse().ok())
            && let Some(lead) = decode(row)
        {
            leads.insert(group, (lead, row.version));
        }
    }

    /// The duty's row, whether it counts or not.
    pub fn last_duty(&self) -> Option<&(Duty, Version)> {
        self.duty.as_ref().or(self.former.duty.as_ref())
    }

    /// The version that the duty's row has, whether it counts or not.
    pub fn duty_version(&self) -> Version {
        self.last_duty()
            .map_or(Version::NONE, |(_, version)| *version)
    }

    /// Who leads each group.
    pub fn rows(&self) -> Vec<(GroupId, Lead)> {
        let leads = self.leads.iter();
        leads
            .map(|(group, (lead, _))| (group.clone(), lead.clone()))
            .collect()
    }

    /// Who leads these groups.
    pub fn rows_of(&self, groups: &BTreeSet<GroupId>) -> Vec<(GroupId, Lead)> {
        let leads = groups.iter().filter_map(|group| {
            let (lead, _) = self.leads.get(group)?;
            Some((group.clone(), lead.clone()))
        });
        leads.collect()
    }

    /// Its VMs, one for each row.
    pub fn fellows(&self) -> Vec<Peer> {
        fellows(&self.members)
    }

    /// Whether this reading is a lease for a life of a VM.
    ///
    /// **Failure answered.** A steward replaces a primary and does not know of a VM that acts on
    /// a lease. **Symptom without it.** That VM acknowledges a write which the new primary lacks.
    /// **Why it suffices.** The steward reads the rows after its intent is written. Any reading
    /// that shows the old lead was asked before; if it showed the VM's row too, then the steward
    /// finds that row, or one that tells since when the VM is evicted.
    pub fn is_lease_for(&self, id: &MemberId, life: Life) -> bool {
        let member = self.members.get(id);
        member.is_some_and(|(member, _)| member.life == life && !member.evicted)
    }
}

/// The VMs among some rows, and the versions of their rows. One of an earlier era than `settled` names counts as
/// evicted: it has to register again.
pub fn members(rows: &[Row], settled: Version) -> BTreeMap<MemberId, (Member, Version)> {
    let known = rows.iter().filter_map(member);
    let judged = known.map(|(id, (mut member, version))| {
        member.evicted |= version <= settled;
        (id, (member, version))
    });
    judged.collect()
}

/// The VM that a row is about, if it is about one.
fn member(row: &Row) -> Option<(MemberId, (Member, Version))> {
    let id = row.id.key.strip_prefix(MEMBER)?;
    Some((MemberId(id.into()), (decode(row)?, row.version)))
}

/// VMs as others know them.
pub fn fellows(members: &BTreeMap<MemberId, (Member, Version)>) -> Vec<Peer> {
    let fellow = |(member, _): &(Member, Version)| Peer {
        address: member.address,
        relay: member.relay,
        domain: member.domain.clone(),
        cores: member.cores,
        evicted: member.evicted,
    };
    members.values().map(fellow).collect()
}

fn decode<T: DeserializeOwned>(row: &Row) -> Option<T> {
    let value = row.value.as_ref()?;
    let read = serde_json::from_slice(value);
    if let Err(error) = &read {
        log::warn!(row:% = row.id, error:%; "a row of the control table is not understood");
    }
    read.ok()
}

/// The row that names the store's era.
pub fn era_row() -> RowId {
    RowId::new(TABLE, ERA)
}

/// The row that says in which era no lease of an earlier one can be left.
pub fn quiet_row() -> RowId {
    RowId::new(TABLE, QUIET)
}

/// The era that a row of [`era_row`] or [`quiet_row`] names.
pub fn named_era(row: &Row) -> Option<Era> {
    decode(row)
}

/// The row of the duty.
pub fn duty_row() -> RowId {
    RowId::new(TABLE, DUTY)
}

/// The row that says who leads a group.
pub fn lead_row(group: &GroupId) -> RowId {
    RowId::new(TABLE, format!("{LEAD}{group}"))
}

/// The row of a VM.
pub fn member_row(id: &MemberId) -> RowId {
    RowId::new(TABLE, format!("{MEMBER}{id}"))
}

/// A row's value as the store keeps it: text, so that a person can read it there.
pub fn encode<T: Serialize>(value: &T) -> Bytes {
    let text = serde_json::to_vec(value);
    // Plain structs of names and numbers always have a text.
    Bytes::from(text.unwrap_or_default())
}
