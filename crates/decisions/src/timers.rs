//! The timers of an instance and the tokens that identify them.

use crate::interface::RequestId;

/// Time between two runs of housekeeping, which decays counts and lets servers recover.
pub(crate) const HOUSEKEEPING_PERIOD_SECONDS: f64 = 1.0;

const KIND_BITS: u64 = !0xffff_ffff;
const HOUSEKEEPING: u64 = 1 << 40;
const SUBSCRIBE: u64 = 2 << 40;
const DEFERRED_REQUESTS: u64 = 3 << 40;
const DEADLINE: u64 = 4 << 40;
const PENDING_PROBES: u64 = 5 << 40;

/// What a timer was set for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// Periodic decay and recovery.
    Housekeeping,
    /// The next call to discovery.
    Subscribe,
    /// Deferred requests are placed again.
    DeferredRequests,
    /// A request's deadline is near.
    Deadline(RequestId),
    /// Requests that wait for probes are placed again.
    PendingProbes,
}

impl Timer {
    /// The token that identifies this timer in [`Action::SetTimer`](crate::interface::Action::SetTimer).
    pub fn token(self) -> u64 {
        match self {
            Timer::Housekeeping => HOUSEKEEPING,
            Timer::Subscribe => SUBSCRIBE,
            Timer::DeferredRequests => DEFERRED_REQUESTS,
            Timer::Deadline(request) => DEADLINE | u64::from(request.0),
            Timer::PendingProbes => PENDING_PROBES,
        }
    }

    /// The timer that a token identifies; `None` for a token that does not belong to a timer of an instance.
    pub fn from_token(token: u64) -> Option<Timer> {
        match token & KIND_BITS {
            HOUSEKEEPING => Some(Timer::Housekeeping),
            SUBSCRIBE => Some(Timer::Subscribe),
            DEFERRED_REQUESTS => Some(Timer::DeferredRequests),
            DEADLINE => Some(Timer::Deadline(RequestId(token as u32))),
            PENDING_PROBES => Some(Timer::PendingProbes),
            _ => None,
        }
    }
}
