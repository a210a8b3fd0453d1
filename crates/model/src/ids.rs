//! Type aliases of identifiers.

/// The name of a host that runs a backend server.
pub type HostId = Box<str>;
/// The name of a failure domain.
pub type DomainId = Box<str>;
/// The name of a fabric domain, whose hosts are connected by a fast network. The members of a
/// group belong to the same one.
pub type FabricId = Box<str>;
/// The name of a team of callers.
pub type TeamId = Box<str>;
/// The name of a model.
pub type ModelId = Box<str>;
/// The name of a plain service.
pub type ServiceId = Box<str>;
/// The name of an entry process.
pub type EntryId = Box<str>;
/// The random identity of a control process's data directory.
pub type ControlId = u64;
/// A group, identified by the log index of the record that formed it. Groups in `fleet` are
/// identified by name.
pub type GroupId = u64;
/// A fencing token: the log index of the record that issued it.
pub type Fence = u64;
/// Identifies a run of a backend server, which chooses a new value at each start. Unlike
/// `fleet::Incarnation`, the values have no order.
pub type Incarnation = u64;
/// The number of a manifest, which the operators' pipeline chooses.
pub type ManifestNumber = u64;
/// Identifies a part of a prompt, such as a system prompt, that requests may share.
pub type PromptPartId = u64;

/// The digest of what makes two requests the same: their path, caller and body.
pub type RequestDigest = u64;

/// What crashes backend servers: a prompt part or the digest of a request, both of 64 bits, so that
/// one list holds both.
pub type CulpritId = u64;
/// The id of one attempt of a request, which the backend server echoes.
pub type RequestId = Box<str>;
/// A SHA-256 digest as 64 hexadecimal digits.
pub type Digest = Box<str>;
