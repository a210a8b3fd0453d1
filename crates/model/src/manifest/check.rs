//! Validation of a manifest's text, which reports every error with its position.

use super::{
    Manifest, RequestKey, TeamSelector,
    position::{Document, Position, join},
};
use crate::ids::Digest;
use sha2::{Digest as _, Sha256};
use std::{collections::BTreeSet, fmt};

/// An error in a manifest.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// The line, counted from 1.
    pub line: usize,
    /// The column in characters, counted from 1.
    pub column: usize,
    /// The cause and the remedy.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.message)
    }
}

/// A valid manifest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckedManifest {
    /// The manifest.
    pub manifest: Manifest,
    /// Its canonical JSON text.
    pub body: Box<str>,
    /// SHA-256 of the canonical text.
    pub digest: Digest,
}

/// The maximum number of errors that one check reports.
const MAX_FINDINGS: usize = 100;

const REQUIRED: [(&str, &[&str]); 5] = [
    ("", &["number", "failure_domains", "models", "teams"]),
    (
        "models",
        &[
            "name",
            "hosts_per_replica",
            "accelerators_per_host",
            "replicas",
            "cold_slots",
            "warm_slots",
        ],
    ),
    ("services", &["name", "routes"]),
    ("teams", &["name", "told_by"]),
    ("routes", &["method", "path_prefix", "idempotent"]),
];

/// Checks the text of a manifest.
///
/// # Errors
///
/// Returns all errors found, up to a limit, in the order of their positions.
pub fn check_manifest(text: &str) -> Result<CheckedManifest, Vec<Finding>> {
    let document = Document::parse(text)
        .map_err(|(position, cause)| vec![finding(position, format!("not JSON: {cause}"))])?;
    let mut checker = Checker { document: &document, findings: Vec::new() };
    let manifest = checker.deserialize();
    checker.check_required();
    if let Some(manifest) = &manifest {
        checker.check_values(manifest);
    }
    let mut findings = checker.findings;
    match manifest {
        Some(manifest) if findings.is_empty() => Ok(checked(manifest)),
        _ => {
            findings.sort();
            findings.dedup();
            Err(findings)
        }
    }
}

fn checked(manifest: Manifest) -> CheckedManifest {
    // Serializing structs of strings and numbers into memory cannot fail.
    let body = serde_json::to_string(&manifest).unwrap_or_default();
    let hash = Sha256::digest(body.as_bytes());
    let digest: String = hash.iter().map(|byte| format!("{byte:02x}")).collect();
    CheckedManifest { manifest, body: body.into(), digest: digest.into() }
}

fn finding(position: Position, message: String) -> Finding {
    Finding { line: position.line, column: position.column, message }
}

struct Checker<'a> {
    document: &'a Document,
    findings: Vec<Finding>,
}

