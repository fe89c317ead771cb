//! System calls that fail as Linux documents, for tests.
//!
//! Preloaded (`LD_PRELOAD`) into a dynamically linked program, this library replaces some functions of the C library. Each
//! call goes to the kernel, unless the plan in `SHOREWHARF_FAULTS` makes it fail. A plan is a list of faults separated by
//! `;`, each
//!
//! ```text
//! CALL[:KIND]=FAULT[/EVERY][%PERCENT][@FROM-TO]
//! ```
//!
//! | part | values |
//! | --- | --- |
//! | `CALL` | `connect`, `socket`, `accept`, `recv`, `send`, `wait` (epoll), `write`, `sync` (both of files), `clock` (the wall clock) |
//! | `KIND` | `connected` or `accepted`: only sockets that this process has connected or accepted; all if left out |
//! | `FAULT` | an error by its name; `short`: one byte at most; `stall`: five bytes go out and then none; for `clock` a step in seconds |
//! | `EVERY` | only every n-th call that the fault applies to; 1 if left out |
//! | `PERCENT` | with this probability, drawn from `SHOREWHARF_FAULTS_SEED` |
//! | `FROM-TO` | only in these seconds since the program's start; a clock's step happens at `FROM` and stays |
//!
//! A plan that can't be read ends the program with exit code 99.

mod calls;
mod clock;
mod plan;
