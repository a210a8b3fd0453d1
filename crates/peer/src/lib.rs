//! The protocol between the system's own processes: h2 streams of bincode messages.
//!
//! A client opens one stream for each conversation; the path names the kind of
//! conversation and a header carries the cluster's secret.

mod frame;
mod links;
mod messages;
mod server;
mod session;

pub use links::Links;
pub use messages::{
    CONTROL_PATH, ControlHello, ControlToEntry, ENTRY_PATH, EntryHello, EntryToControl,
    PeerMessage, SLOT_PATH,
};
pub use server::{Accept, serve};
pub use session::{ByteCount, RawSession, Session, SessionError, open};
