//! The codes of the simulator's protocol.

use shorewharf_decisions::interface::{Outcome, ServerState};

/// Code of the record that selects the instance for the records after it, in both directions.
pub(crate) const SELECT_INSTANCE: u16 = 1130;

/// Codes of the records that the simulator sends.
pub(crate) mod event {
    pub const ATTACH: u16 = 1000;
    pub const ENDPOINT_UPDATE: u16 = 1010;
    pub const REQUEST: u16 = 1020;
    pub const ESTABLISHED: u16 = 1030;
    pub const ATTEMPT_ENDED: u16 = 1040;
    pub const CLIENT_LEFT: u16 = 1050;
    pub const TIMER: u16 = 1060;
    pub const PROBE_ENDED: u16 = 1070;
    pub const PEER_MESSAGE: u16 = 1080;
    pub const SHUTDOWN: u16 = 1090;
    pub const SERVER_LIST: u16 = 1100;
    pub const OPEN_CONNECTION: u16 = 1110;
    pub const LEVEL_CHANGED: u16 = 1120;
}

/// Codes of the records in a reply.
pub(crate) mod action {
    pub const BEGIN_ATTEMPT: u16 = 1000;
    pub const REJECT: u16 = 1010;
    pub const FAIL: u16 = 1020;
    pub const CANCEL_ATTEMPT: u16 = 1030;
    pub const SET_TIMER: u16 = 1040;
    pub const PROBE: u16 = 1050;
    pub const LOG: u16 = 1080;
    pub const FAULT: u16 = 1090;
    pub const SUBSCRIBE: u16 = 1100;
    pub const MIGRATE: u16 = 1120;
}

/// Modes of an endpoint update: changes to the list, the complete list, or a failure of discovery.
pub(crate) mod update_mode {
    pub const CHANGES: u8 = 0;
    pub const COMPLETE: u8 = 1;
    pub const COMPLETE_FROM_CACHE: u8 = 2;
    pub const DISCOVERY_FAILED: u8 = 3;
}

/// Kinds of values in a record of a changed level.
pub(crate) mod level {
    pub const CONNECTION_LOAD: u8 = 1;
    pub const MESSAGE_DELAY: u8 = 2;
}

/// Flags of a request.
pub(crate) mod request_flag {
    pub const HAS_LOAD: u8 = 1;
    pub const MID_FLOW: u8 = 8;
    /// Either of the two flags of a client that reconnects or retries.
    pub const RETURNING: u8 = 2 | 16;
}

/// Returns the outcome of an attempt or a probe for its code; `None` if the code is unknown.
pub(crate) fn outcome(code: u16) -> Option<Outcome> {
    Some(match code {
        200 => Outcome::Ok,
        410 => Outcome::NotSent,
        499 => Outcome::Cancelled,
        500 => Outcome::Error,
        502 => Outcome::ConnectFailed,
        503 => Outcome::Rejected,
        504 => Outcome::TimedOut,
        598 => Outcome::Reset,
        _ => return None,
    })
}

/// Returns the state of a listed server for its code; `None` if the code is unknown.
pub(crate) fn server_state(code: u8) -> Option<ServerState> {
    Some(match code {
        0 => ServerState::Draining,
        1 => ServerState::Ready,
        2 => ServerState::Removed,
        _ => return None,
    })
}
