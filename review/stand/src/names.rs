//! Names of the platform's protocol, taken from the sources of the adapter.

const SETTINGS: &str = include_str!("../../../platform/src/settings.rs");
const DIALECT: &str = include_str!("../../../platform/src/dialect.rs");
const CONTROL_API: &str = include_str!("../../../platform/src/control_api.rs");
const ORDERS: &str = include_str!("../../../platform/src/orders.rs");

/// The first quoted text after `marker`.
fn quoted(source: &'static str, marker: &str) -> &'static str {
    let at = source.find(marker).unwrap_or_else(|| panic!("the adapter has no {marker}"));
    let rest = &source[at + marker.len()..];
    rest.split('"').nth(1).expect("a quoted text")
}

/// The environment variable with the path of the settings file.
pub fn settings_variable() -> &'static str {
    quoted(SETTINGS, "const PATH_VARIABLE: &str")
}

/// A header, by the name of its constant in the adapter.
pub fn header(constant: &str) -> &'static str {
    quoted(DIALECT, &format!("const {constant}: &str"))
}

/// The header with a backend server's receipt. The adapter only passes it through.
pub fn receipt_header() -> String {
    let prefix = header("ATTEMPT_ID").trim_end_matches("attempt-id");
    format!("{prefix}replica-signature")
}

/// The scheme of keys.
pub fn key_scheme() -> &'static str {
    quoted(DIALECT, "const KEY_SCHEME: &str")
}

fn control_path(rest: &str) -> String {
    format!("{}{rest}", quoted(CONTROL_API, "path.strip_prefix("))
}

/// The path of the configuration.
pub fn config_path() -> String {
    control_path("config")
}

/// The path of a backend server's reports.
pub fn replica_path(id: &str) -> String {
    control_path(&format!("replicas/{id}"))
}

/// The path of orders to a backend server.
pub fn order_path() -> &'static str {
    quoted(ORDERS, "*request.method_mut() = Method::POST;")
}

/// The path of a backend server's state.
pub fn state_path() -> &'static str {
    quoted(ORDERS, "let mut request = Request::new(empty());")
}
