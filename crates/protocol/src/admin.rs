//! Commands of operators and their replies. A connection has one command, a line that ends with LF or CRLF. Replies begin with
//! `YES` or `NO`; metrics end with `END`.

use std::fmt::Write;

use thiserror::Error;

/// The longest command in bytes, without the end of its line.
pub const MAX_COMMAND_BYTES: usize = 4096;

/// A command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// `readyz`: whether this process accepts clients.
    Readiness,
    /// `telemetry`: the metrics.
    Metrics,
    /// `exclude ID`: disables a server.
    Disable(String),
    /// `include ID`: enables a server again.
    Enable(String),
}

/// A command that is rejected.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum CommandError {
    /// The line is empty.
    #[error("no call: readyz, telemetry, exclude ID and include ID are known")]
    Empty,
    /// There is no such command.
    #[error("'{0}' is no call: readyz, telemetry, exclude ID and include ID are known")]
    UnknownCommand(String),
    /// The command lacks the id of a server.
    #[error("{0} needs the id of a server behind it")]
    MissingServer(&'static str),
    /// The command has more arguments than it takes.
    #[error("{0} takes {1}")]
    UnexpectedArgument(&'static str, &'static str),
    /// The line is not UTF-8, or has control characters.
    #[error("the call is no text")]
    NotText,
    /// The line is longer than any command.
    #[error("the call is longer than {MAX_COMMAND_BYTES} bytes")]
    TooLong,
    /// The server is neither listed nor disabled.
    #[error("no server '{0}' is listed or taken out")]
    UnknownServer(String),
    /// This process accepts no clients.
    #[error("{0}")]
    NotReady(&'static str),
}

/// Characters of an unknown command that an error quotes.
const MAX_QUOTED_CHARS: usize = 64;

/// Parses the line of a command, without its end.
///
/// # Errors
/// The line is not a command.
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
    /// It is so, or the command is executed.
    Done,
    /// It is not so, or the command is rejected.
    Rejected(CommandError),
    /// The lines of the metrics.
    Metrics(String),
}

impl CommandReply {
    /// The reply's text, with this end of each line: the one that the command had.
    pub fn text(&self, line_end: &str) -> String {
        let text = match self {
            CommandReply::Done => "YES\n".to_owned(),
            CommandReply::Rejected(error) => format!("NO {error}\n"),
            CommandReply::Metrics(lines) => format!("{lines}END\n"),
        };
        if line_end == "\n" { text } else { text.replace('\n', line_end) }
    }
}

/// Replies to the clients of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplyCounts {
    /// Connections that a server has accepted.
    pub success: u64,
    /// Rejected connections.
    pub overload: u64,
    /// Failed connections.
    pub error: u64,
}

/// The metrics of a process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Metrics {
    /// Replies by class, with the name of each.
    pub replies: Vec<(String, ReplyCounts)>,
    /// Attempts whose first line has been written to a server.
    pub dispatches: u64,
    /// Client connections that have not ended.
    pub concurrent: usize,
    /// Servers in the endpoint list.
    pub targets: usize,
    /// Of these, those that get no requests now.
    pub targets_disabled: usize,
}

/// A name as part of a metric's name: characters with a meaning in these lines are replaced.
fn metric_name_part(name: &str) -> String {
    name.chars()
        .map(|c| if c.is_control() || c.is_whitespace() || ":|@#.".contains(c) { '_' } else { c })
        .collect()
}

impl Metrics {
    /// The lines of the metrics: counters since the start (`c`), and gauges (`g`).
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
