//! The status that control reports to operators.

use crate::ids::{ControlId, Digest, DomainId, EntryId, GroupId, HostId, ManifestNumber, ModelId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The status of the system as the leader of control knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The leader's name.
    pub leader: Box<str>,
    /// The term of its leadership.
    pub term: u64,
    /// The last log index that is committed.
    pub commit: u64,
    /// The control processes.
    pub controls: Vec<ControlStatus>,
    /// The manifest in force.
    pub manifest: Option<ManifestStatus>,
    /// The failure domains that operators have taken out of service.
    pub domains_out: Vec<DomainId>,
    /// The groups.
    pub groups: Vec<GroupStatus>,
    /// The entries.
    pub entries: Vec<EntryStatus>,
    /// The number of hosts that are announcing themselves.
    pub hosts_live: usize,
    /// The number of accelerators on live hosts.
    pub accelerators_live: u64,
    /// The number of accelerators in serving groups.
    pub accelerators_serving: u64,
    /// The number of serving replicas of services.
    pub services_serving: usize,
    /// The number of serving groups and service replicas, by failure domain.
    pub serving_by_domain: BTreeMap<DomainId, usize>,
    /// Models with fewer serving groups than the manifest declares.
    pub short_models: Vec<ModelId>,
}

/// One control process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlStatus {
    /// The random identity of its data directory.
    pub id: ControlId,
    /// Its name.
    pub name: Box<str>,
    /// Whether it is a voter of the log.
    pub voter: bool,
    /// The number of log records by which it is behind.
    pub lag: u64,
    /// Milliseconds since it last responded to the leader.
    pub silent_ms: u64,
}

/// The manifest in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ManifestStatus {
    /// Its number.
    pub number: ManifestNumber,
    /// Its digest.
    pub digest: Digest,
}

/// One group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// The group.
    pub group: GroupId,
    /// Its model.
    pub model: ModelId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its members, the head first.
    pub members: Vec<HostId>,
    /// Whether entries may send it requests.
    pub serving: bool,
    /// Whether it is in a cold start.
    pub cold: bool,
}

/// One entry, as control reports it to operators. Unlike `fleet::EntryStatus`, it does not hold the
/// entry's load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// The entry.
    pub entry: EntryId,
    /// The number of the manifest that it applies.
    pub manifest: ManifestNumber,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The number of hosts from which it has received announcements.
    pub hosts: usize,
}

/// The response to an accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The number of the manifest in force.
    pub number: ManifestNumber,
    /// The digest of the manifest in force.
    pub digest: Digest,
}

/// The body of every error of an HTTP interface.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// A code for programs.
    pub error: Box<str>,
    /// A message for people: the cause and the remedy.
    pub message: Box<str>,
}
