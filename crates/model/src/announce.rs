//! Announcements of backend servers.

use crate::ids::{DomainId, FabricId, Fence, GroupId, HostId, Incarnation, ModelId, ServiceId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// An announcement of a backend server, sent to any entry a few times per second. Its counterpart
/// in `fleet` is `HostReport`, which goes to control.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The name of the host.
    pub host: HostId,
    /// Identifies the run of the backend server.
    pub incarnation: Incarnation,
    /// Increases with each announcement of one incarnation.
    pub sequence: u64,
    /// The address on which the backend server takes requests and orders.
    pub address: SocketAddr,
    /// The failure domain of the host.
    pub failure_domain: DomainId,
    /// The fabric domain of the host.
    pub fabric_domain: FabricId,
    /// The accelerators or the service that the host offers.
    pub offer: Offer,
    /// The group that the host belongs to, if any.
    #[serde(default, rename = "runs")]
    pub membership: Option<Membership>,
    /// The number of requests that are running.
    #[serde(default)]
    pub running: u32,
    /// Whether the backend server is leaving and takes no new requests.
    #[serde(default)]
    pub leaving: bool,
    /// Whether the backend server refuses an order with an old fence.
    #[serde(default)]
    pub checks_fence: bool,
}

/// The resource that a host offers to the system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Offer {
    /// This number of accelerators, for groups.
    Accelerators(u32),
    /// One replica of this plain service.
    Service(ServiceId),
}

/// The membership of a host in a group. Its counterpart of the same name in `fleet` has an epoch
/// in place of the fence, and a rank.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Membership {
    /// The group of the last order that the host carried out.
    pub group: GroupId,
    /// The fence of the last order that the host carried out.
    pub fence: Fence,
    /// The model of the group.
    pub model: ModelId,
    /// The phase of the order to load.
    pub phase: LoadPhase,
    /// Whether the host is in a cold start.
    pub cold: bool,
}

/// The phase of an order to load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadPhase {
    /// The weights are being loaded.
    Loading,
    /// The host is ready to serve.
    Ready,
    /// Loading failed.
    Failed,
}

/// The reason why an announcement is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnnouncementError {
    /// A required field is empty.
    Empty(&'static str),
    /// The announced address differs from the sender's.
    ForeignAddress,
    /// The host offers a service but belongs to a group, or offers no accelerators.
    Inconsistent(&'static str),
}

impl std::fmt::Display for AnnouncementError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            AnnouncementError::Empty(field) => write!(f, "`{field}` is empty: give it a value"),
            AnnouncementError::ForeignAddress => f.write_str(
                "`address` differs from the sender's: announce the address that you send from",
            ),
            AnnouncementError::Inconsistent(message) => f.write_str(message),
        }
    }
}

impl Announcement {
    /// Checks that the announcement is consistent and matches the sender's address.
    ///
    /// # Errors
    ///
    /// Returns the first error found.
    pub fn check(&self, sender: std::net::IpAddr) -> Result<(), AnnouncementError> {
        let required = [
            ("host", &self.host),
            ("failure_domain", &self.failure_domain),
            ("fabric_domain", &self.fabric_domain),
        ];
        for (field, value) in required {
            if value.is_empty() {
                return Err(AnnouncementError::Empty(field));
            }
        }
        if self.address.ip() != sender {
            return Err(AnnouncementError::ForeignAddress);
        }
        match (&self.offer, &self.membership) {
            (Offer::Service(name), _) if name.is_empty() => {
                Err(AnnouncementError::Empty("service"))
            }
            (Offer::Service(_), Some(_)) => Err(AnnouncementError::Inconsistent(
                "a host that offers a service cannot run a group: remove `runs` or the service",
            )),
            (Offer::Accelerators(0), _) => Err(AnnouncementError::Inconsistent(
                "a host must offer accelerators or a service: name at least 1 accelerator",
            )),
            _ => Ok(()),
        }
    }

    /// Whether this announcement is newer than `other` of the same host.
    pub fn supersedes(&self, other: &Announcement) -> bool {
        self.incarnation != other.incarnation || self.sequence > other.sequence
    }
}
