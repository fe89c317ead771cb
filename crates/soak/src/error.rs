//! Errors of a run.

use thiserror::Error;

/// An error that ends a run without a verdict.
#[derive(Debug, Error)]
pub enum SoakError {
    /// A system call of the soak itself failed.
    #[error("{0}")]
    System(#[from] std::io::Error),
    /// A balancer did not start serving.
    #[error("balancer {balancer} does not serve, system faults '{system_faults}': {last_line}")]
    NotServing {
        /// The balancer's number.
        balancer: usize,
        /// Its failing system calls.
        system_faults: String,
        /// The last line of any balancer's log.
        last_line: String,
    },
}
