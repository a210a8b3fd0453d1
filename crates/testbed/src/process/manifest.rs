//! Manifests for integration tests.

/// Returns a manifest with one model, of `replicas` replicas with `hosts` hosts each, and the
/// service `ledger`. Tests change the manifest through `number` and `replicas`.
pub fn small_manifest(number: u64, hosts: u32, replicas: u32) -> String {
    format!(
        r#"{{
  "number": {number},
  "failure_domains": ["a", "b", "c"],
  "weight_store": {{ "concurrent_loads": 8 }},
  "models": [
    {{ "name": "m", "hosts_per_replica": {hosts}, "accelerators_per_host": 4,
      "replicas": {replicas}, "floor": 1, "cold_slots": 4, "warm_slots": 8,
      "deadline": "10s" }}
  ],
  "services": [
    {{ "name": "ledger", "slots": 16, "deadline": "10s", "routes": [
      {{ "method": "GET", "path_prefix": "/ledger/status", "idempotent": true }},
      {{ "method": "POST", "path_prefix": "/ledger/bookings", "idempotent": false,
        "request_key": {{ "pointer": "/key" }} }},
      {{ "method": "POST", "path_prefix": "/ledger/notes", "idempotent": false }}
    ] }}
  ],
  "teams": [
    {{ "name": "counter", "told_by": [{{ "header": {{ "name": "x-team", "value": "counter" }} }}] }},
    {{ "name": "terminals", "told_by": [{{ "address": {{ "prefix": "127.0.0.0", "bits": 8 }} }}] }}
  ]
}}"#
    )
}
