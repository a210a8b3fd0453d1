//! Real processes on loopback addresses, for tests of failures.

mod cluster;
mod exchange;
mod manifest;
mod program;

pub use cluster::{Cluster, ClusterConfig};
pub use exchange::{HttpRequest, HttpResponse};
pub use manifest::small_manifest;
pub use program::{Program, run_program, wait_until};
