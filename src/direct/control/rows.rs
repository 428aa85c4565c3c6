//! The control path's rows in the store. They are in one table, so that one call reads all of them
//! as of a single moment.

use crate::clock::Time;
use crate::direct::lead::{Epoch, Lead};
use crate::direct::table::{Era, Row, RowId, Version};
use crate::direct::view::Peer;
use crate::types::{Cores, Domain, GroupId, Life, VmId};
use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};

/// The table of all control rows.
pub const TABLE: &str = "control";

const DUTY: &str = "duty";
const ERA: &str = "era";
const QUIET: &str = "era.quiet";
const LEAD: &str = "lead.";
const MEMBER: &str = "vm.";

/// Identifies the VM that a row describes by its name and IP, since a new VM may have the name of a
/// former one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(Box<str>);

impl MemberId {
    /// Makes the id of a VM from its name and IP.
    pub fn new(vm: &VmId, ip: IpAddr) -> Self {
        Self(format!("{vm}@{ip}").into())
    }
}

impl std::fmt::Display for MemberId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

/// The duty: the steward's lease, which entitles one VM to coordinate promotions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Duty {
    /// The VM that holds the duty.
    pub vm: VmId,
    /// The life (process incarnation) of that VM.
    pub life: Life,
    /// Where it listens for other VMs.
    pub address: SocketAddr,
    /// The fencing token, which rises each time that a VM takes the duty.
    pub token: u64,
    /// Rises with each renewal, so that no two writes have the same value.
    pub number: u64,
}

/// A registered VM: it may act on leases unless it is evicted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The life (process incarnation) of the VM.
    pub life: Life,
    /// Where it listens for other VMs.
    pub address: SocketAddr,
    /// The address on which it relays other VMs' statements, if it does. Absent in rows of older
    /// releases.
    #[serde(default)]
    pub relay: Option<SocketAddr>,
    /// Its failure domain.
    pub domain: Domain,
    /// Its processor capacity, in cores. Absent in rows of older releases.
    #[serde(default)]
    pub cores: Cores,
    /// Set by a steward that receives no heartbeats from it. Readings that were requested after
    /// this are no lease for the VM.
    pub evicted: bool,
    /// The last epoch of each group that it has released by way of the store, while the steward did
    /// not answer it. Absent in rows of older releases.
    #[serde(default)]
    pub released: BTreeMap<GroupId, Epoch>,
}

/// The control rows as of one moment.
///
/// When the store is restored from an older copy, rows that were written since are lost: VMs that
/// registered, intents and changes of primary. If the restored rows were trusted, two VMs could
/// hold the duty with the same token, or a VM could act on a primary that was replaced. Therefore
/// the first row that is written in an era is the one that names the era. Rows with a lower version
/// are from before the restore and are not trusted: their VMs count as evicted, their duty and
/// leads as absent. Every write is conditional on the era's row, so a write that was requested
/// earlier cannot succeed after it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reading {
    /// The store's era.
    pub era: Era,
    /// When the rows were requested.
    pub asked: Time,
    /// When the rows were received.
    pub answered: Time,
    /// The duty and the version of its row.
    pub duty: Option<(Duty, Version)>,
    /// The lead of each group and the version of its row.
    pub leads: BTreeMap<GroupId, (Lead, Version)>,
    /// The VMs and the versions of their rows.
    pub members: BTreeMap<MemberId, (Member, Version)>,
    /// Rows of an earlier era that have not been replaced in this one.
    pub former: Former,
}

/// Rows of an earlier era. They are not trusted; their versions are the conditions for replacing
/// them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Former {
    /// The duty and the version of its row.
    pub duty: Option<(Duty, Version)>,
    /// The lead of each group and the version of its row.
    pub leads: BTreeMap<GroupId, (Lead, Version)>,
}

