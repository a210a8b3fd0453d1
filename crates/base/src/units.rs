//! Parsers and `serde_with` adapters for durations and sizes written with a unit.

use serde::{Deserialize, Deserializer, Serializer, de::Error};
use serde_with::{DeserializeAs, SerializeAs};
use std::time::Duration;

/// A duration such as `250ms`, `20s`, `10m` or `2h`.
#[derive(Debug)]
pub struct DurationText;

/// A number of bytes such as `512KiB`, `24GiB` or `100B`.
#[derive(Debug)]
pub struct SizeText;

const DURATION_UNITS: [(&str, u64); 4] = [("ms", 1), ("s", 1000), ("m", 60_000), ("h", 3_600_000)];

const SIZE_UNITS: [(&str, u64); 5] =
    [("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30), ("TiB", 1 << 40), ("B", 1)];

/// Parses a duration with its unit.
///
/// # Errors
///
/// Returns a message that names the accepted forms.
pub fn parse_duration(text: &str) -> Result<Duration, String> {
    parse_scaled(text, &DURATION_UNITS).map(Duration::from_millis).ok_or_else(|| {
        format!("`{text}` is not a duration: write a whole number and ms, s, m or h")
    })
}

/// Parses a size with its unit; returns bytes.
///
/// # Errors
///
/// Returns a message that names the accepted forms.
pub fn parse_size(text: &str) -> Result<u64, String> {
    parse_scaled(text, &SIZE_UNITS).ok_or_else(|| {
        format!("`{text}` is not a size: write a whole number and B, KiB, MiB, GiB or TiB")
    })
}

/// Parses a whole number followed by a unit; `None` on a syntax error, unknown unit or overflow.
fn parse_scaled(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let digits = text.trim_end_matches(|c: char| !c.is_ascii_digit());
    let unit = &text[digits.len()..];
    let (_, factor) = units.iter().find(|(name, _)| *name == unit)?;
    digits.parse::<u64>().ok()?.checked_mul(*factor)
}

/// Formats a value in the largest unit that divides it evenly.
fn format_scaled(value: u64, units: &[(&str, u64)]) -> String {
    let mut best = (1, "");
    for (name, factor) in units {
        if value.is_multiple_of(*factor) && *factor >= best.0 {
            best = (*factor, name);
        }
    }
    format!("{}{}", value / best.0, best.1)
}

impl SerializeAs<Duration> for DurationText {
    fn serialize_as<S: Serializer>(value: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        let millis = u64::try_from(value.as_millis()).unwrap_or(u64::MAX);
        serializer.serialize_str(&format_scaled(millis, &DURATION_UNITS))
    }
}

impl<'de> DeserializeAs<'de, Duration> for DurationText {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        let text = String::deserialize(deserializer)?;
        parse_duration(&text).map_err(D::Error::custom)
    }
}

impl SerializeAs<u64> for SizeText {
    fn serialize_as<S: Serializer>(value: &u64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&format_scaled(*value, &SIZE_UNITS))
    }
}

impl<'de> DeserializeAs<'de, u64> for SizeText {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        let text = String::deserialize(deserializer)?;
        parse_size(&text).map_err(D::Error::custom)
    }
}
