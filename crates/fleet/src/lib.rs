//! What control and entries share about routed services and engine groups: the service
//! manifest, what hosts report, the routing view, and the messages that carry them.

mod group;
mod host;
mod manifest;
mod messages;
mod view;

pub use group::{GroupChange, GroupMember, GroupRecord};
pub use host::{HostOrder, HostReport, HostState, MemberState, Membership, OrderKind};
pub use manifest::{
    CallerLimits, ColdLimit, Engine, EngineModel, Manifest, ManifestFault, Route, RouteKind,
    Service, ServiceShare, Team,
};
pub use messages::{
    ControlGossip, ControlMessage, ENTRY_SESSION_PATH, EntryMessage, EntryStatus, LOG_SESSION_PATH,
    LogMessage,
};
pub use view::{Replica, RoutingView};

/// The name of a group of hosts, unique over all leaders' terms.
pub type GroupName = Box<str>;
/// The number of a group's membership; it only grows.
pub type Epoch = u64;
/// Milliseconds since the Unix epoch at which a backend server started.
pub type Incarnation = u64;
