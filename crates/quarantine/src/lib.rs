//! Quarantine of prompt parts and requests that crash backend servers.
//!
//! Entries record which requests broke off, and which were answered, in an [`EvidenceLog`]. The
//! leader of control collects their observations in a [`CrashDetector`], which identifies the parts
//! that the requests of several crashes have in common, and the requests that crash one server after
//! another. The leader commits these culprits, so that they survive it, and each entry rejects
//! requests that are on its [`Blocklist`] or contain a part that is.
//!
//! The crate does no I/O and reads no clock. All collections are bounded.

mod answers;
mod blocklist;
mod detector;
mod evidence;
mod record;
mod requests;

pub use blocklist::Blocklist;
pub use detector::CrashDetector;
pub use evidence::{BrokenRequest, EvidenceLog, Observation, ObservationKind};
pub use record::{QuarantineChange, QuarantineRecords, QuarantineTimers};
