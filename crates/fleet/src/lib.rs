//! Types shared by the control processes and entries of the platform: the service manifest,
//! host reports and orders, group records, the routing view, and the messages that carry them.
//!
//! The crate `model` holds the corresponding types of the processes that use kingcup's own
//! formats. Where a type of the same name differs, its doc comment says how.

mod departures;
mod group;
mod host;
mod manifest;
mod messages;
mod packed;
mod rate;
mod view;

pub use departures::Departures;
pub use group::{GroupChange, GroupMember, GroupRecord};
pub use host::{HostOrder, HostReport, HostState, MemberState, Membership, OrderKind};
pub use manifest::{
    CallerLimits, ColdLimit, Engine, EngineModel, Manifest, ManifestError, Route, RouteKind,
    Service, ServiceShare, Team,
};
pub use messages::{
    ControlGossip, ControlMessage, ENTRY_SESSION_PATH, EntryMessage, EntryStatus, LOG_SESSION_PATH,
    LogMessage,
};
pub use packed::{PackedManifest, UnpackError, pack, unpack};
pub use rate::{HostLimit, LimitReport, RateShare};
pub use view::{Relay, Replica, RoutingView};

/// The name of a group of hosts, unique across all terms of leadership.
pub type GroupName = Box<str>;
/// The number of a group's membership. It increases with each group that is formed.
pub type Epoch = u64;
/// The start time of a backend server in milliseconds since the Unix epoch, which tells its runs
/// apart. Unlike `model::ids::Incarnation`, a later one is larger.
pub type Incarnation = u64;
