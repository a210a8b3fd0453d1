//! What a backend server says about itself.

use crate::ids::{DomainId, FabricId, Fence, GroupId, HostId, Incarnation, ModelId, ServiceId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// An announcement of a backend server, sent to any entry a few times a second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The name of the host.
    pub host: HostId,
    /// Chosen anew at each start of the backend server.
    pub incarnation: Incarnation,
    /// Grows with each announcement of one incarnation.
    pub sequence: u64,
    /// Where the backend server takes requests and orders.
    pub address: SocketAddr,
    /// The failure domain of the host.
    pub failure_domain: DomainId,
    /// The fabric domain of the host.
    pub fabric_domain: FabricId,
    /// What the host offers.
    pub offer: Offer,
    /// What the host runs for a group, if anything.
    #[serde(default, rename = "runs")]
    pub membership: Option<Membership>,
    /// Requests that run now.
    #[serde(default)]
    pub running: u32,
    /// Whether the backend server is leaving and takes no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Whether the backend server refuses an order that carries an old fence.
    #[serde(default)]
    pub checks_fence: bool,
}

/// What a host offers to the system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Offer {
    /// A number of accelerators for groups.
    Accelerators(u32),
    /// One replica of a plain service.
    Service(ServiceId),
}

/// What a member of a group runs, under which fence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Membership {
    /// The group that the last obeyed order named.
    pub group: GroupId,
    /// The fence of the last obeyed order.
    pub fence: Fence,
    /// The model.
    pub model: ModelId,
    /// How far loading is.
    pub phase: LoadPhase,
    /// Whether the member is still in a cold start.
    pub cold: bool,
}

/// How far a member is with an order to load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadPhase {
    /// The weights are being loaded.
    Loading,
    /// The member can serve.
    Ready,
    /// Loading failed.
    Failed,
}

/// Why an announcement is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnnounceFault {
    /// A field that must have a value is empty.
    Empty(&'static str),
    /// The address is not that of the sender.
    ForeignAddress,
    /// The host offers a service and runs a group, or offers no accelerator.
    Contradiction(&'static str),
}

impl std::fmt::Display for AnnounceFault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            AnnounceFault::Empty(field) => write!(f, "`{field}` is empty: give it a value"),
            AnnounceFault::ForeignAddress => {
                f.write_str("`address` differs from the sender's: announce from the address named")
            }
            AnnounceFault::Contradiction(what) => f.write_str(what),
        }
    }
}

impl Announcement {
    /// Checks that the announcement agrees with itself and with the sender's address.
    ///
    /// # Errors
    ///
    /// Returns the first fault found.
    pub fn check(&self, sender: std::net::IpAddr) -> Result<(), AnnounceFault> {
        let texts = [
            ("host", &self.host),
            ("failure_domain", &self.failure_domain),
            ("fabric_domain", &self.fabric_domain),
        ];
        for (field, text) in texts {
            if text.is_empty() {
                return Err(AnnounceFault::Empty(field));
            }
        }
        if self.address.ip() != sender {
            return Err(AnnounceFault::ForeignAddress);
        }
        match (&self.offer, &self.membership) {
            (Offer::Service(name), _) if name.is_empty() => Err(AnnounceFault::Empty("service")),
            (Offer::Service(_), Some(_)) => Err(AnnounceFault::Contradiction(
                "a host that offers a service cannot run a group: drop `runs` or the service",
            )),
            (Offer::Accelerators(0), _) => Err(AnnounceFault::Contradiction(
                "a host that offers no accelerator has nothing to announce: name at least 1",
            )),
            _ => Ok(()),
        }
    }

    /// Whether this announcement is newer than `other` of the same host.
    pub fn supersedes(&self, other: &Announcement) -> bool {
        self.incarnation != other.incarnation || self.sequence > other.sequence
    }
}
