//! Orders from control to backend servers.

use crate::ids::{Fence, GroupId, HostId, ModelId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The header with the cluster's shared secret.
pub const SECRET_HEADER: &str = "kingcup-secret";

/// The path on which backend servers take orders.
pub const ORDER_PATH: &str = "/kingcup/order";

/// An order to one backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The host that must carry out the order.
    pub host: HostId,
    /// The fence. A backend server that checks fences refuses an order with a lower one than it has
    /// seen.
    pub fence: Fence,
    /// The operation.
    pub action: OrderAction,
}

/// The operation of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Join a group and load its model.
    Load {
        /// The group.
        group: GroupId,
        /// The model.
        model: ModelId,
        /// The size of the weights on each host, in bytes.
        load_size: u64,
        /// All members, the head first.
        members: Vec<Member>,
    },
    /// Leave the group and unload its model.
    Unload,
}

/// A member of a group and its address.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The host.
    pub host: HostId,
    /// The address on which the host takes requests.
    pub address: SocketAddr,
}
