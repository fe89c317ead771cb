//! A fleet that is restarted by the operator's command and whose status is requested from the balancers' operator
//! addresses.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, ExitStatus, Stdio};
use std::time::Duration;

use shorewharf_rolling_restart::{BalancerStatus, Fleet};
use thiserror::Error;

use crate::cli::Balancer;

/// The time-out of an operator request. Balancers answer within a second, but a machine that is starting a program may
/// be slow.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// The time between two polls of a status.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// The most bytes of an answer that are read.
const MAX_ANSWER_BYTES: u64 = 1 << 20;

/// Why a balancer can't be restarted or does not report its status.
#[derive(Debug, Error)]
pub enum OperatorError {
    /// The restart command can't be started.
    #[error("the restart command '{command}' can't be started: {error}")]
    Command { command: String, error: io::Error },
    /// The restart command failed.
    #[error("the restart command '{command}' failed: {status}")]
    CommandFailed { command: String, status: ExitStatus },
    /// An operator request failed.
    #[error("request '{request}' to {address} failed: {error}")]
    Call { request: &'static str, address: SocketAddr, error: io::Error },
    /// The balancer's telemetry lacks the metrics about servers.
    #[error("the telemetry of {address} lacks svc.targets or svc.targets_disabled")]
    MissingMetrics { address: SocketAddr },
}

/// Balancers under an operator's control.
pub struct OperatedFleet {
    pub balancers: Vec<Balancer>,
    /// The shell command that restarts a balancer; `{}` is replaced by the balancer's name.
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
        let telemetry = call(address, "telemetry")?;
        let servers = metric(&telemetry, "targets");
        let avoided_servers = metric(&telemetry, "targets_disabled");
        let (Some(servers), Some(avoided_servers)) = (servers, avoided_servers) else {
            return Err(OperatorError::MissingMetrics { address });
        };
        Ok(BalancerStatus { is_ready, servers, avoided_servers })
    }

    fn wait(&mut self) -> Duration {
        std::thread::sleep(POLL_INTERVAL);
        POLL_INTERVAL
    }
}

/// Sends an operator request and returns the answer.
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

/// The value of a metric in the lines `svc.NAME:VALUE|…` of a balancer's telemetry.
fn metric(telemetry: &str, name: &str) -> Option<u64> {
    let prefix = format!("svc.{name}:");
    telemetry.lines().find_map(|line| line.strip_prefix(&prefix)?.split('|').next()?.parse().ok())
}
