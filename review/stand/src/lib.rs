//! Stand-ins for operators, backend servers and callers, and a launcher of the project's programs.
//!
//! Uses the standard library only. The names of the platform's protocol are read from the sources
//! of `platform/`, which is the only code that may contain them.

pub mod desk;
pub mod engine;
pub mod http;
pub mod json;
pub mod names;
pub mod record;
pub mod system;
