//! Decodes batches of records to events.

use std::sync::Arc;

use shorewharf_decisions::interface::{Event, ServerEntry};

use crate::WireError;
use crate::codes::{self, event, level, update_mode};
use crate::reader::Reader;

/// Number of slots for server lists.
const LIST_SLOTS: usize = 16;
/// Size of a server's entry in a list, in bytes.
const SERVER_ENTRY_BYTES: usize = 23;
/// Loads are sent in millionths.
const MILLIONTHS_PER_UNIT: f64 = 1e6;
/// Message delays are sent in milliseconds.
const MILLISECONDS_PER_SECOND: f64 = 1e3;
/// A timer token that no instance uses.
const UNKNOWN_TIMER: u64 = u64::MAX;

/// A record that concerns one instance.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// The instance starts.
    Attach {
        /// Seed of its random number generator.
        seed: u64,
        /// JSON text of its settings.
        settings: Vec<u8>,
    },
    /// The instance shuts down.
    Shutdown,
    /// An event for the decisions of the instance.
    Event(Event),
}

/// A record together with the instance that it concerns.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceRecord {
    /// The instance.
    pub instance: u16,
    /// The record.
    pub record: Record,
}

/// A decoded batch.
#[derive(Debug, PartialEq)]
pub struct Batch {
    /// Time of the batch, in seconds.
    pub now: f64,
    /// The records, in the order in which they were sent.
    pub records: Vec<InstanceRecord>,
}

/// Decodes batches. Keeps the server lists, each of which is sent once for all instances.
#[derive(Debug, Default)]
pub struct Decoder {
    lists: [Option<Arc<[ServerEntry]>>; LIST_SLOTS],
}

impl Decoder {
    /// Decodes the body of a frame, which is everything after its length field. `load_column` returns, for an
    /// instance, the index of the value in a load report that is the load divided by the capacity.
    ///
    /// # Errors
    ///
    /// Fails if the body is not a well-formed batch. Nothing in the batch may be used then. That includes its
    /// server lists, some of which may already be stored, so the decoder must not be used again.
    pub fn decode(
        &mut self,
        body: &[u8],
        load_column: impl Fn(u16) -> Option<usize>,
    ) -> Result<Batch, WireError> {
        let mut reader = Reader::new(body);
        let now = reader.f64()?;
        if !now.is_finite() {
            return Err(WireError::InvalidValue { offset: 0, value: now.to_bits(), field: "clock" });
        }
        let count = reader.u32()?;
        let mut records = Vec::new();
        let mut selected = None;
        for _ in 0..count {
            let offset = reader.offset();
            let code = reader.u16()?;
            match code {
                codes::SELECT_INSTANCE => selected = Some(reader.u16()?),
                event::SERVER_LIST => self.read_list(&mut reader)?,
                _ => {
                    let record = self.read_record(&mut reader, code, selected.and_then(&load_column))?;
                    let instance = selected.ok_or(WireError::NoInstanceSelected { offset })?;
                    records.push(InstanceRecord { instance, record });
                }
            }
        }
        match reader.remaining() {
            0 => Ok(Batch { now, records }),
            count => Err(WireError::TrailingBytes { offset: reader.offset(), count }),
        }
    }

    fn read_list(&mut self, reader: &mut Reader) -> Result<(), WireError> {
        let offset = reader.offset();
        let slot = usize::from(reader.u8()?);
        if slot >= LIST_SLOTS {
            return Err(WireError::InvalidValue { offset, value: slot as u64, field: "slot" });
        }
        let count = reader.u32()? as usize;
        let (offset, remaining) = (reader.offset(), reader.remaining());
        if count > remaining / SERVER_ENTRY_BYTES {
            let missing = count.saturating_mul(SERVER_ENTRY_BYTES) - remaining;
            return Err(WireError::Truncated { offset, missing });
        }
        let entries = (0..count).map(|_| reader.server_entry()).collect::<Result<Vec<_>, _>>()?;
        self.lists[slot] = Some(entries.into());
        Ok(())
    }

    fn read_record(
        &self,
        reader: &mut Reader,
        code: u16,
        load_column: Option<usize>,
    ) -> Result<Record, WireError> {
        match code {
            event::ATTACH => {
                let seed = reader.u64()?;
                let length = reader.u32()? as usize;
                Ok(Record::Attach { seed, settings: reader.bytes(length)?.to_vec() })
            }
            event::SHUTDOWN => Ok(Record::Shutdown),
            _ => self.read_event(reader, code, load_column).map(Record::Event),
        }
    }

