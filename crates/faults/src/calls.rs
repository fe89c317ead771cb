//! The functions that replace those of the C library. Each has the same signature. It fails as planned, transfers less
//! as planned, or passes its arguments to the kernel unchanged.

use std::mem::MaybeUninit;

use libc::{c_int, c_long, c_void, clockid_t, epoll_event, size_t, sockaddr, socklen_t, ssize_t, timespec};

use crate::plan::{Call, Fault, Kind, plan};

/// The number of bytes that a socket sends before it stalls.
const STALL_AFTER_BYTES: size_t = 5;

/// The size of the kernel's signal mask in bytes.
const KERNEL_SIGSET_BYTES: c_long = 8;

/// Sets this thread's error number and returns the result of a failed call.
fn fail(error: c_int) -> c_int {
    // SAFETY: the C library returns a valid address of this thread's error number.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// The planned error of a call that either fails or succeeds, without partial transfers.
fn planned_error(call: Call, fd: c_int) -> Option<c_int> {
    match plan().fault(call, fd) {
        Some(Fault::Error(error)) => Some(error),
        _ => None,
    }
}

/// See connect(2).
///
/// # Safety
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, len: socklen_t) -> c_int {
    plan().record_kind(fd, Kind::Connected);
    if let Some(error) = planned_error(Call::Connect, fd) {
        return fail(error);
    }
    // SAFETY: passes the caller's arguments unchanged.
    unsafe { libc::syscall(libc::SYS_connect, c_long::from(fd), address, c_long::from(len)) as c_int }
}

/// See socket(2).
///
/// # Safety
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if let Some(error) = planned_error(Call::Socket, -1) {
        return fail(error);
    }
    let (domain, kind, protocol) = (c_long::from(domain), c_long::from(kind), c_long::from(protocol));
    // SAFETY: the arguments are numbers, not addresses.
    let fd = unsafe { libc::syscall(libc::SYS_socket, domain, kind, protocol) as c_int };
    plan().record_kind(fd, Kind::Other);
    fd
}

/// See accept4(2).
///
/// # Safety
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    len: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if let Some(error) = planned_error(Call::Accept, fd) {
        return fail(error);
    }
    // SAFETY: passes the caller's arguments unchanged.
    let accepted = unsafe {
        libc::syscall(libc::SYS_accept4, c_long::from(fd), address, len, c_long::from(flags)) as c_int
    };
    plan().record_kind(accepted, Kind::Accepted);
    accepted
}

/// See recv(2).
///
/// # Safety
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(fd: c_int, buffer: *mut c_void, len: size_t, flags: c_int) -> ssize_t {
    let len = match plan().fault(Call::Recv, fd) {
        Some(Fault::Error(error)) => return fail(error) as ssize_t,
        Some(Fault::Short) => len.min(1),
        _ => len,
    };
    let (no_address, no_length) = (std::ptr::null_mut::<c_void>(), std::ptr::null_mut::<c_void>());
    // SAFETY: passes the caller's buffer with at most the caller's length.
    unsafe {
        let (fd, flags) = (c_long::from(fd), c_long::from(flags));
        libc::syscall(libc::SYS_recvfrom, fd, buffer, len, flags, no_address, no_length) as ssize_t
    }
}

/// See send(2).
///
/// # Safety
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(fd: c_int, buffer: *const c_void, len: size_t, flags: c_int) -> ssize_t {
    let len = match plan().fault(Call::Send, fd) {
        Some(Fault::Error(error)) => return fail(error) as ssize_t,
        Some(Fault::Short) => len.min(1),
        Some(Fault::Stall) if plan().mark_stalled(fd) => return fail(libc::EAGAIN) as ssize_t,
        Some(Fault::Stall) => len.min(STALL_AFTER_BYTES),
        _ => len,
    };
    let (no_address, address_bytes) = (std::ptr::null::<c_void>(), 0 as c_long);
    // SAFETY: passes the caller's buffer with at most the caller's length.
    unsafe {
        let (fd, flags) = (c_long::from(fd), c_long::from(flags));
        libc::syscall(libc::SYS_sendto, fd, buffer, len, flags, no_address, address_bytes) as ssize_t
    }
}

/// See epoll_wait(2).
///
/// # Safety
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    fd: c_int,
    events: *mut epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    if let Some(error) = planned_error(Call::Wait, fd) {
        return fail(error);
    }
    let (no_mask, mask_bytes) = (std::ptr::null::<c_void>(), KERNEL_SIGSET_BYTES);
    // SAFETY: passes the caller's arguments unchanged, and no signal mask.
    unsafe {
        let (fd, max_events, timeout) = (c_long::from(fd), c_long::from(max_events), c_long::from(timeout));
        libc::syscall(libc::SYS_epoll_pwait, fd, events, max_events, timeout, no_mask, mask_bytes) as c_int
    }
}

/// Whether a descriptor refers to a regular file.
fn is_file(fd: c_int) -> bool {
    let mut stat = MaybeUninit::<libc::stat>::zeroed();
    // SAFETY: the C library writes at most one stat to this address; if it writes none, all zeros are a valid stat.
    let stat = unsafe {
        libc::fstat(fd, stat.as_mut_ptr());
        stat.assume_init()
    };
    stat.st_mode & libc::S_IFMT == libc::S_IFREG
}

/// See write(2). Only writes to regular files fail.
///
/// # Safety
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(fd: c_int, buffer: *const c_void, len: size_t) -> ssize_t {
    let fault = if fd > 2 && is_file(fd) { plan().fault(Call::Write, fd) } else { None };
    let len = match fault {
        Some(Fault::Error(error)) => return fail(error) as ssize_t,
        Some(Fault::Short) => len.min(1),
        _ => len,
    };
    // SAFETY: passes the caller's buffer with at most the caller's length.
    unsafe { libc::syscall(libc::SYS_write, c_long::from(fd), buffer, len) as ssize_t }
}

/// See fsync(2).
///
/// # Safety
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    if let Some(error) = planned_error(Call::Sync, fd) {
        return fail(error);
    }
    // SAFETY: the argument is a number, not an address.
    unsafe { libc::syscall(libc::SYS_fsync, c_long::from(fd)) as c_int }
}

/// See fdatasync(2).
///
/// # Safety
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fdatasync(fd: c_int) -> c_int {
    if let Some(error) = planned_error(Call::Sync, fd) {
        return fail(error);
    }
    // SAFETY: the argument is a number, not an address.
    unsafe { libc::syscall(libc::SYS_fdatasync, c_long::from(fd)) as c_int }
}

/// See clock_gettime(2). The plan's steps are added to the wall clock.
///
/// # Safety
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: passes the caller's arguments unchanged.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, c_long::from(clock), time) as c_int };
    let is_wall = clock == libc::CLOCK_REALTIME || clock == libc::CLOCK_REALTIME_COARSE;
    if result == 0 && is_wall {
        // SAFETY: the kernel has just written the caller's timespec.
        unsafe { (*time).tv_sec += plan().clock_step() };
    }
    result
}
