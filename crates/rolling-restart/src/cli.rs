//! The command line.

use std::net::SocketAddr;
use std::str::FromStr;

use clap::Parser;
use thiserror::Error;

/// The longest time that an option may give, in seconds: a day.
const MAX_SECONDS: f64 = 86_400.0;

/// Restarts balancers one after the other; each is to be back and knowing before the next goes
#[derive(Parser)]
#[command(
    name = "shorewharf-rolling-restart",
    version,
    after_help = "\
Exit codes:
  0  all are restarted, back and knowing
  1  it stopped at the first sign of trouble; the table says where, why, and what is left
  2  the command line can't be used; nothing was done"
)]
pub struct Cli {
    /// The command that restarts one and returns once that is done; {} stands for its name
    #[arg(long, value_name = "COMMAND")]
    pub restart: String,
    /// Seconds within which one is to be back and knowing
    #[arg(long, default_value_t = 30.0, value_parser = parse_seconds)]
    pub within: f64,
    /// Seconds for which it is to stay so
    #[arg(long, default_value_t = 2.0, value_parser = parse_seconds)]
    pub settle: f64,
    /// The balancers in their order, each with the address at which operators call it
    #[arg(required = true, value_name = "NAME=ADDRESS:PORT")]
    pub balancers: Vec<Balancer>,
}

/// A balancer and its operators' address.
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
    #[error("not from 0 to {MAX_SECONDS}")]
    OutOfRange,
    #[error("it needs NAME=ADDRESS:PORT")]
    NoAddress,
    #[error("a name is of letters, digits and -_.@")]
    InvalidName,
    #[error("'{0}' is no ADDRESS:PORT")]
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
        // The name becomes part of a shell command.
        let is_safe = |c: char| c.is_ascii_alphanumeric() || "-_.@".contains(c);
        if name.is_empty() || !name.chars().all(is_safe) {
            return Err(ArgumentError::InvalidName);
        }
        let parsed = address.parse().map_err(|_| ArgumentError::InvalidAddress(address.to_owned()))?;
        Ok(Balancer { name: name.to_owned(), address: parsed })
    }
}