impl Checker<'_> {
    fn report(&mut self, pointer: &str, message: impl Into<String>) {
        if self.findings.len() < MAX_FINDINGS {
            let position = self.document.position(pointer);
            self.findings.push(finding(position, message.into()));
        }
    }

    /// Deserializes the manifest. A field of a wrong type is reported and replaced by its default,
    /// so that the fields after it are checked as well.
    fn deserialize(&mut self) -> Option<Manifest> {
        let mut value = self.document.value.clone();
        for _ in 0..MAX_FINDINGS {
            let mut unknown = Vec::new();
            let mut on_ignored =
                |path: serde_ignored::Path<'_>| unknown.push(ignored_pointer(&path));
            let deserializer = serde_ignored::Deserializer::new(&value, &mut on_ignored);
            match serde_path_to_error::deserialize::<_, Manifest>(deserializer) {
                Ok(manifest) => {
                    for pointer in unknown {
                        let name = pointer.rsplit('/').next().unwrap_or_default();
                        let message =
                            format!("unknown field `{name}`: remove it or correct its name");
                        self.report(&pointer, message);
                    }
                    return Some(manifest);
                }
                Err(e) => {
                    let pointer = error_pointer(e.path());
                    self.report(&pointer, e.inner().to_string());
                    if !remove(&mut value, &pointer) {
                        return None;
                    }
                }
            }
        }
        None
    }

    fn check_required(&mut self) {
        let root = self.document.value.clone();
        self.require_fields(&root, "", "");
        for list in ["models", "services", "teams"] {
            let elements = root.get(list).and_then(|value| value.as_array());
            for (number, element) in elements.into_iter().flatten().enumerate() {
                let pointer = format!("/{list}/{number}");
                self.require_fields(element, &pointer, list);
                let routes = element.get("routes").and_then(|value| value.as_array());
                for (number, route) in routes.into_iter().flatten().enumerate() {
                    self.require_fields(route, &format!("{pointer}/routes/{number}"), "routes");
                }
            }
        }
    }

    fn require_fields(&mut self, value: &serde_json::Value, pointer: &str, kind: &str) {
        let Some(object) = value.as_object() else {
            return;
        };
        let names = REQUIRED.iter().find(|(of, _)| *of == kind);
        for name in names.into_iter().flat_map(|(_, names)| names.iter()) {
            if !object.contains_key(*name) {
                self.report(pointer, format!("missing field `{name}`: add it"));
            }
        }
    }

    fn check_values(&mut self, manifest: &Manifest) {
        if manifest.number == 0 {
            self.report("/number", "`number` must be at least 1");
        }
        let names: Vec<&str> = manifest.failure_domains.iter().map(|name| &**name).collect();
        self.check_names("/failure_domains", "", &names);
        if manifest.failure_domains.is_empty() {
            self.report("/failure_domains", "`failure_domains` is empty: list at least one");
        }
        if manifest.weight_store.concurrent_loads == 0 {
            let message =
                "`concurrent_loads` is 0, so no group could load its weights: set it to at least 1";
            self.report("/weight_store/concurrent_loads", message);
        }
        let names: Vec<&str> = manifest.models.iter().map(|model| &*model.name).collect();
        self.check_names("/models", "/name", &names);
        let names: Vec<&str> = manifest.services.iter().map(|service| &*service.name).collect();
        self.check_names("/services", "/name", &names);
        let names: Vec<&str> = manifest.teams.iter().map(|team| &*team.name).collect();
        self.check_names("/teams", "/name", &names);
        self.check_models(manifest);
        self.check_services(manifest);
        self.check_teams(manifest);
    }

    fn check_names(&mut self, list: &str, field: &str, names: &[&str]) {
        let mut seen = BTreeSet::new();
        for (number, name) in names.iter().enumerate() {
            let pointer = format!("{list}/{number}{field}");
            let is_valid = |c: char| c.is_ascii_alphanumeric() || "-_.:/".contains(c);
            if name.is_empty() || !name.chars().all(is_valid) {
                let message =
                    format!("the name `{name}` is invalid: use only letters, digits and -_.:/");
                self.report(&pointer, message);
            } else if !seen.insert(*name) {
                self.report(&pointer, format!("the name `{name}` appears twice: rename one"));
            }
        }
    }

    fn check_models(&mut self, manifest: &Manifest) {
        for (number, model) in manifest.models.iter().enumerate() {
            let pointer = format!("/models/{number}");
            let positive = [
                ("hosts_per_replica", model.hosts_per_replica),
                ("accelerators_per_host", model.accelerators_per_host),
                ("cold_slots", model.cold_slots),
                ("warm_slots", model.warm_slots),
            ];
            for (name, value) in positive {
                if value == 0 {
                    self.report(&join(&pointer, name), format!("`{name}` must be at least 1"));
                }
            }
            if model.floor > model.replicas {
                let message = format!(
                    "`floor` {} is above `replicas` {}: lower it or ask for more replicas",
                    model.floor, model.replicas
                );
                self.report(&join(&pointer, "floor"), message);
            }
            if model.cold_slots > model.warm_slots {
                let message = format!(
                    "`cold_slots` {} is above `warm_slots` {}: a cold replica cannot run more than a warm one",
                    model.cold_slots, model.warm_slots
                );
                self.report(&join(&pointer, "cold_slots"), message);
            }
            if model.deadline.is_zero() {
                self.report(&join(&pointer, "deadline"), "`deadline` must be above 0");
            }
        }
    }

    fn check_services(&mut self, manifest: &Manifest) {
        let mut prefixes = BTreeSet::new();
        for (number, service) in manifest.services.iter().enumerate() {
            let pointer = format!("/services/{number}");
            if service.slots == 0 {
                self.report(&join(&pointer, "slots"), "`slots` must be at least 1");
            }
            for (number, route) in service.routes.iter().enumerate() {
                let pointer = format!("{pointer}/routes/{number}");
                let methods = ["DELETE", "GET", "HEAD", "PATCH", "POST", "PUT"];
                if !methods.contains(&&*route.method) {
                    let message = format!(
                        "`{}` is not a supported method: use one of {}",
                        route.method,
                        methods.join(", ")
                    );
                    self.report(&join(&pointer, "method"), message);
                }
                let prefix = &route.path_prefix;
                let reserved_prefixes = ["/kingcup/", "/v1/chat/completions", "/v1/completions"];
                if !prefix.starts_with('/') {
                    self.report(&join(&pointer, "path_prefix"), "a path prefix must begin with /");
                } else if reserved_prefixes.iter().any(|reserved| prefix.starts_with(reserved)) {
                    let message = format!("`{prefix}` is reserved: choose another prefix");
                    self.report(&join(&pointer, "path_prefix"), message);
                }
                if !prefixes.insert((&route.method, prefix)) {
                    let message =
                        format!("the route {} {prefix} appears twice: remove one", route.method);
                    self.report(&pointer, message);
                }
                if let Some(RequestKey::Pointer(at)) = &route.request_key
                    && !at.starts_with('/')
                {
                    self.report(&join(&pointer, "request_key"), "a JSON pointer must begin with /");
                }
            }
        }
    }

    fn check_teams(&mut self, manifest: &Manifest) {
        for (number, team) in manifest.teams.iter().enumerate() {
            let pointer = format!("/teams/{number}");
            let positive = [("weight", team.weight), ("max_running", team.max_running)];
            for (name, value) in positive {
                if value == 0 {
                    self.report(&join(&pointer, name), format!("`{name}` must be at least 1"));
                }
            }
            for (number, selector) in team.selectors.iter().enumerate() {
                if let TeamSelector::Address { prefix, bits } = selector {
                    let max_bits = if prefix.is_ipv4() { 32 } else { 128 };
                    if *bits > max_bits {
                        let message = format!("`bits` {bits} is above {max_bits}: lower it");
                        self.report(&format!("{pointer}/told_by/{number}"), message);
                    }
                }
            }
        }
    }
}

