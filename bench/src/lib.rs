//! Benchmarks: growth of cost with cluster size, and comparison of placement policies.

pub mod announcers;
pub mod fit;
pub mod pure;
pub mod sample;
pub mod sim_cluster;
pub mod subscribers;
