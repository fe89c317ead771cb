//! Makes system calls fail with errors that Linux documents, for tests.
//!
//! Preloaded (`LD_PRELOAD`) into a dynamically linked program, this library replaces some functions of the C library. Each
//! call goes to the kernel, unless the plan in `SHOREWHARF_FAULTS` makes it fail. A plan is a list of faults separated by
//! `;`, each of the form
//!
//! ```text
//! CALL[:KIND]=FAULT[/EVERY][%PERCENT][@FROM-TO]
//! ```
//!
//! | part | values |
//! | --- | --- |
//! | `CALL` | `connect`, `socket`, `accept`, `recv`, `send`, `wait` (epoll), `write` and `sync` (files only), `clock` (the wall clock) |
//! | `KIND` | `connected` or `accepted`: only sockets that this process has connected or accepted; all if omitted |
//! | `FAULT` | the name of an error; `short`: at most one byte is transferred; `stall`: five bytes are sent and then none; for `clock` a step in seconds |
//! | `EVERY` | only every n-th call to which the fault applies; 1 if omitted |
//! | `PERCENT` | the probability in percent, drawn by the seed in `SHOREWHARF_FAULTS_SEED`; replaces `EVERY` |
//! | `FROM-TO` | only between these seconds since the program's start; a step of the clock happens at `FROM` and is permanent |
//!
//! The program exits with code 99 if the plan is invalid.

mod calls;
mod clock;
mod plan;
