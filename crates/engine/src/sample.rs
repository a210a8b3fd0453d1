//! Sample engine parameters at the scale of the users' systems.

use fleet::{Engine, EngineModel};
use std::time::Duration;

/// Engine parameters from the users' data sheets: a large model with four hosts per group and a
/// small one with three.
pub fn sample_engine() -> Engine {
    let model = |name: &str, size, time_factor, share, load_s, warmup_ms| EngineModel {
        name: name.into(),
        hosts_per_group: size,
        time_factor,
        share,
        load: Duration::from_secs(load_s),
        warmup: Duration::from_millis(warmup_ms),
    };
    Engine {
        slots: 26,
        memory_tokens: 1_590_000,
        stride: 7,
        step_ms: 5.95,
        step_request_ms: 0.0445,
        step_context_ms: 0.00813,
        read_per_s: 50_700.0,
        pairs_ms: 0.368,
        chunk: 2048,
        loads_per_s: 4.5,
        loads_at_once: 6,
        formation_time: Duration::from_millis(300),
        models: vec![
            model("large", 4, 1.0, 0.57, 16, 1600),
            model("small", 3, 0.6, 0.43, 12, 1100),
        ],
    }
}