impl Reading {
    /// Decodes rows that were requested at `asked` and received at `answered`. `era_version` is the
    /// version of the row that names the era. Rows that can't be decoded are logged and left out:
    /// another release may have written them.
    pub fn new(rows: &[Row], era_version: Version, asked: Time, answered: Time) -> Self {
        let mut reading = Self {
            era: era_version.era,
            asked,
            answered,
            duty: None,
            leads: BTreeMap::new(),
            members: members(rows, era_version),
            former: Former::default(),
        };
        for row in rows {
            reading.add(row, row.version <= era_version);
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

    /// Returns the duty's row, whether of this era or an earlier one.
    pub fn last_duty(&self) -> Option<&(Duty, Version)> {
        self.duty.as_ref().or(self.former.duty.as_ref())
    }

    /// Returns the version of the duty's row, whether of this era or an earlier one.
    pub fn duty_version(&self) -> Version {
        self.last_duty()
            .map_or(Version::NONE, |(_, version)| *version)
    }

    /// Returns the leads of all groups.
    pub fn all_leads(&self) -> Vec<(GroupId, Lead)> {
        let leads = self.leads.iter();
        leads
            .map(|(group, (lead, _))| (group.clone(), lead.clone()))
            .collect()
    }

    /// Returns the leads of these groups.
    pub fn leads_of(&self, groups: &BTreeSet<GroupId>) -> Vec<(GroupId, Lead)> {
        let leads = groups.iter().filter_map(|group| {
            let (lead, _) = self.leads.get(group)?;
            Some((group.clone(), lead.clone()))
        });
        leads.collect()
    }

    /// Returns the VMs, one for each row.
    pub fn peers(&self) -> Vec<Peer> {
        peers(&self.members)
    }

    /// Returns whether this reading is a lease for a life of a VM.
    ///
    /// A steward that replaces a primary must know of every VM that acts on a lease. Otherwise such
    /// a VM could acknowledge a write that the new primary lacks. The steward reads the rows after
    /// it has written its intent. Any reading that shows the old lead was requested before that; if
    /// it also showed the VM's row, then the steward finds that row, or a row that marks the VM as
    /// evicted.
    pub fn is_lease_for(&self, id: &MemberId, life: Life) -> bool {
        let member = self.members.get(id);
        member.is_some_and(|(member, _)| member.life == life && !member.evicted)
    }
}

/// Returns the VMs among some rows, and the versions of their rows. A VM whose row is from before
/// `era_version` counts as evicted: it has to register again.
pub fn members(rows: &[Row], era_version: Version) -> BTreeMap<MemberId, (Member, Version)> {
    let known = rows.iter().filter_map(member);
    let judged = known.map(|(id, (mut member, version))| {
        member.evicted |= version <= era_version;
        (id, (member, version))
    });
    judged.collect()
}

/// Decodes the row of a VM; `None` for other rows.
fn member(row: &Row) -> Option<(MemberId, (Member, Version))> {
    let id = row.id.key.strip_prefix(MEMBER)?;
    Some((MemberId(id.into()), (decode(row)?, row.version)))
}

/// Converts VMs to the form that is shared with sessions and other VMs.
pub fn peers(members: &BTreeMap<MemberId, (Member, Version)>) -> Vec<Peer> {
    let peer = |(member, _): &(Member, Version)| Peer {
        address: member.address,
        relay: member.relay,
        domain: member.domain.clone(),
        cores: member.cores,
        evicted: member.evicted,
    };
    members.values().map(peer).collect()
}

fn decode<T: DeserializeOwned>(row: &Row) -> Option<T> {
    let value = row.value.as_ref()?;
    let read = serde_json::from_slice(value);
    if let Err(error) = &read {
        log::warn!(row:% = row.id, error:%; "failed to decode a row of the control table");
    }
    read.ok()
}

/// The row that names the store's era.
pub fn era_row() -> RowId {
    RowId::new(TABLE, ERA)
}

/// The row that names the newest era in which no lease of an earlier one can be left.
pub fn quiet_row() -> RowId {
    RowId::new(TABLE, QUIET)
}

/// Returns the era that a row of [`era_row`] or [`quiet_row`] names.
pub fn named_era(row: &Row) -> Option<Era> {
    decode(row)
}

/// The row of the duty.
pub fn duty_row() -> RowId {
    RowId::new(TABLE, DUTY)
}

/// The row of a group's lead.
pub fn lead_row(group: &GroupId) -> RowId {
    RowId::new(TABLE, format!("{LEAD}{group}"))
}

/// The row of a VM.
pub fn member_row(id: &MemberId) -> RowId {
    RowId::new(TABLE, format!("{MEMBER}{id}"))
}

/// Encodes a row's value as JSON text, so that a person can read it in the store.
pub fn encode<T: Serialize>(value: &T) -> Bytes {
    let text = serde_json::to_vec(value);
    // Plain structs of names and numbers always serialize.
    Bytes::from(text.unwrap_or_default())
}
