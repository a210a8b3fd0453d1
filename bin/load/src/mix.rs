//! The request mix, which a JSON file describes.

use crate::error::LoadError;
use base::units::DurationText;
use fastrand::Rng;
use serde::Deserialize;
use serde_with::serde_as;
use std::{fs, path::Path, time::Duration};

/// The kinds of requests that a run sends.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    pub kinds: Vec<RequestKind>,
}

/// One kind of request.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestKind {
    /// The name in the report.
    pub name: Box<str>,
    /// The weight by which this kind is chosen, relative to the sum over all kinds.
    pub share: u32,
    /// The value of the `x-team` header, if the request has one.
    #[serde(default)]
    pub team: Option<Box<str>>,
    /// A response counts as late after this time.
    #[serde_as(as = "DurationText")]
    pub deadline: Duration,
    /// The request to generate.
    #[serde(rename = "ask")]
    pub spec: RequestSpec,
}

/// Describes the requests of one kind.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum RequestSpec {
    /// A chat completion.
    Chat {
        model: Box<str>,
        /// Whether the response is streamed.
        #[serde(default)]
        stream: bool,
        /// The number of distinct prefixes that prompts start with.
        prefixes: u32,
        /// The length of a prompt in bytes, without its unique ending.
        prompt_bytes: usize,
        /// The length of the response in tokens.
        tokens: u32,
    },
    /// A status query to a plain service.
    Status {
        /// The path, to which a random number is appended.
        path: Box<str>,
    },
    /// A booking, which must run at most once.
    Booking { path: Box<str> },
}

impl Mix {
    /// Reads and validates a mix file.
    pub fn read(file: &Path) -> Result<Mix, LoadError> {
        let text = fs::read_to_string(file).map_err(|e| LoadError::file(file, &e))?;
        let mix: Mix = serde_json::from_str(&text).map_err(|e| LoadError::file(file, &e))?;
        if mix.kinds.iter().all(|kind| kind.share == 0) {
            return Err(LoadError::file(
                file,
                &"`kinds`: no kind has a `share` above 0: set at least one to 1 or more",
            ));
        }
        Ok(mix)
    }

    /// Chooses a kind at random, weighted by its share.
    pub fn choose(&self, rng: &mut Rng) -> &RequestKind {
        let total: u32 = self.kinds.iter().map(|kind| kind.share).sum();
        let mut remaining = rng.u32(..total);
        for kind in &self.kinds {
            if remaining < kind.share {
                return kind;
            }
            remaining -= kind.share;
        }
        &self.kinds[0]
    }
}
