//! Headers and paths of requests between callers, entries and backend servers.

/// The header with the id of one attempt, which the backend server must echo.
pub const REQUEST_ID_HEADER: &str = "kingcup-request-id";
/// The header of a refusal that says whether the request may have run: `no` or `unknown`.
pub const RAN_HEADER: &str = "kingcup-ran";
/// The header with the team's priority, for the engine.
pub const PRIORITY_HEADER: &str = "kingcup-priority";
/// The path of the directory of entries.
pub const DIRECTORY_PATH: &str = "/kingcup/entries";
/// The path on which entries take announcements.
pub const ANNOUNCE_PATH: &str = "/kingcup/announce";
/// The path of chat completions.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// The path of plain completions.
pub const COMPLETIONS_PATH: &str = "/v1/completions";
