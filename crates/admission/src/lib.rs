//! Admission of requests at an entry: which backend server takes a request, or why it is refused.
//!
//! The crate does no I/O and reads no clock.

mod backends;
mod budget;
mod demand;
mod links;
mod notices;
mod rate;
mod relays;
mod shutdown;
mod table;

pub use backends::{Backends, Choice, Origin, Refused, Requirements, SlotId};
pub use budget::RetryBudget;
pub use links::{LinkState, Links, ProbeOutcome, Suspicion};
pub use notices::Notice;
pub use relays::{RelayChoice, Relays};
pub use shutdown::Shutdown;
pub use table::{KeyCheck, RouteTable};
