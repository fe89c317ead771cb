//! The plan: which calls fail, how, and when.

use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::sync::{LazyLock, Mutex};

use libc::c_int;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The program's exit code for a plan that can't be read.
const BAD_PLAN: i32 = 99;
/// Descriptors whose kind is remembered.
const DESCRIPTORS: usize = 65536;

/// A call that can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    Connect,
    Socket,
    Accept,
    Recv,
    Send,
    Wait,
    Write,
    Sync,
    Clock,
}

/// How a descriptor came to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Kind {
    Other = 0,
    Connected = 1,
    Accepted = 2,
}

/// What happens to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It fails with this error number.
    Error(c_int),
    /// It moves one byte at most.
    Short,
    /// It moves five bytes once, and then none.
    Stall,
    /// The wall clock is so many seconds off.
    Step(i64),
}

#[derive(Debug)]
struct Planned {
    call: Call,
    kind: Option<Kind>,
    fault: Fault,
    every: u64,
    percent: Option<f64>,
    from_s: f64,
    to_s: f64,
    calls: AtomicU64,
}

/// All faults of this process.
pub struct Plan {
    faults: Vec<Planned>,
    random: Mutex<Pcg64Mcg>,
    start_s: f64,
    kinds: Vec<AtomicU8>,
    stalled: Vec<AtomicU8>,
}

static PLAN: LazyLock<Plan> = LazyLock::new(Plan::from_environment);

/// The plan in force.
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
                eprintln!("SHOREWHARF_FAULTS: can't read '{fault}'");
                std::process::exit(BAD_PLAN)
            })
        });
        let flags = || (0..DESCRIPTORS).map(|_| AtomicU8::new(0)).collect();
        Plan {
            faults: faults.collect(),
            random: Mutex::new(Pcg64Mcg::seed_from_u64(seed)),
            start_s: crate::calls::monotonic_seconds(),
            kinds: flags(),
            stalled: flags(),
        }
    }

    /// Remembers how a descriptor came to be.
    pub fn note(&self, fd: c_int, kind: Kind) {
        let at = fd as usize;
        if let (Some(is), Some(stalled)) = (self.kinds.get(at), self.stalled.get(at)) {
            is.store(kind as u8, Ordering::Relaxed);
            stalled.store(0, Ordering::Relaxed);
        }
    }

    /// Whether a stalled descriptor has moved its bytes; from now on it has.
    pub fn has_stalled(&self, fd: c_int) -> bool {
        self.stalled.get(fd as usize).is_some_and(|stalled| stalled.swap(1, Ordering::Relaxed) == 1)
    }

    /// What happens to this call on this descriptor.
    pub fn fault(&self, call: Call, fd: c_int) -> Option<Fault> {
        let kind = self.kinds.get(fd as usize).map_or(0, |kind| kind.load(Ordering::Relaxed));
        let applies = |f: &&Planned| f.call == call && f.kind.is_none_or(|wanted| wanted as u8 == kind);
        self.faults.iter().filter(applies).find(|f| self.strikes(f)).map(|f| f.fault)
    }

    /// How many seconds the wall clock is off.
    pub fn clock_step(&self) -> i64 {
        let now = crate::calls::monotonic_seconds() - self.start_s;
        let steps = self.faults.iter().filter(|f| f.call == Call::Clock && now >= f.from_s);
        steps.filter_map(|f| if let Fault::Step(seconds) = f.fault { Some(seconds) } else { None }).sum()
    }

    fn strikes(&self, planned: &Planned) -> bool {
        let now = crate::calls::monotonic_seconds() - self.start_s;
        if now < planned.from_s || now >= planned.to_s {
            return false;
        }
        if let Some(percent) = planned.percent {
            // A poisoned lock means that this process panics already.
            let Ok(mut random) = self.random.lock() else { return false };
            return random.random_range(0.0..100.0) < percent;
        }
        (planned.calls.fetch_add(1, Ordering::Relaxed) + 1).is_multiple_of(planned.every)
    }
}

fn parse(text: &str) -> Option<Planned> {
    let (call, fault) = text.split_once('=')?;
    let (call, kind) = match call.split_once(':') {
        Some((call, "connected")) => (call, Some(Kind::Connected)),
        Some((call, "accepted")) => (call, Some(Kind::Accepted)),
        Some(_) => return None,
        None => (call, None),
    };
    let call = parse_call(call)?;
    let (fault, span) = fault.split_once('@').unwrap_or((fault, "0-1e9"));
    let (from_s, to_s) = span.split_once('-')?;
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
    Some(Planned { call, kind, fault: parse_fault(call, fault)?, every, percent, from_s, to_s, calls })
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
