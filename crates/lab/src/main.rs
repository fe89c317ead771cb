//! The `shorewharf-lab` program. Its commands and exit codes are described in `cli.rs`.

use std::process::ExitCode;

fn main() -> ExitCode {
    shorewharf_lab::main()
}
