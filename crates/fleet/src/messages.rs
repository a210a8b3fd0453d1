//! Messages between control processes, and between entries and control.

use crate::{GroupName, HostLimit, PackedManifest, RateShare, Relay, RoutingView};
use model::ids::{ControlId, CulpritId, DomainId, EntryId, ModelId, RequestDigest};
use quarantine::Observation;
use replog::Envelope;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// The path of sessions between control processes.
pub const LOG_SESSION_PATH: &str = "/control/log";
/// The path of sessions between an entry and control.
pub const ENTRY_SESSION_PATH: &str = "/control/entry";

/// The introduction of one control process to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlGossip {
    /// The random identity of its data directory.
    pub id: ControlId,
    /// Its name.
    pub name: Box<str>,
    /// The address on which it accepts sessions.
    pub peer_address: SocketAddr,
    /// The address on which operators and backend servers reach it.
    pub public_address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Whether it may bootstrap a new log: it was started with the setting `bootstrap`, and its log
    /// is empty.
    pub may_bootstrap: bool,
    /// Session addresses of the other control processes that it knows.
    pub peer_addresses: Vec<SocketAddr>,
}

/// A message from one control process to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogMessage {
    /// Introduces the sender.
    Gossip(ControlGossip),
    /// A message of the replicated log.
    Log(Envelope),
}

/// The status of an entry, as the entry reports it to control. Unlike `model::status::EntryStatus`,
/// which control reports to operators, it holds the entry's load.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// Its name.
    pub entry: EntryId,
    /// The address on which it serves callers.
    pub address: SocketAddr,
    /// Whether it accepts new callers.
    pub accepts: bool,
    /// Where it takes requests of other entries, if it reaches backend servers.
    pub relay: Option<Relay>,
    /// Requests that it has forwarded since it started.
    pub forwarded: u64,
    /// Recent demand by model, as the number of groups that it would fully load.
    pub demand: Vec<(ModelId, f64)>,
    /// Recent requests per second, including refused ones.
    pub request_rate: f64,
    /// Groups whose head has made progress recently.
    pub progressing: Vec<GroupName>,
    /// Groups whose head has made no progress although it has requests to run.
    pub stalled: Vec<GroupName>,
    /// The number of the manifest that it holds.
    pub manifest: Option<u64>,
    /// What backend servers have last said to it of their rate limits.
    pub limits: Vec<HostLimit>,
}

/// A message from an entry to control.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum EntryMessage {
    /// The status of the entry: the first message of a session, then sent periodically and after
    /// each manifest.
    Status(Box<EntryStatus>),
    /// Observations of the entry that this session has not sent yet.
    Evidence(Vec<Observation>),
}

/// A message from control to an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlMessage {
    /// The sender is not the leader.
    NotLeader {
        /// The session address of the leader, if known.
        leader: Option<SocketAddr>,
        /// Session addresses of control processes.
        control_addresses: Vec<SocketAddr>,
    },
    /// The manifest in force.
    Manifest(PackedManifest),
    /// The routing view.
    View(RoutingView),
    /// The entry's share of the slots of each backend server, between 0 and 1.
    Share(f64),
    /// The entry's part of the rates that all entries share.
    RateShare(RateShare),
    /// The sender is the leader, and nothing has changed.
    Keepalive {
        /// Session addresses of control processes.
        control_addresses: Vec<SocketAddr>,
    },
    /// The prompt parts and requests in quarantine, each with the time left.
    Quarantine(Vec<(CulpritId, Duration)>),
    /// The requests whose answers the entry should report.
    Watch(Vec<RequestDigest>),
}
