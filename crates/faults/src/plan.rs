//! The plan: which calls fail, how, and when.

use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::sync::{LazyLock, Mutex};

use libc::c_int;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::clock::monotonic_seconds;

/// The program's exit code if the plan is invalid.
const INVALID_PLAN_EXIT_CODE: i32 = 99;
/// The number of descriptors, from 0, whose kind is recorded.
const MAX_DESCRIPTORS: usize = 65536;
/// The `FROM-TO` of a fault without one: from the start to later than any run.
const DEFAULT_INTERVAL: &str = "0-1e9";

/// A function of the C library that can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    Connect,
    Socket,
    Accept,
    Recv,
    Send,
    /// `epoll_wait`.
    Wait,
    /// `write` to a file.
    Write,
    /// `fsync` and `fdatasync`.
    Sync,
    /// `clock_gettime` of the wall clock.
    Clock,
}

/// How a descriptor was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Kind {
    Other = 0,
    Connected = 1,
    Accepted = 2,
}

/// How a call fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call fails with this error number.
    Error(c_int),
    /// The call transfers at most one byte.
    Short,
    /// The first call on a descriptor transfers at most five bytes, and later calls fail with `EAGAIN`.
    Stall,
    /// The wall clock is stepped by this many seconds.
    Step(i64),
}

/// A fault and the calls to which it applies.
#[derive(Debug)]
struct PlannedFault {
    call: Call,
    /// The kind of descriptors to which the fault applies; all if `None`.
    kind: Option<Kind>,
    fault: Fault,
    /// The fault happens at every n-th call.
    every: u64,
    /// The probability of the fault in percent; replaces `every`.
    percent: Option<f64>,
    /// When the fault begins, in seconds since the program's start.
    from_s: f64,
    /// When the fault ends, in seconds since the program's start.
    to_s: f64,
    /// The number of calls so far to which the fault applied, without those decided by `percent`.
    calls: AtomicU64,
}

/// All faults of this process.
pub struct Plan {
    faults: Vec<PlannedFault>,
    random: Mutex<Pcg64Mcg>,
    start_s: f64,
    /// The [`Kind`] of each descriptor.
    kinds: Vec<AtomicU8>,
    /// For each descriptor, 1 once it has stalled.
    stalled: Vec<AtomicU8>,
}

static PLAN: LazyLock<Plan> = LazyLock::new(Plan::from_environment);

/// The plan of this process.
pub fn plan() -> &'static Plan {
    &PLAN
}

