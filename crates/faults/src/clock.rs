//! The monotonic clock, read from the kernel directly: this library replaces the C library's function.

use std::mem::MaybeUninit;

use libc::{c_long, timespec};

/// Seconds on the monotonic clock, which no plan steps.
pub fn monotonic_seconds() -> f64 {
    let mut now = MaybeUninit::<timespec>::zeroed();
    // SAFETY: the kernel writes one timespec to this address; zero is a valid one if it does not.
    let now = unsafe {
        libc::syscall(libc::SYS_clock_gettime, c_long::from(libc::CLOCK_MONOTONIC), now.as_mut_ptr());
        now.assume_init()
    };
    now.tv_sec as f64 + now.tv_nsec as f64 / 1e9
}
