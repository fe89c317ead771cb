//! The real balancer: reads its configuration, serves, and ends when told to.

use std::process::ExitCode;

use shorewharf::{config::Config, net};

/// The configuration can't be used: nothing was started.
const BAD_CONFIG: u8 = 2;

fn main() -> ExitCode {
    let read = || Config::read(|var| std::env::var(var).ok());
    let config = match read() {
        Ok(config) => config,
        Err(e) => {
            eprintln!("shorewharf: bad-config {e}");
            return ExitCode::from(BAD_CONFIG);
        }
    };
    match net::run(config, read) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("shorewharf: cannot-run error=\"{e}\"");
            ExitCode::FAILURE
        }
    }
}
