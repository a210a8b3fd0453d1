//! The protocol between the system's own processes: bincode messages over HTTP/2 streams.
//!
//! The client opens one stream for each session. The path selects the kind of session, and a header
//! carries the cluster's shared secret.

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
