//! The monotonic clock, read directly from the kernel because this library replaces the C library's `clock_gettime`.

use std::mem::MaybeUninit;

use libc::{c_long, timespec};

/// The time of the monotonic clock in seconds. Plans don't step this clock.
pub fn monotonic_seconds() -> f64 {
    let mut now = MaybeUninit::<timespec>::zeroed();
    // SAFETY: the kernel writes at most one timespec to this address; if it writes none, all zeros are a valid timespec.
    let now = unsafe {
        libc::syscall(libc::SYS_clock_gettime, c_long::from(libc::CLOCK_MONOTONIC), now.as_mut_ptr());
        now.assume_init()
    };
    now.tv_sec as f64 + now.tv_nsec as f64 / 1e9
}
