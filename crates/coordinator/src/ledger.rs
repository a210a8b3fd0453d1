//! The replicated state: the current manifest, the failure domains out of service, and
//! the groups.

use durable::{decode, encode};
use fleet::{
    Departures, Epoch, GroupChange, GroupName, GroupRecord, Incarnation, Manifest, UnpackError,
    pack, unpack,
};
use model::ids::{DomainId, HostId};
use quarantine::{QuarantineChange, QuarantineRecords};
use serde::{Deserialize, Deserializer, Serialize};
use serde_with::{Bytes, serde_as};
use std::collections::{BTreeMap, BTreeSet};

/// Size of an encoded command, in bytes, above which it is compressed.
const MIN_COMPRESSED_BYTES: usize = 4 << 10;

/// A manifest, both as submitted and decoded.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredManifest {
    /// The submitted bytes, returned to operators who read the manifest.
    #[serde_as(as = "Bytes")]
    pub body: Vec<u8>,
    /// The decoded manifest.
    pub manifest: Manifest,
}

/// A change of the replicated state.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the current manifest, unless its number is the same or higher.
    Manifest(Box<StoredManifest>),
    /// Takes a failure domain out of service.
    DomainOut(DomainId),
    /// Returns a failure domain to service.
    DomainBack(DomainId),
    /// Adds or removes a group.
    Group(GroupChange),
    /// Changes the prompt parts and requests in quarantine.
    Quarantine(QuarantineChange),
    /// Records that an incarnation of a host has said that it ends.
    HostLeft(HostId, Incarnation),
    /// An encoded command, compressed.
    Compressed(#[serde_as(as = "Bytes")] Vec<u8>),
    /// Records that an incarnation of a host has said that it leaves.
    HostLeaving(HostId, Incarnation),
    /// Records that a host has not ended, although it seemed to have said so.
    HostReturned(HostId),
}

impl Command {
    /// Encodes the command for the log, compressed if it is large.
    pub fn encode(&self) -> Vec<u8> {
        let data = encode(self);
        match data.len() > MIN_COMPRESSED_BYTES {
            true => encode(&Command::Compressed(pack(self))),
            false => data,
        }
    }

    /// Decodes a command from the log.
    ///
    /// # Errors
    ///
    /// Fails if the data is not a command.
    pub fn decode(data: &[u8]) -> Result<Command, UnpackError> {
        let mut command = decode(data).map_err(UnpackError::Encoding)?;
        while let Command::Compressed(data) = command {
            command = unpack(&data)?;
        }
        Ok(command)
    }
}

/// The state that the log replicates.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Ledger {
    /// The index of the last applied record.
    pub applied: u64,
    /// The current manifest.
    pub manifest: Option<Box<StoredManifest>>,
    /// Failure domains that operators have taken out of service.
    pub domains_out: BTreeSet<DomainId>,
    /// The groups whose members may have received a join order.
    pub groups: BTreeMap<GroupName, GroupRecord>,
    /// The prompt parts and requests that are or have been in quarantine.
    #[serde(deserialize_with = "default_at_end")]
    pub quarantine: QuarantineRecords,
    /// The hosts that have said that they end.
    #[serde(deserialize_with = "default_at_end")]
    pub departures: Departures,
    /// The hosts that have said that they leave, and go on reporting.
    #[serde(deserialize_with = "default_at_end")]
    pub leaving: Departures,
    /// The highest epoch of all groups so far.
    #[serde(deserialize_with = "default_at_end")]
    pub last_epoch: Epoch,
}

/// Reads one of the last fields of a state, which snapshots of earlier versions don't have.
fn default_at_end<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de> + Default,
{
    Ok(T::deserialize(deserializer).unwrap_or_default())
}

impl Ledger {
    /// Applies the record at `index`; returns whether the manifest changed.
    pub fn apply(&mut self, index: u64, command: Command) -> bool {
        self.applied = index;
        match command {
            Command::Manifest(stored) => {
                let newer = stored.manifest.number > self.number();
                if newer || self.manifest.is_none() {
                    self.manifest = Some(stored);
                    return true;
                }
            }
            Command::DomainOut(domain) => {
                self.domains_out.insert(domain);
            }
            Command::DomainBack(domain) => {
                self.domains_out.remove(&domain);
            }
            Command::Group(GroupChange::Formed { name, record }) => {
                let in_other_group =
                    record.members.iter().find(|member| self.group_of(&member.host).is_some());
                assert!(in_other_group.is_none(), "a host in two groups: {in_other_group:?}");
                self.last_epoch = self.last_epoch.max(record.epoch);
                self.groups.insert(name, record);
            }
            Command::Group(GroupChange::Ended { name }) => {
                self.groups.remove(&name);
            }
            Command::Quarantine(change) => self.quarantine.apply(index, change),
            Command::HostLeft(host, incarnation) => self.departures.record(host, incarnation),
            Command::HostLeaving(host, incarnation) => self.leaving.record(host, incarnation),
            Command::HostReturned(host) => self.departures.remove(&host),
            // `Command::decode` returns what it contains.
            Command::Compressed(_) => {}
        }
        false
    }

    /// Returns the group that `host` belongs to.
    pub fn group_of(&self, host: &HostId) -> Option<&GroupName> {
        let contains_host =
            |record: &GroupRecord| record.members.iter().any(|member| member.host == *host);
        self.groups.iter().find(|(_, record)| contains_host(record)).map(|(name, _)| name)
    }

    /// Whether any group was ever formed.
    pub fn has_formed_groups(&self) -> bool {
        // Snapshots of earlier versions lack the last epoch.
        self.last_epoch > 0 || !self.groups.is_empty()
    }

    /// Returns the number of the current manifest, or 0 if there is none.
    pub fn number(&self) -> u64 {
        self.manifest.as_ref().map_or(0, |stored| stored.manifest.number)
    }
}