fn ignored_pointer(path: &serde_ignored::Path<'_>) -> String {
    use serde_ignored::Path;
    match path {
        Path::Root => String::new(),
        Path::Seq { parent, index } => join(&ignored_pointer(parent), &index.to_string()),
        Path::Map { parent, key } => join(&ignored_pointer(parent), key),
        Path::Some { parent }
        | Path::NewtypeStruct { parent }
        | Path::NewtypeVariant { parent } => ignored_pointer(parent),
    }
}

fn error_pointer(path: &serde_path_to_error::Path) -> String {
    use serde_path_to_error::Segment;
    path.iter().fold(String::new(), |pointer, segment| match segment {
        Segment::Seq { index } => join(&pointer, &index.to_string()),
        Segment::Map { key } => join(&pointer, key),
        Segment::Enum { variant } => join(&pointer, variant),
        Segment::Unknown => pointer,
    })
}

/// Removes the value at `pointer` or, if there is none, its nearest existing ancestor other than
/// the root. Returns false if nothing was removed.
fn remove(value: &mut serde_json::Value, pointer: &str) -> bool {
    let mut pointer = pointer;
    while let Some(end) = pointer.rfind('/') {
        let key = pointer[end + 1..].replace("~1", "/").replace("~0", "~");
        match value.pointer_mut(&pointer[..end]) {
            Some(serde_json::Value::Object(object)) if object.contains_key(&key) => {
                object.remove(&key);
                return true;
            }
            Some(serde_json::Value::Array(elements)) => {
                // An empty object takes the place of the element, so that others keep their index.
                let empty = serde_json::json!({});
                let element = key.parse().ok().and_then(|number: usize| elements.get_mut(number));
                if let Some(element) = element
                    && *element != empty
                {
                    *element = empty;
                    return true;
                }
            }
            _ => {}
        }
        pointer = &pointer[..end];
    }
    false
}
