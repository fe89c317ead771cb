//! A fleet that is restarted by the operator's command and reports its status at the operators' addresses.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, ExitStatus, Stdio};
use std::time::Duration;

use shorewharf_rolling_restart::{BalancerStatus, Fleet};
use thiserror::Error;

use crate::cli::Balancer;

/// The time-out of an operator's call: answers are due within a second, but a machine that is starting a program may be
/// slow.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// The time between two polls of a status.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// The most bytes of an answer.
const MAX_ANSWER_BYTES: u64 = 1 << 20;

/// Why a balancer can't be restarted or does not report its status.
#[derive(Debug, Error)]
pub enum OperatorError {
    /// The restart command can't be started.
    #[error("'{command}': {error}")]
    Command { command: String, error: io::Error },
    /// The restart command failed.
    #[error("'{command}': {status}")]
    CommandFailed { command: String, status: ExitStatus },
    /// An operator's call failed.
    #[error("{request} at {address}: {error}")]
    Call { request: &'static str, address: SocketAddr, error: io::Error },
    /// The balancer's figures lack those about servers.
    #[error("telemetry at {address}: no svc.targets and svc.targets_disabled in the answer")]
    MissingFigures { address: SocketAddr },
}

/// Balancers under an operator's control.
pub struct OperatedFleet {
    pub balancers: Vec<Balancer>,
    /// The command that restarts a balancer; `{}` stands for its name.
    pub restart_command: String,
}

impl Fleet for OperatedFleet {
    type Error = OperatorError;

    fn restart(&mut self, balancer: usize) -> Result<(), OperatorError> {
        let name = &self.balancers[balancer].name;
        println!("{name}: restarting");
        let command = self.restart_command.replace("{}", name);
        match Command::new("sh").args(["-c", &command]).stdin(Stdio::null()).status() {
            Ok(status) if status.success() => Ok(()),
            Ok(status) => Err(OperatorError::CommandFailed { command, status }),
            Err(error) => Err(OperatorError::Command { command, error }),
        }
    }

    fn status(&mut self, balancer: usize) -> Result<BalancerStatus, OperatorError> {
        let address = self.balancers[balancer].address;
        let is_ready = call(address, "readyz")?.starts_with("YES");
        let figures = call(address, "telemetry")?;
        let servers = figure(&figures, "targets");
        let avoided_servers = figure(&figures, "targets_disabled");
        let (Some(servers), Some(avoided_servers)) = (servers, avoided_servers) else {
            return Err(OperatorError::MissingFigures { address });
        };
        Ok(BalancerStatus { is_ready, servers, avoided_servers })
    }

    fn wait(&mut self) -> Duration {
        std::thread::sleep(POLL_INTERVAL);
        POLL_INTERVAL
    }
}

/// The answer to an operator's call.
fn call(address: SocketAddr, request: &'static str) -> Result<String, OperatorError> {
    let exchange = || -> io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&address, CALL_TIMEOUT)?;
        stream.set_read_timeout(Some(CALL_TIMEOUT))?;
        stream.write_all(format!("{request}\r\n").as_bytes())?;
        let mut answer = String::new();
        stream.take(MAX_ANSWER_BYTES).read_to_string(&mut answer)?;
        Ok(answer)
    };
    exchange().map_err(|error| OperatorError::Call { request, address, error })
}

/// A figure in the lines `svc.NAME:VALUE|…` of a balancer's telemetry.
fn figure(telemetry: &str, name: &str) -> Option<u64> {
    let prefix = format!("svc.{name}:");
    telemetry.lines().find_map(|line| line.strip_prefix(&prefix)?.split('|').next()?.parse().ok())
}
