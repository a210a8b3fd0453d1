//! The replicated state: the manifest in force, the failure domains that are
//! out, and the groups.

use fleet::{GroupChange, GroupName, GroupRecord, Manifest};
use model::ids::{DomainId, HostId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A manifest as it was sent and as it was read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredManifest {
    /// The bytes that were sent, for operators who read it back.
    pub body: Vec<u8>,
    /// What they say.
    pub manifest: Manifest,
}

/// A change of the replicated state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Puts a manifest in force, unless one with the same or a higher number is.
    Manifest(Box<StoredManifest>),
    /// Takes a failure domain out.
    DomainOut(DomainId),
    /// Brings a failure domain back.
    DomainBack(DomainId),
    /// Changes the groups.
    Group(GroupChange),
}

/// All that the log replicates.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Ledger {
    /// The index of the last record applied.
    pub applied: u64,
    /// The manifest in force.
    pub manifest: Option<Box<StoredManifest>>,
    /// Failure domains that operators have taken out.
    pub domains_out: BTreeSet<DomainId>,
    /// The groups whose members may have been told to join.
    pub groups: BTreeMap<GroupName, GroupRecord>,
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
                let taken =
                    record.members.iter().find(|member| self.group_of(&member.host).is_some());
                assert!(taken.is_none(), "a host in two groups: {taken:?}");
                self.groups.insert(name, record);
            }
            Command::Group(GroupChange::Ended { name }) => {
                self.groups.remove(&name);
            }
        }
        false
    }

    /// The group that a host belongs to.
    pub fn group_of(&self, host: &HostId) -> Option<&GroupName> {
        let has = |record: &GroupRecord| record.members.iter().any(|member| member.host == *host);
        self.groups.iter().find(|(_, record)| has(record)).map(|(name, _)| name)
    }

    /// The number of the manifest in force; 0 if there is none.
    pub fn number(&self) -> u64 {
        self.manifest.as_ref().map_or(0, |stored| stored.manifest.number)
    }
}
