//! Real processes on loopback addresses, for integration tests.

mod cluster;
mod manifest;
mod program;
mod request;

pub use cluster::{Cluster, ClusterConfig};
pub use manifest::small_manifest;
pub use program::{Program, run_program, wait_until};
pub use request::{HttpRequest, HttpResponse};
