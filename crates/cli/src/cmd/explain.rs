//! `pomeloreach explain`.

use crate::error::CliError;
use crate::log_line::LogLine;
use crate::print;
use argh::FromArgs;
use pomeloreach_core::code::{Outcome, ResultCode};
use std::fmt::Write;
use std::path::PathBuf;

/// Show what happened to one request, from the logs of the daemons that handled it.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// the id of the request
    #[argh(positional)]
    request: String,
    /// the log files of the daemons
    #[argh(positional)]
    files: Vec<PathBuf>,
}

impl Explain {
    pub fn run(self, as_json: bool) -> Result<(), CliError> {
        let mut lines = Vec::new();
        for path in &self.files {
            let text = std::fs::read_to_string(path)
                .map_err(|source| CliError::ReadFile { path: path.clone(), source })?;
            let file = path.file_stem().map_or_else(String::new, |stem| stem.display().to_string());
            let parsed = text.lines().filter_map(|line| LogLine::parse(line, &file));
            lines.extend(parsed.filter(|line| line.value("request") == Some(&self.request)));
        }
        if lines.is_empty() {
            return Err(CliError::RequestNotFound(self.request));
        }
        lines.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
        if as_json {
            return print::json(&to_json(&lines));
        }
        print::text(&format_lines(&lines))
    }
}

/// The log lines as JSON objects with the keys that `--json` prints.
fn to_json(lines: &[LogLine]) -> Vec<serde_json::Value> {
    let line_json = |line: &LogLine| {
        serde_json::json!({
            "timestamp": line.timestamp,
            "source": line.source,
            "event": line.event,
            "detail": line.detail,
        })
    };
    lines.iter().map(line_json).collect()
}

/// Formats the log lines, followed by a summary of the last result code among them.
fn format_lines(lines: &[LogLine]) -> String {
    let mut text = String::new();
    for line in lines {
        let LogLine { source, timestamp, event, detail } = line;
        writeln!(text, "{timestamp}  {source}  {event}\n    {detail}")
            .expect("writing to a string cannot fail");
    }
    let mut codes = lines.iter().filter_map(|line| Some((line, line.value("code")?.parse().ok()?)));
    if let Some((line, code)) = codes.next_back() {
        writeln!(text, "{}", summary(line, code)).expect("writing to a string cannot fail");
    }
    text
}

/// A sentence about the outcome that `code` stands for, in the words of `docs/ERRORS.md`, and one
/// about the target that `line` names.
fn summary(line: &LogLine, code: ResultCode) -> String {
    let outcome = match code.outcome() {
        Outcome::Answered => "the caller got a target's own answer",
        Outcome::NotRun => "no target ran the request",
        Outcome::Unknown => "a target may have run the request; its answer did not come",
    };
    let last_target = line.value("target").map_or_else(
        || "No target was chosen".to_string(),
        |target| {
            format!(
                "The last target was {target}, chosen by a load report {} ms old",
                line.value("load_age_ms").unwrap_or("of unknown age,")
            )
        },
    );
    let caller = match (line.value("account"), line.value("reason")) {
        (Some("-") | None, Some(problem @ ("missing" | "unknown"))) => {
            format!(" The caller's API key was {problem}.")
        }
        (Some("-") | None, Some("unconfirmed")) => {
            " Whether an account has the caller's API key could not be confirmed.".to_string()
        }
        (Some("-") | None, _) => String::new(),
        (Some(account), _) => format!(" The caller's account was {account}."),
    };
    format!("{} {code}: {outcome}. {last_target}.{caller}", code.number())
}
