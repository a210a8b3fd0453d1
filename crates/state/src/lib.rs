//! The control plane's replicated state machine.
//!
//! The state changes only through [`State::apply`], which depends only on the command and
//! its log index, so that every control process computes the same state.

mod apply;
mod claims;
mod command;
mod groups;
mod types;

pub use command::{ClaimKey, Command, Placement, Rejection, Reply};
pub use types::{
    AcceptedManifest, Claim, ClaimState, DomainOut, Group, HostRecord, HostRole, KeptAnswer,
    OutstandingOrder, State,
};
