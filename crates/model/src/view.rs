//! The view: the state that entries need to route requests.

use crate::ids::{
    DomainId, EntryId, Fence, GroupId, HostId, Incarnation, ManifestNumber, ModelId, ServiceId,
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr};

/// The version of a view. Versions are ordered by the leader's term and then by number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ViewVersion {
    /// The term of the leader that published the view.
    pub term: u64,
    /// The number of views that this leader has published.
    pub number: u64,
}

/// A serving group: complete, ready and not leaving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupView {
    /// The group.
    pub group: GroupId,
    /// Its model.
    pub model: ModelId,
    /// Its failure domain.
    pub domain: DomainId,
    /// The fence that all members have announced.
    pub fence: Fence,
    /// The head of the group, which takes requests.
    pub head: HostId,
    /// The address on which the head takes requests.
    pub address: SocketAddr,
    /// Whether any member is in a cold start.
    pub cold: bool,
}

/// A serving replica of a plain service, which is one backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceView {
    /// The host.
    pub host: HostId,
    /// The service.
    pub service: ServiceId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The address on which it takes requests.
    pub address: SocketAddr,
}

/// An entry that callers may use, or one that is joining, leaving or lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryView {
    /// The entry.
    pub entry: EntryId,
    /// The address on which it takes requests of callers.
    pub address: SocketAddr,
    /// Its standing, which decides whether it has a share of the slots and is in the directory.
    pub standing: EntryStanding,
}

/// The standing of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryStanding {
    /// The entry is new. Its share of the slots is reserved, but it may not use it yet.
    Joining,
    /// The entry is in the directory and uses its share.
    Active,
    /// The entry is no longer in the directory but still uses its share.
    Leaving,
    /// The entry is silent. Its share stays reserved until its lease has certainly expired.
    Lost,
}

impl EntryStanding {
    /// Whether the entry uses its share of the slots.
    pub fn uses_share(self) -> bool {
        matches!(self, EntryStanding::Active | EntryStanding::Leaving)
    }
}

/// The manifest that is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ManifestView {
    /// Its number.
    pub number: ManifestNumber,
    /// Its canonical JSON text.
    pub body: Box<str>,
}

/// The state that control publishes to entries. Unlike `fleet::RoutingView`, it contains the
/// manifest, is sent as deltas, and lists groups and replicas of services apart.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The manifest in force, if one has been accepted.
    pub manifest: Option<ManifestView>,
    /// The serving groups.
    pub groups: BTreeMap<GroupId, GroupView>,
    /// The serving replicas of services.
    pub services: BTreeMap<HostId, ServiceView>,
    /// The entries.
    pub entries: BTreeMap<EntryId, EntryView>,
}

/// The difference between two successive views.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewDelta {
    /// The new manifest, if it has changed.
    pub manifest: Option<ManifestView>,
    /// Groups that were added or changed.
    pub groups: Vec<GroupView>,
    /// Groups that no longer serve.
    pub groups_removed: Vec<GroupId>,
    /// Service replicas that were added or changed.
    pub services: Vec<ServiceView>,
    /// Hosts whose service replica no longer serves.
    pub services_removed: Vec<HostId>,
    /// Entries that were added or changed.
    pub entries: Vec<EntryView>,
    /// Entries that were removed.
    pub entries_removed: Vec<EntryId>,
}

impl ViewDelta {
    /// Whether the delta contains no changes.
    pub fn is_empty(&self) -> bool {
        *self == ViewDelta::default()
    }
}

impl View {
    /// Returns the delta that turns `self` into `next`.
    pub fn delta_to(&self, next: &View) -> ViewDelta {
        let manifest = (self.manifest != next.manifest).then(|| next.manifest.clone()).flatten();
        ViewDelta {
            manifest,
            groups: changed(&self.groups, &next.groups),
            groups_removed: removed(&self.groups, &next.groups),
            services: changed(&self.services, &next.services),
            services_removed: removed(&self.services, &next.services),
            entries: changed(&self.entries, &next.entries),
            entries_removed: removed(&self.entries, &next.entries),
        }
    }

    /// Applies a delta that was computed against this view.
    pub fn apply(&mut self, delta: ViewDelta) {
        if delta.manifest.is_some() {
            self.manifest = delta.manifest;
        }
        for group in delta.groups_removed {
            self.groups.remove(&group);
        }
        for group in delta.groups {
            self.groups.insert(group.group, group);
        }
        for host in delta.services_removed {
            self.services.remove(&host);
        }
        for service in delta.services {
            self.services.insert(service.host.clone(), service);
        }
        for entry in delta.entries_removed {
            self.entries.remove(&entry);
        }
        for entry in delta.entries {
            self.entries.insert(entry.entry.clone(), entry);
        }
    }
}

fn changed<K: Ord, V: Clone + PartialEq>(old: &BTreeMap<K, V>, new: &BTreeMap<K, V>) -> Vec<V> {
    new.iter()
        .filter(|(key, value)| old.get(key) != Some(value))
        .map(|(_, value)| value.clone())
        .collect()
}

fn removed<K: Ord + Clone, V>(old: &BTreeMap<K, V>, new: &BTreeMap<K, V>) -> Vec<K> {
    old.keys().filter(|key| !new.contains_key(*key)).cloned().collect()
}
