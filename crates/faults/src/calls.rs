//! The functions that take the place of the C library's. Each has that one's signature, and either fails by the plan or
//! goes to the kernel with its arguments as they are.

use std::mem::MaybeUninit;

use libc::{c_int, c_long, c_void, clockid_t, epoll_event, size_t, sockaddr, socklen_t, ssize_t, timespec};

use crate::plan::{Call, Fault, Kind, plan};

/// Bytes that a stalled socket sends before it takes no more.
const BEFORE_STALL: size_t = 5;

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

fn fail(error: c_int) -> c_int {
    // SAFETY: the C library's own address of this thread's error number.
    unsafe { *libc::__errno_location() = error };
    -1
}

fn error_of(call: Call, fd: c_int) -> Option<c_int> {
    match plan().fault(call, fd) {
        Some(Fault::Error(error)) => Some(error),
        _ => None,
    }
}

/// See connect(2).
///
/// # Safety
/// As for the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, len: socklen_t) -> c_int {
    plan().note(fd, Kind::Connected);
    if let Some(error) = error_of(Call::Connect, fd) {
        return fail(error);
    }
    // SAFETY: the caller's arguments, unchanged.
    unsafe { libc::syscall(libc::SYS_connect, c_long::from(fd), address, c_long::from(len)) as c_int }
}

/// See socket(2).
///
/// # Safety
/// As for the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if let Some(error) = error_of(Call::Socket, -1) {
        return fail(error);
    }
    let (domain, kind, protocol) = (c_long::from(domain), c_long::from(kind), c_long::from(protocol));
    // SAFETY: numbers only.
    let fd = unsafe { libc::syscall(libc::SYS_socket, domain, kind, protocol) as c_int };
    plan().note(fd, Kind::Other);
    fd
}

/// See accept4(2).
///
/// # Safety
/// As for the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    len: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if let Some(error) = error_of(Call::Accept, fd) {
        return fail(error);
    }
    // SAFETY: the caller's arguments, unchanged.
    let accepted = unsafe {
        libc::syscall(libc::SYS_accept4, c_long::from(fd), address, len, c_long::from(flags)) as c_int
    };
    plan().note(accepted, Kind::Accepted);
    accepted
}

/// See recv(2).
///
/// # Safety
/// As for the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(fd: c_int, buffer: *mut c_void, len: size_t, flags: c_int) -> ssize_t {
    let len = match plan().fault(Call::Recv, fd) {
        Some(Fault::Error(error)) => return fail(error) as ssize_t,
        Some(Fault::Short) => len.min(1),
        _ => len,
    };
    let (none, no_len) = (std::ptr::null_mut::<c_void>(), std::ptr::null_mut::<c_void>());
    // SAFETY: the caller's buffer, with no more of its length than the caller said.
    unsafe {
        let (fd, flags) = (c_long::from(fd), c_long::from(flags));
        libc::syscall(libc::SYS_recvfrom, fd, buffer, len, flags, none, no_len) as ssize_t
    }
}

/// See send(2).
///
/// # Safety
/// As for the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(fd: c_int, buffer: *const c_void, len: size_t, flags: c_int) -> ssize_t {
    let len = match plan().fault(Call::Send, fd) {
        Some(Fault::Error(error)) => return fail(error) as ssize_t,
        Some(Fault::Short) => len.min(1),
        Some(Fault::Stall) if plan().has_stalled(fd) => return fail(libc::EAGAIN) as ssize_t,
        Some(Fault::Stall) => len.min(BEFORE_STALL),
        _ => len,
    };
    let (none, no_len) = (std::ptr::null::<c_void>(), 0 as c_long);
    // SAFETY: the caller's buffer, with no more of its length than the caller said.
    unsafe {
        let (fd, flags) = (c_long::from(fd), c_long::from(flags));
        libc::syscall(libc::SYS_sendto, fd, buffer, len, flags, none, no_len) as ssize_t
    }
}

/// See epoll_wait(2).
///
/// # Safety
/// As for the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    fd: c_int,
    events: *mut epoll_event,
    most: c_int,
    timeout: c_int,
) -> c_int {
    if let Some(error) = error_of(Call::Wait, fd) {
        return fail(error);
    }
    let (none, no_len) = (std::ptr::null::<c_void>(), 8 as c_long);
    // SAFETY: the caller's arguments, and no signal mask.
    unsafe {
        let (fd, most, timeout) = (c_long::from(fd), c_long::from(most), c_long::from(timeout));
        libc::syscall(libc::SYS_epoll_pwait, fd, events, most, timeout, none, no_len) as c_int
    }
}

fn is_file(fd: c_int) -> bool {
    let mut stat = MaybeUninit::<libc::stat>::zeroed();
    // SAFETY: the C library writes one stat to this address; zero is a valid one if it does not.
    let stat = unsafe {
        libc::fstat(fd, stat.as_mut_ptr());
        stat.assume_init()
    };
    stat.st_mode & libc::S_IFMT == libc::S_IFREG
}

/// See write(2). Only writes to files fail.
///
/// # Safety
/// As for the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(fd: c_int, buffer: *const c_void, len: size_t) -> ssize_t {
    let fault = if fd > 2 && is_file(fd) { plan().fault(Call::Write, fd) } else { None };
    let len = match fault {
        Some(Fault::Error(error)) => return fail(error) as ssize_t,
        Some(Fault::Short) => len.min(1),
        _ => len,
    };
    // SAFETY: the caller's buffer, with no more of its length than the caller said.
    unsafe { libc::syscall(libc::SYS_write, c_long::from(fd), buffer, len) as ssize_t }
}

/// See fsync(2).
///
/// # Safety
/// As for the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    if let Some(error) = error_of(Call::Sync, fd) {
        return fail(error);
    }
    // SAFETY: a number only.
    unsafe { libc::syscall(libc::SYS_fsync, c_long::from(fd)) as c_int }
}

/// See fdatasync(2).
///
/// # Safety
/// As for the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fdatasync(fd: c_int) -> c_int {
    if let Some(error) = error_of(Call::Sync, fd) {
        return fail(error);
    }
    // SAFETY: a number only.
    unsafe { libc::syscall(libc::SYS_fdatasync, c_long::from(fd)) as c_int }
}

/// See clock_gettime(2). The wall clock is stepped by the plan.
///
/// # Safety
/// As for the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the caller's arguments, unchanged.
    let got = unsafe { libc::syscall(libc::SYS_clock_gettime, c_long::from(clock), time) as c_int };
    let is_wall = clock == libc::CLOCK_REALTIME || clock == libc::CLOCK_REALTIME_COARSE;
    if got == 0 && is_wall {
        // SAFETY: the kernel has just written the caller's timespec.
        unsafe { (*time).tv_sec += plan().clock_step() };
    }
    got
}
