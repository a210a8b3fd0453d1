//! `kingcup explain ID FILE...`

use crate::error::{CliError, CliResult};
use argh::FromArgs;
use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

/// Log keys that identify the hosts and groups to which a request was sent.
const RELATED_KEYS: [&str; 2] = ["host", "group"];

/// print what the logs of several processes say about one request
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    example = "kingcup explain 9c41d07be2a35f68 entry-1.log entry-2.log control-1.log",
    note = "Prints the request's log lines in time order, marked `>`, and between them the lines about\nthe hosts and groups to which it was sent."
)]
pub struct Args {
    /// id of the request as the caller sent it, which the logs print as id=
    #[argh(positional)]
    id: String,
    /// log files of entries and control processes
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// One log line. The field order makes lines sort by time.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LogLine {
    /// UTC time in RFC 3339, which sorts as text.
    time: Box<str>,
    /// The word before the timestamp, or the name of the file if there is none.
    source: Box<str>,
    text: Box<str>,
}

pub fn run(args: &Args) -> CliResult {
    if args.files.is_empty() {
        return Err(CliError::Usage(
            "no log file was given: usage is `kingcup explain ID FILE...` with one or more files",
        ));
    }
    let mut lines = Vec::new();
    for file in &args.files {
        lines.extend(read_lines(file)?);
    }
    lines.sort();
    let request_lines: Vec<&LogLine> =
        lines.iter().filter(|line| line.field("id") == Some(&args.id)).collect();
    let (Some(first), Some(last)) = (request_lines.first(), request_lines.last()) else {
        return Err(CliError::Incomplete(format!("no line of these files has id={}", args.id)));
    };
    let related: BTreeSet<&str> = request_lines
        .iter()
        .flat_map(|line| RELATED_KEYS.iter().filter_map(|key| line.field(key)))
        .collect();
    for line in &lines {
        let is_request_line = line.field("id") == Some(&args.id);
        let is_between = line.time >= first.time && line.time <= last.time;
        let is_related = line.field("id").is_none()
            && RELATED_KEYS
                .iter()
                .any(|key| line.field(key).is_some_and(|name| related.contains(name)));
        if is_request_line || (is_between && is_related) {
            let mark = if is_request_line { '>' } else { ' ' };
            println!("{mark} {} {} {}", line.time, line.source, line.text);
        }
    }
    Ok(())
}

impl LogLine {
    /// Returns the value of `key` if the line contains `key=value`.
    fn field(&self, key: &str) -> Option<&str> {
        self.text.split(' ').find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
    }
}

fn read_lines(file: &Path) -> Result<Vec<LogLine>, CliError> {
    let bytes = fs::read(file).map_err(|cause| CliError::File { file: file.to_owned(), cause })?;
    let name = file.file_name().map(|name| name.to_string_lossy()).unwrap_or_default();
    let text = String::from_utf8_lossy(&bytes);
    Ok(text.lines().filter_map(|line| parse_line(line, &name)).collect())
}

/// Parses a line that a process logged. Returns `None` for any other text. A log collector may
/// have added words before the timestamp; the last of them is the source of the line.
fn parse_line(line: &str, file: &str) -> Option<LogLine> {
    let start = line.find("event=")?;
    let (before, text) = line.split_at(start);
    let is_time = |word: &&str| word.len() > 20 && word.contains('T') && word.ends_with('Z');
    let time = before.split_whitespace().find(is_time)?;
    let source = before.split_whitespace().take_while(|word| *word != time).last();
    Some(LogLine { time: time.into(), source: source.unwrap_or(file).into(), text: text.into() })
}
