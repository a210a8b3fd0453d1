//! Divides the places at the backend servers among the entries that ask for them.

use crate::events::SessionId;
use std::collections::BTreeMap;

/// The part of all places that is divided evenly, so that an entry whose callers have just
/// come can serve the first of them: what it needs for the time until its next part comes.
const EVEN_PART: f64 = 0.2;
/// Change of a part, against the part, below which an entry isn't told: less than one place
/// of a group with 26.
const STEP: f64 = 0.04;
/// Requests a second asked of all entries below which places are divided evenly.
const ASKED_MIN: f64 = 5.0;

/// The parts of the places that entries were told last.
#[derive(Debug, Default)]
pub struct SlotShares {
    told: BTreeMap<SessionId, f64>,
}

impl SlotShares {
    /// Divides all places by the requests a second that each entry was asked lately, those
    /// that it refused included. Returns the parts that entries have to be told, between 0
    /// and 1; the parts of all entries add up to 1, but for changes too small to tell.
    pub fn divide(&mut self, asked: &BTreeMap<SessionId, f64>) -> Vec<(SessionId, f64)> {
        self.told.retain(|session, _| asked.contains_key(session));
        let sum: f64 = asked.values().sum();
        let even = 1.0 / asked.len() as f64;
        let mut news = Vec::new();
        for (session, rate) in asked {
            let part = match sum < ASKED_MIN {
                true => even,
                false => EVEN_PART * even + (1.0 - EVEN_PART) * rate / sum,
            };
            let told = self.told.get(session);
            if told.is_none_or(|told| (told - part).abs() > told * STEP) {
                self.told.insert(*session, part);
                news.push((*session, part));
            }
        }
        news
    }
}