    fn read_event(
        &self,
        reader: &mut Reader,
        code: u16,
        load_column: Option<usize>,
    ) -> Result<Event, WireError> {
        let code_offset = reader.offset() - size_of::<u16>();
        match code {
            event::ENDPOINT_UPDATE => self.read_update(reader),
            event::REQUEST => Ok(Event::RequestReceived(reader.request()?)),
            event::OPEN_CONNECTION => Ok(Event::ConnectionRestored(reader.request()?, reader.server()?)),
            event::ESTABLISHED => read_established(reader),
            event::LEVEL_CHANGED => read_level(reader),
            event::ATTEMPT_ENDED => read_attempt_end(reader, load_column),
            event::CLIENT_LEFT => Ok(Event::ClientLeft(reader.request_id()?)),
            event::TIMER => Ok(Event::TimerFired(reader.u64()?)),
            event::PROBE_ENDED => read_probe_end(reader, load_column),
            event::PEER_MESSAGE => skip_peer_message(reader),
            _ => Err(WireError::UnknownCode { offset: code_offset, code }),
        }
    }

    fn read_update(&self, reader: &mut Reader) -> Result<Event, WireError> {
        let _version = reader.u64()?;
        let offset = reader.offset();
        let (mode, slot) = (reader.u8()?, reader.u8()?);
        let (is_complete, is_cached) = match mode {
            update_mode::CHANGES => (false, false),
            update_mode::COMPLETE => (true, false),
            update_mode::COMPLETE_FROM_CACHE => (true, true),
            update_mode::DISCOVERY_FAILED => return Ok(Event::DiscoveryFailed),
            _ => return Err(WireError::InvalidValue { offset, value: mode.into(), field: "mode" }),
        };
        let list = self.lists.get(usize::from(slot)).and_then(Option::as_ref);
        let entries = Arc::clone(list.ok_or(WireError::UnknownList { offset: offset + 1, slot })?);
        Ok(Event::EndpointList { is_complete, is_cached, entries })
    }
}

fn read_established(reader: &mut Reader) -> Result<Event, WireError> {
    let request = reader.request_id()?;
    let _setup_time = reader.f64()?;
    let attempt = reader.u8()?.into();
    let _server = reader.server()?;
    Ok(Event::Established { request, attempt })
}

fn read_level(reader: &mut Reader) -> Result<Event, WireError> {
    let request = reader.request_id()?;
    let _attempt = reader.u8()?;
    let value = reader.f32()?;
    let server = reader.server()?;
    let offset = reader.offset();
    match reader.u8()? {
        level::CONNECTION_LOAD => Ok(Event::LoadChanged { request, load: value / MILLIONTHS_PER_UNIT }),
        level::MESSAGE_DELAY => Ok(Event::MessageDelay { server, delay: value / MILLISECONDS_PER_SECOND }),
        other => Err(WireError::InvalidValue { offset, value: other.into(), field: "what" }),
    }
}

fn read_attempt_end(reader: &mut Reader, load_column: Option<usize>) -> Result<Event, WireError> {
    let (request, server) = (reader.request_id()?, reader.server()?);
    let is_answered = reader.u8()? != 0;
    let attempt = reader.u8()?.into();
    let outcome = reader.outcome()?;
    let _duration = reader.f64()?;
    let load_ratio = reader.load_report(load_column)?;
    Ok(Event::AttemptEnded { request, server, attempt, outcome, is_answered, load_ratio })
}

fn read_probe_end(reader: &mut Reader, load_column: Option<usize>) -> Result<Event, WireError> {
    let (server, outcome) = (reader.server()?, reader.outcome()?);
    let _duration = reader.f64()?;
    Ok(Event::ProbeEnded { server, outcome, load_ratio: reader.load_report(load_column)? })
}

/// Skips a message from another instance, because instances don't use such messages. It is decoded to the
/// event of an unknown timer, on which no instance acts.
fn skip_peer_message(reader: &mut Reader) -> Result<Event, WireError> {
    let _sender = reader.u16()?;
    let length = reader.u16()?.into();
    reader.bytes(length)?;
    Ok(Event::TimerFired(UNKNOWN_TIMER))
}
