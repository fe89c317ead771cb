//! The readiness of a connection, as reported by poll.

use mio::event::Event;

/// The operations for which a connection is ready.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Readiness {
    /// Data can be read.
    pub is_readable: bool,
    /// Data can be written, or connecting has failed.
    pub is_writable: bool,
    /// The peer has closed its side or the connection has failed; reading to the end shows which.
    pub is_closed: bool,
}

impl Readiness {
    /// Makes a connection read, in case there is input that poll has not reported yet.
    pub const READ: Readiness = Readiness { is_readable: true, is_writable: false, is_closed: false };
}

impl From<&Event> for Readiness {
    fn from(event: &Event) -> Self {
        let is_closed = event.is_read_closed() || event.is_error();
        Readiness {
            is_readable: event.is_readable() || is_closed,
            is_writable: event.is_writable() || event.is_error(),
            is_closed,
        }
    }
}
