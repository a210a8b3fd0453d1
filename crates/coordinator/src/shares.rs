//! Divides the slots of the backend servers among the entries, in proportion to demand.

use crate::events::SessionId;
use std::collections::BTreeMap;

/// Fraction of all slots that is divided evenly, so that an entry with no recent load can
/// serve its first requests until it receives its next share.
const EVEN_FRACTION: f64 = 0.2;
/// Relative change of a share below which the entry isn't notified: less than one slot of
/// a group with 26.
const MIN_RELATIVE_CHANGE: f64 = 0.04;
/// Request rate over all entries, per second, below which slots are divided evenly.
const MIN_TOTAL_RATE: f64 = 5.0;

/// The shares of the slots last sent to the entries.
#[derive(Debug, Default)]
pub struct SlotShares {
    sent: BTreeMap<SessionId, f64>,
}

impl SlotShares {
    /// Divides all slots by the recent request rate of each entry, refused requests
    /// included. Returns the shares to be sent, between 0 and 1. The shares of all entries
    /// add up to 1, except for changes that are too small to send.
    pub fn divide(&mut self, request_rates: &BTreeMap<SessionId, f64>) -> Vec<(SessionId, f64)> {
        self.sent.retain(|session, _| request_rates.contains_key(session));
        let total_rate: f64 = request_rates.values().sum();
        let even = 1.0 / request_rates.len() as f64;
        let mut updates = Vec::new();
        for (session, rate) in request_rates {
            let share = match total_rate < MIN_TOTAL_RATE {
                true => even,
                false => EVEN_FRACTION * even + (1.0 - EVEN_FRACTION) * rate / total_rate,
            };
            let sent = self.sent.get(session);
            if sent.is_none_or(|sent| (sent - share).abs() > sent * MIN_RELATIVE_CHANGE) {
                self.sent.insert(*session, share);
                updates.push((*session, share));
            }
        }
        updates
    }
}
