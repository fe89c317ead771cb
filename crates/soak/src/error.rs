//! Errors that end a run.

use thiserror::Error;

/// An error that ends a run without a verdict.
#[derive(Debug, Error)]
pub enum SoakError {
    /// A system call of the soak test itself failed.
    #[error("{0}")]
    System(#[from] std::io::Error),
    /// A started balancer did not serve within the time-out.
    #[error(
        "balancer {balancer} did not start serving (system faults '{system_faults}'); last log line: {last_line}"
    )]
    NotServing {
        /// The balancer's number.
        balancer: usize,
        /// The plan of its failing system calls.
        system_faults: String,
        /// The last line of any balancer's log.
        last_line: String,
    },
}
