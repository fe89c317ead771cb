//! What operators say and are told: one call to a connection, a line that ends with LF or CRLF; answers begin with `YES` or
//! `NO`, and figures end with `END`.

use std::fmt::Write;

use thiserror::Error;

/// Bytes that a call's line may have, without its end: the longest of the platform's lines.
pub const MAX_COMMAND_BYTES: usize = 4096;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// `readyz`: whether this process takes clients.
    Readiness,
    /// `telemetry`: the figures.
    Metrics,
    /// `exclude ID`: a server is taken out.
    Disable(String),
    /// `include ID`: it may serve again.
    Enable(String),
}

/// Why a call can't be answered with a yes.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum CommandError {
    /// Nothing was said.
    #[error("no call: readyz, telemetry, exclude ID and include ID are known")]
    Empty,
    /// No such call.
    #[error("'{0}' is no call: readyz, telemetry, exclude ID and include ID are known")]
    UnknownCommand(String),
    /// The call needs the id of a server.
    #[error("{0} needs the id of a server behind it")]
    MissingServer(&'static str),
    /// More was said than the call takes.
    #[error("{0} takes {1}")]
    UnexpectedArgument(&'static str, &'static str),
    /// The line is no text.
    #[error("the call is no text")]
    NotText,
    /// The line is longer than any call.
    #[error("the call is longer than {MAX_COMMAND_BYTES} bytes")]
    TooLong,
    /// The server is not known.
    #[error("no server '{0}' is listed or taken out")]
    UnknownServer(String),
    /// This process takes no clients.
    #[error("{0}")]
    NotReady(&'static str),
}

/// What is quoted of what was said: a few words of it.
fn some(text: &str) -> String {
    text.chars().take(64).collect()
}

/// Reads a call's line, without its end.
pub fn parse_command(line: &[u8]) -> Result<Command, CommandError> {
    if line.len() > MAX_COMMAND_BYTES {
        return Err(CommandError::TooLong);
    }
    let text = std::str::from_utf8(line).map_err(|_| CommandError::NotText)?;
    if text.chars().any(char::is_control) {
        return Err(CommandError::NotText);
    }
    let mut words = text.split(' ').filter(|word| !word.is_empty());
    let name = words.next().ok_or(CommandError::Empty)?;
    let arguments: Vec<&str> = words.collect();
    let alone = |name, call| match arguments[..] {
        [] => Ok(call),
        _ => Err(CommandError::UnexpectedArgument(name, "nothing behind it")),
    };
    let server = |name, call: fn(String) -> Command| match arguments[..] {
        [] => Err(CommandError::MissingServer(name)),
        [id] => Ok(call(id.to_owned())),
        _ => Err(CommandError::UnexpectedArgument(name, "one server at a time")),
    };
    match name {
        "readyz" => alone("readyz", Command::Readiness),
        "telemetry" => alone("telemetry", Command::Metrics),
        "exclude" => server("exclude", Command::Disable),
        "include" => server("include", Command::Enable),
        other => Err(CommandError::UnknownCommand(some(other))),
    }
}

/// What a call is answered with, line by line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandReply {
    /// It is so, or it is done.
    Done,
    /// It is not, and why.
    Rejected(CommandError),
    /// The figures.
    Metrics(String),
}

impl CommandReply {
    /// The answer's text, its lines ended as the call was.
    pub fn text(&self, end: &str) -> String {
        let text = match self {
            CommandReply::Done => "YES\n".to_owned(),
            CommandReply::Rejected(why) => format!("NO {why}\n"),
            CommandReply::Metrics(lines) => format!("{lines}END\n"),
        };
        if end == "\n" { text } else { text.replace('\n', end) }
    }
}

/// What became of the connections of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplyCounts {
    /// Brought up.
    pub success: u64,
    /// Refused.
    pub overload: u64,
    /// Failed.
    pub error: u64,
}

/// The figures that are reported.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Metrics {
    /// By class, each with its name.
    pub replies: Vec<(String, ReplyCounts)>,
    /// Attempts written whole to servers.
    pub dispatches: u64,
    /// Connections that were taken and have not ended.
    pub concurrent: usize,
    /// Servers in the list.
    pub targets: usize,
    /// Of these, those that get nothing now.
    pub targets_disabled: usize,
}

/// A name as a part of a figure's name: what has a meaning in these lines is replaced.
fn part(name: &str) -> String {
    name.chars()
        .map(|c| if c.is_control() || c.is_whitespace() || ":|@#.".contains(c) { '_' } else { c })
        .collect()
}

impl Metrics {
    /// The figures' lines: counts since the start, and gauges.
    pub fn lines(&self) -> String {
        let mut lines = String::new();
        let mut line = |name: &str, value: &dyn std::fmt::Display, kind: &str| {
            // Writing to text does not fail.
            let _ = writeln!(lines, "svc.{name}:{value}|{kind}");
        };
        for (class, r) in &self.replies {
            let class = part(class);
            line(&format!("replies.{class}.success"), &r.success, "c");
            line(&format!("replies.{class}.overload"), &r.overload, "c");
            line(&format!("replies.{class}.error"), &r.error, "c");
        }
        line("dispatches", &self.dispatches, "c");
        line("concurrent", &self.concurrent, "g");
        line("targets", &self.targets, "g");
        line("targets_disabled", &self.targets_disabled, "g");
        lines
    }
}

#[cfg(test)]
mod tests;
