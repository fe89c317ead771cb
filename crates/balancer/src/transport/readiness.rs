//! What poll reports of a connection.

use mio::event::Event;

/// What a connection is ready for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Readiness {
    /// Something can be read.
    pub is_readable: bool,
    /// Something can be written, or the connect has failed.
    pub is_writable: bool,
    /// The peer has closed its side or the connection broke: reading on leads to that.
    pub is_closed: bool,
}

impl Readiness {
    /// Something may be there to be read that poll has not reported yet.
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
