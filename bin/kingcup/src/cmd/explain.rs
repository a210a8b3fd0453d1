//! `kingcup explain ID FILE...`

use crate::error::{CliError, CliResult};
use argh::FromArgs;
use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

/// Fields whose values name what a request met on its way.
const LINKS: [&str; 2] = ["host", "group"];

/// tell the story of one request from the logs of several processes
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    example = "kingcup explain 9c41d07be2a35f68 entry-1.log entry-2.log control-1.log",
    note = "Prints the request's lines in order of time, marked `>`, and between them what was\nlogged of the hosts and groups that it met."
)]
pub struct Args {
    /// id of the request, as the caller sent it
    #[argh(positional)]
    id: String,
    /// log files of entries and control processes
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// A line of a log.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Line {
    /// The time of day, in RFC 3339, which sorts as text.
    time: Box<str>,
    file: Box<str>,
    text: Box<str>,
}

pub fn run(args: &Args) -> CliResult {
    if args.files.is_empty() {
        return Err(CliError::Usage("explain needs at least one log file"));
    }
    let mut lines = Vec::new();
    for file in &args.files {
        lines.extend(read_lines(file)?);
    }
    lines.sort();
    let own: Vec<&Line> = lines.iter().filter(|line| line.field("id") == Some(&args.id)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Err(CliError::NotReached(format!("no line of these files has id={}", args.id)));
    };
    let met: BTreeSet<&str> =
        own.iter().flat_map(|line| LINKS.iter().filter_map(|key| line.field(key))).collect();
    for line in &lines {
        let is_own = line.field("id") == Some(&args.id);
        let between = line.time >= first.time && line.time <= last.time;
        let concerns = line.field("id").is_none()
            && LINKS.iter().any(|key| line.field(key).is_some_and(|name| met.contains(name)));
        if is_own || (between && concerns) {
            let mark = if is_own { '>' } else { ' ' };
            println!("{mark} {} {} {}", line.time, line.file, line.text);
        }
    }
    Ok(())
}

impl Line {
    /// The value of `key=value`, if the line has it.
    fn field(&self, key: &str) -> Option<&str> {
        self.text.split(' ').find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
    }
}

fn read_lines(file: &Path) -> Result<Vec<Line>, CliError> {
    let bytes = fs::read(file).map_err(|cause| CliError::File { file: file.to_owned(), cause })?;
    let name = file.file_name().map(|name| name.to_string_lossy()).unwrap_or_default();
    let text = String::from_utf8_lossy(&bytes);
    Ok(text.lines().filter_map(|line| parse_line(line, &name)).collect())
}

/// A line that a process logged; what else stands in a file is passed over. Whatever
/// collected the logs may have put words of its own before the time.
fn parse_line(line: &str, file: &str) -> Option<Line> {
    let at = line.find("event=")?;
    let (before, text) = line.split_at(at);
    let is_time = |word: &&str| word.len() > 20 && word.contains('T') && word.ends_with('Z');
    let time = before.split_whitespace().find(is_time)?;
    let source = before.split_whitespace().take_while(|word| *word != time).last();
    Some(Line { time: time.into(), file: source.unwrap_or(file).into(), text: text.into() })
}