impl Plan {
    fn from_environment() -> Self {
        let text = std::env::var("SHOREWHARF_FAULTS").unwrap_or_default();
        let seed =
            std::env::var("SHOREWHARF_FAULTS_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1);
        let faults = text.split(';').filter(|fault| !fault.is_empty()).map(|fault| {
            parse(fault).unwrap_or_else(|| {
                eprintln!(
                    "SHOREWHARF_FAULTS: '{fault}' is not of the form CALL[:KIND]=FAULT[/EVERY][%PERCENT][@FROM-TO]"
                );
                std::process::exit(INVALID_PLAN_EXIT_CODE)
            })
        });
        let per_descriptor = || (0..MAX_DESCRIPTORS).map(|_| AtomicU8::new(0)).collect();
        Plan {
            faults: faults.collect(),
            random: Mutex::new(Pcg64Mcg::seed_from_u64(seed)),
            start_s: monotonic_seconds(),
            kinds: per_descriptor(),
            stalled: per_descriptor(),
        }
    }

    /// Records how a descriptor was opened, and marks it as not stalled.
    pub fn record_kind(&self, fd: c_int, kind: Kind) {
        let index = fd as usize;
        if let (Some(recorded), Some(stalled)) = (self.kinds.get(index), self.stalled.get(index)) {
            recorded.store(kind as u8, Ordering::Relaxed);
            stalled.store(0, Ordering::Relaxed);
        }
    }

    /// Marks a descriptor as stalled, and returns whether it was stalled before.
    pub fn mark_stalled(&self, fd: c_int) -> bool {
        self.stalled.get(fd as usize).is_some_and(|stalled| stalled.swap(1, Ordering::Relaxed) == 1)
    }

    /// The fault of this call on this descriptor, if one happens.
    pub fn fault(&self, call: Call, fd: c_int) -> Option<Fault> {
        let kind = self.kinds.get(fd as usize).map_or(0, |kind| kind.load(Ordering::Relaxed));
        let applies = |planned: &&PlannedFault| {
            planned.call == call && planned.kind.is_none_or(|wanted| wanted as u8 == kind)
        };
        let mut applicable = self.faults.iter().filter(applies);
        applicable.find(|planned| self.happens(planned)).map(|planned| planned.fault)
    }

    /// The sum of the wall clock's steps so far, in seconds.
    pub fn clock_step(&self) -> i64 {
        let now_s = monotonic_seconds() - self.start_s;
        let steps =
            self.faults.iter().filter(|planned| planned.call == Call::Clock && now_s >= planned.from_s);
        let seconds = |planned: &PlannedFault| match planned.fault {
            Fault::Step(seconds) => Some(seconds),
            _ => None,
        };
        steps.filter_map(seconds).sum()
    }

    /// Whether a fault that applies to the present call happens at it.
    fn happens(&self, planned: &PlannedFault) -> bool {
        let now_s = monotonic_seconds() - self.start_s;
        if now_s < planned.from_s || now_s >= planned.to_s {
            return false;
        }
        if let Some(percent) = planned.percent {
            // The lock is poisoned only if another thread has panicked.
            let Ok(mut random) = self.random.lock() else { return false };
            return random.random_range(0.0..100.0) < percent;
        }
        (planned.calls.fetch_add(1, Ordering::Relaxed) + 1).is_multiple_of(planned.every)
    }
}

/// Parses `CALL[:KIND]=FAULT[/EVERY][%PERCENT][@FROM-TO]`; `None` if the text has another form.
fn parse(text: &str) -> Option<PlannedFault> {
    let (call, fault) = text.split_once('=')?;
    let (call, kind) = match call.split_once(':') {
        Some((call, "connected")) => (call, Some(Kind::Connected)),
        Some((call, "accepted")) => (call, Some(Kind::Accepted)),
        Some(_) => return None,
        None => (call, None),
    };
    let call = parse_call(call)?;
    let (fault, interval) = fault.split_once('@').unwrap_or((fault, DEFAULT_INTERVAL));
    let (from_s, to_s) = interval.split_once('-')?;
    let (fault, percent) = match fault.split_once('%') {
        Some((fault, percent)) => (fault, Some(percent.parse().ok()?)),
        None => (fault, None),
    };
    let (fault, every) = match fault.split_once('/') {
        Some((fault, every)) => (fault, every.parse().ok().filter(|every| *every > 0)?),
        None => (fault, 1),
    };
    let (from_s, to_s) = (from_s.parse().ok()?, to_s.parse().ok()?);
    let calls = AtomicU64::new(0);
    Some(PlannedFault { call, kind, fault: parse_fault(call, fault)?, every, percent, from_s, to_s, calls })
}

fn parse_call(text: &str) -> Option<Call> {
    Some(match text {
        "connect" => Call::Connect,
        "socket" => Call::Socket,
        "accept" => Call::Accept,
        "recv" => Call::Recv,
        "send" => Call::Send,
        "wait" => Call::Wait,
        "write" => Call::Write,
        "sync" => Call::Sync,
        "clock" => Call::Clock,
        _ => return None,
    })
}

fn parse_fault(call: Call, text: &str) -> Option<Fault> {
    if call == Call::Clock {
        return text.parse().ok().map(Fault::Step);
    }
    Some(match text {
        "short" => Fault::Short,
        "stall" => Fault::Stall,
        "EADDRNOTAVAIL" => Fault::Error(libc::EADDRNOTAVAIL),
        "ECONNABORTED" => Fault::Error(libc::ECONNABORTED),
        "EHOSTUNREACH" => Fault::Error(libc::EHOSTUNREACH),
        "EINTR" => Fault::Error(libc::EINTR),
        "EIO" => Fault::Error(libc::EIO),
        "EMFILE" => Fault::Error(libc::EMFILE),
        "ENETUNREACH" => Fault::Error(libc::ENETUNREACH),
        "ENFILE" => Fault::Error(libc::ENFILE),
        "ENOBUFS" => Fault::Error(libc::ENOBUFS),
        "ENOMEM" => Fault::Error(libc::ENOMEM),
        "ENOSPC" => Fault::Error(libc::ENOSPC),
        "ETIMEDOUT" => Fault::Error(libc::ETIMEDOUT),
        _ => return None,
    })
}
