//! A manifest with one service of engines and one plain service.

use engine::sample_engine;
use fleet::{CallerLimits, ColdLimit, Manifest, Service};
use std::{sync::Arc, time::Duration};

/// A manifest whose services take `cold_per_s` requests per second during a cold start.
pub fn manifest(cold_per_s: f64) -> Arc<Manifest> {
    let service = |name: &str, engine| Service {
        name: name.into(),
        connections_max: 100,
        cold_limit: ColdLimit { per_s: cold_per_s },
        engine,
    };
    Arc::new(Manifest {
        number: 1,
        routes: Vec::new(),
        services: vec![service("engines", Some(sample_engine())), service("ledger", None)],
        limits: CallerLimits {
            header_bytes: 16_384,
            body_bytes: 1 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        teams: Vec::new(),
    })
}
