//! Operators' commands and the replies to them.
//!
//! A connection carries one command, a line that ends with LF or CRLF. A reply is a line that begins with
//! `YES` or `NO`, or the metrics followed by a line with `END`.

use std::fmt::Write;

use thiserror::Error;

/// Maximum length of a command in bytes, without its line ending.
pub const MAX_COMMAND_BYTES: usize = 4096;

/// An operator's command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// `readyz`: asks whether this process accepts clients.
    Readiness,
    /// `telemetry`: asks for the metrics.
    Metrics,
    /// `exclude ID`: disables the server with this id.
    Disable(String),
    /// `include ID`: enables a disabled server again.
    Enable(String),
}

/// The reason why a command is rejected.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum CommandError {
    /// The line is empty.
    #[error("no call: readyz, telemetry, exclude ID and include ID are known")]
    Empty,
    /// The first word of the line is not a command; it is quoted, up to a maximum length.
    #[error("'{0}' is no call: readyz, telemetry, exclude ID and include ID are known")]
    UnknownCommand(String),
    /// The command needs the id of a server, and the line has none.
    #[error("{0} needs the id of a server behind it")]
    MissingServer(&'static str),
    /// The line has more arguments than the command takes. The fields are the command and what it takes.
    #[error("{0} takes {1}")]
    UnexpectedArgument(&'static str, &'static str),
    /// The line is not UTF-8, or contains control characters.
    #[error("the call is no text")]
    NotText,
    /// The line is longer than [`MAX_COMMAND_BYTES`].
    #[error("the call is longer than {MAX_COMMAND_BYTES} bytes")]
    TooLong,
    /// No server with this id is in the endpoint list or disabled.
    #[error("no server '{0}' is listed or taken out")]
    UnknownServer(String),
    /// This process accepts no clients, for the reason given.
    #[error("{0}")]
    NotReady(&'static str),
}

/// Maximum number of characters of an unknown command that an error message quotes.
const MAX_QUOTED_CHARS: usize = 64;

/// Parses a command from a line without its line ending.
///
/// # Errors
///
/// Fails if the line is not a valid command.
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
    let without_arguments = |name, command| match arguments[..] {
        [] => Ok(command),
        _ => Err(CommandError::UnexpectedArgument(name, "nothing behind it")),
    };
    let with_server = |name, command: fn(String) -> Command| match arguments[..] {
        [] => Err(CommandError::MissingServer(name)),
        [id] => Ok(command(id.to_owned())),
        _ => Err(CommandError::UnexpectedArgument(name, "one server at a time")),
    };
    match name {
        "readyz" => without_arguments("readyz", Command::Readiness),
        "telemetry" => without_arguments("telemetry", Command::Metrics),
        "exclude" => with_server("exclude", Command::Disable),
        "include" => with_server("include", Command::Enable),
        other => Err(CommandError::UnknownCommand(other.chars().take(MAX_QUOTED_CHARS).collect())),
    }
}

/// The reply to a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandReply {
    /// `YES`: the command was executed, or the process accepts clients.
    Done,
    /// `NO` and the reason: the command was rejected, or the process accepts no clients.
    Rejected(CommandError),
    /// The lines of the metrics, to which a line with `END` is added.
    Metrics(String),
}

impl CommandReply {
    /// Returns the text of the reply. All lines end with `line_end`, which should be the line ending of the
    /// command.
    pub fn text(&self, line_end: &str) -> String {
        let text = match self {
            CommandReply::Done => "YES\n".to_owned(),
            CommandReply::Rejected(error) => format!("NO {error}\n"),
            CommandReply::Metrics(lines) => format!("{lines}END\n"),
        };
        if line_end == "\n" { text } else { text.replace('\n', line_end) }
    }
}

/// Numbers of replies to the clients of one request class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplyCounts {
    /// Number of connections that a server has accepted.
    pub success: u64,
    /// Number of rejected connections.
    pub overload: u64,
    /// Number of failed connections.
    pub error: u64,
}

/// The metrics of a process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Metrics {
    /// For each request class, its name and the numbers of replies.
    pub replies: Vec<(String, ReplyCounts)>,
    /// Number of attempts whose first line has been written to a server.
    pub dispatches: u64,
    /// Number of client connections that have not ended.
    pub concurrent: usize,
    /// Number of servers in the endpoint list.
    pub targets: usize,
    /// Number of listed servers that currently get no requests.
    pub targets_disabled: usize,
}

/// Makes a name usable as a part of a metric's name: replaces the characters that have a meaning in metric
/// lines.
fn metric_name_part(name: &str) -> String {
    name.chars()
        .map(|c| if c.is_control() || c.is_whitespace() || ":|@#.".contains(c) { '_' } else { c })
        .collect()
}

impl Metrics {
    /// Formats the metrics, one per line: counters since the start of the process (`c`), and gauges (`g`).
    pub fn lines(&self) -> String {
        let mut lines = String::new();
        let mut line = |name: &str, value: &dyn std::fmt::Display, kind: &str| {
            // Writing to a `String` does not fail.
            let _ = writeln!(lines, "svc.{name}:{value}|{kind}");
        };
        for (class, counts) in &self.replies {
            let class = metric_name_part(class);
            line(&format!("replies.{class}.success"), &counts.success, "c");
            line(&format!("replies.{class}.overload"), &counts.overload, "c");
            line(&format!("replies.{class}.error"), &counts.error, "c");
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
