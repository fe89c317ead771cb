//! The command line.

use std::net::SocketAddr;
use std::str::FromStr;

use clap::Parser;
use thiserror::Error;

/// The longest time that an option accepts, in seconds: one day.
const MAX_SECONDS: f64 = 86_400.0;

/// Restarts balancers one after the other; each must have recovered before the next one is restarted
#[derive(Parser)]
#[command(
    name = "shorewharf-rolling-restart",
    version,
    after_help = "\
Exit codes:
  0  all balancers were restarted and have recovered
  1  the restart stopped at a balancer; the table shows which, why, and which were not restarted
  2  the command line is invalid; nothing was restarted"
)]
pub struct Cli {
    /// Shell command that restarts a balancer and returns when the restart is done; {} is replaced by its name
    #[arg(long, value_name = "COMMAND")]
    pub restart: String,
    /// Seconds within which a restarted balancer must have recovered
    #[arg(long, default_value_t = 30.0, value_parser = parse_seconds)]
    pub within: f64,
    /// Seconds for which a balancer must stay recovered before the next one is restarted
    #[arg(long, default_value_t = 2.0, value_parser = parse_seconds)]
    pub settle: f64,
    /// The balancers in the order of their restarts, each with its operator address
    #[arg(required = true, value_name = "NAME=ADDRESS:PORT")]
    pub balancers: Vec<Balancer>,
}

/// A balancer and its operator address.
#[derive(Clone, Debug)]
pub struct Balancer {
    pub name: String,
    pub address: SocketAddr,
}

/// Why an argument is invalid.
#[derive(Debug, Error, PartialEq)]
pub enum ArgumentError {
    #[error("not a number")]
    NotANumber,
    #[error("must be from 0 to {MAX_SECONDS}")]
    OutOfRange,
    #[error("must have the form NAME=ADDRESS:PORT")]
    NoAddress,
    #[error("the name must consist of letters, digits and -_.@")]
    InvalidName,
    #[error("'{0}' is not of the form ADDRESS:PORT")]
    InvalidAddress(String),
}

fn parse_seconds(text: &str) -> Result<f64, ArgumentError> {
    let seconds: f64 = text.parse().map_err(|_| ArgumentError::NotANumber)?;
    if !(0.0..=MAX_SECONDS).contains(&seconds) {
        return Err(ArgumentError::OutOfRange);
    }
    Ok(seconds)
}

impl FromStr for Balancer {
    type Err = ArgumentError;
    fn from_str(text: &str) -> Result<Self, ArgumentError> {
        let (name, address) = text.split_once('=').ok_or(ArgumentError::NoAddress)?;
        // The name becomes part of a shell command, so it must not contain characters that the shell interprets.
        let is_safe = |c: char| c.is_ascii_alphanumeric() || "-_.@".contains(c);
        if name.is_empty() || !name.chars().all(is_safe) {
            return Err(ArgumentError::InvalidName);
        }
        let parsed = address.parse().map_err(|_| ArgumentError::InvalidAddress(address.to_owned()))?;
        Ok(Balancer { name: name.to_owned(), address: parsed })
    }
}
