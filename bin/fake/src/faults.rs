//! Faults that a test can inject.

use serde::{Deserialize, Serialize};

/// The faults in force. All are off at startup.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The server sends no announcements.
    pub silent: bool,
    /// Responses carry the id of another request.
    pub crossed: bool,
    /// The connection is reset in the middle of a response.
    pub cut: bool,
    /// Streams never end.
    pub endless: bool,
    /// Delay of each response in milliseconds.
    pub slow_ms: u64,
    /// Delay before each order is executed, in milliseconds.
    pub order_delay_ms: u64,
    /// Not implemented. Intended to write each response twice on the same connection.
    pub doubled: bool,
    /// The server announces that it is leaving.
    pub leaving: bool,
    /// The engine turns cold once, without announcing it.
    pub turn_cold: bool,
}
