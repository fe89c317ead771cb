//! Encodes actions as the records of a reply.

use shorewharf_decisions::interface::{Action, RequestId, ServerId};

use crate::codes::{self, action};

/// Size in bytes of the fields before the records of a frame: its length and the number of records.
const HEADER_BYTES: usize = 8;
/// Kind of the subscription that a [`action::SUBSCRIBE`] record requests: one that stays in force.
const PERSISTENT_SUBSCRIPTION: u8 = 1;

/// Encodes the records of a reply.
#[derive(Debug, Default)]
pub struct Encoder {
    records: Vec<u8>,
    count: u32,
}

/// Returns as much of a text as its 16-bit length field allows, cut between two characters.
fn truncated(text: &str) -> &str {
    let mut end = text.len().min(usize::from(u16::MAX));
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}

impl Encoder {
    fn begin(&mut self, code: u16) -> &mut Self {
        self.count += 1;
        self.bytes(&code.to_le_bytes())
    }

    fn bytes(&mut self, bytes: &[u8]) -> &mut Self {
        self.records.extend_from_slice(bytes);
        self
    }

    fn f64(&mut self, value: f64) -> &mut Self {
        self.bytes(&value.to_le_bytes())
    }

    fn request(&mut self, id: RequestId) -> &mut Self {
        self.bytes(&id.0.to_le_bytes())
    }

    fn server(&mut self, id: ServerId) -> &mut Self {
        let (address, port) = ((id.0 >> 16) as u32, id.0 as u16);
        self.bytes(&address.to_be_bytes()).bytes(&port.to_le_bytes())
    }

    fn text(&mut self, text: &str) -> &mut Self {
        let text = truncated(text);
        self.bytes(&(text.len() as u16).to_le_bytes()).bytes(text.as_bytes())
    }

    /// Adds a record that selects the instance for the records after it.
    pub fn select_instance(&mut self, instance: u16) {
        self.begin(codes::SELECT_INSTANCE).bytes(&instance.to_le_bytes());
    }

    /// Adds a record that the selected instance could not handle a record, with the reason.
    pub fn fault(&mut self, reason: &str) {
        self.begin(action::FAULT).text(reason);
    }

    /// Adds the record of an action of the selected instance.
    pub fn action(&mut self, action: &Action) {
        match action {
            Action::BeginAttempt { request, server, timeout } => {
                self.begin(action::BEGIN_ATTEMPT).request(*request).server(*server).f64(*timeout)
            }
            Action::Reject { request, retry_after } => {
                self.begin(action::REJECT).request(*request).f64(*retry_after)
            }
            Action::Fail(request) => self.begin(action::FAIL).request(*request),
            Action::CancelAttempt { request, attempt } => {
                self.begin(action::CANCEL_ATTEMPT).request(*request).bytes(&[*attempt as u8])
            }
            Action::SetTimer { after, token } => {
                self.begin(action::SET_TIMER).f64(*after).bytes(&token.to_le_bytes())
            }
            Action::Probe(server) => self.begin(action::PROBE).server(*server),
            Action::Log(text) => self.begin(action::LOG).text(text),
            Action::Subscribe => self.begin(action::SUBSCRIBE).bytes(&[PERSISTENT_SUBSCRIPTION]),
            Action::Migrate(request) => self.begin(action::MIGRATE).request(*request),
            // The simulator has no record for it.
            Action::RecordSlowStart(_) => self,
        };
    }

    /// Returns the complete frame, including its length field.
    pub fn finish(self) -> Vec<u8> {
        let length = (size_of_val(&self.count) + self.records.len()) as u32;
        let mut frame = Vec::with_capacity(HEADER_BYTES + self.records.len());
        frame.extend_from_slice(&length.to_le_bytes());
        frame.extend_from_slice(&self.count.to_le_bytes());
        frame.extend_from_slice(&self.records);
        frame
    }
}
