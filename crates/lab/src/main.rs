//! `shorewharf-lab`: see `cli.rs` for its words and exit codes.

use std::process::ExitCode;

fn main() -> ExitCode {
    shorewharf_lab::main()
}
