//! Codec of the simulator's wire: frames to events, actions to frames. No decisions.

use std::sync::Arc;

use shorewharf_decisions::interface::*;
use thiserror::Error;

/// The largest frame that is read.
pub const MAX_FRAME: usize = 256 << 20;
const ENTRY_BYTES: usize = 23;

/// What is wrong with a frame, and where (bytes from the start of the frame's body).
#[derive(Debug, Error, PartialEq, Eq)]
pub enum WireError {
    /// The record or the frame ends too early.
    #[error("offset {0}: truncated, {1} more bytes wanted")]
    Truncated(usize, usize),
    /// A record code that is not known.
    #[error("offset {0}: unknown event code {1}")]
    UnknownCode(usize, u16),
    /// A value out of range.
    #[error("offset {0}: bad value {1} for {2}")]
    BadValue(usize, u64, &'static str),
    /// An update names a list that has not come.
    #[error("offset {0}: list {1} has not been sent")]
    UnknownList(usize, u8),
    /// Bytes left behind the last record.
    #[error("offset {0}: {1} bytes behind the last record")]
    Trailing(usize, usize),
    /// An event that no `Select` goes before.
    #[error("offset {0}: no instance selected")]
    NoInstance(usize),
    /// A frame over [`MAX_FRAME`].
    #[error("offset 0: frame of {0} bytes is over the limit")]
    Oversize(usize),
}

/// One decoded record that concerns an instance.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// An instance starts, with its seed and settings text.
    Attach(u64, Vec<u8>),
    /// The instance dies.
    Shutdown,
    /// Something for its module.
    Event(Event),
}

/// A decoded batch: the clock, and records with their instances in order of arrival.
#[derive(Debug, PartialEq)]
pub struct Batch {
    /// The clock, seconds.
    pub now: f64,
    /// Instance and record.
    pub records: Vec<(u16, Record)>,
}

/// Decodes batches; keeps the server lists that travel once for a process.
#[derive(Debug, Default)]
pub struct Decoder {
    lists: [Option<Arc<[ServerEntry]>>; 16],
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Reader<'a> {
    fn take(&mut self, n: usize) -> Result<&'a [u8], WireError> {
        let left = self.bytes.len() - self.at;
        if n > left {
            return Err(WireError::Truncated(self.at, n - left));
        }
        self.at += n;
        Ok(&self.bytes[self.at - n..self.at])
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], WireError> {
        Ok(self.take(N)?.try_into().expect("take gives N bytes"))
    }

    fn u8(&mut self) -> Result<u8, WireError> {
        Ok(self.array::<1>()?[0])
    }

    fn u16(&mut self) -> Result<u16, WireError> {
        Ok(u16::from_le_bytes(self.array()?))
    }

    fn u32(&mut self) -> Result<u32, WireError> {
        Ok(u32::from_le_bytes(self.array()?))
    }

    fn u64(&mut self) -> Result<u64, WireError> {
        Ok(u64::from_le_bytes(self.array()?))
    }

    fn f32(&mut self) -> Result<f64, WireError> {
        Ok(f32::from_le_bytes(self.array()?).into())
    }

    fn f64(&mut self) -> Result<f64, WireError> {
        Ok(f64::from_le_bytes(self.array()?))
    }

    fn server(&mut self) -> Result<ServerId, WireError> {
        let addr = u32::from_be_bytes(self.array()?);
        Ok(ServerId(u64::from(addr) << 16 | u64::from(self.u16()?)))
    }

    fn outcome(&mut self) -> Result<Outcome, WireError> {
        let at = self.at;
        Ok(match self.u16()? {
            200 => Outcome::Ok,
            500 => Outcome::Error,
            503 => Outcome::Rejected,
            504 => Outcome::TimedOut,
            502 => Outcome::ConnectFailed,
            598 => Outcome::Reset,
            499 => Outcome::Cancelled,
            410 => Outcome::NotSent,
            other => return Err(WireError::BadValue(at, other.into(), "outcome")),
        })
    }

    fn report(&mut self, column: Option<usize>) -> Result<Option<f64>, WireError> {
        let n = usize::from(self.u8()?);
        let mut found = None;
        for i in 0..n {
            let value = self.f32()?;
            if column == Some(i) {
                found = Some(value);
            }
        }
        Ok(found)
    }

    fn request(&mut self) -> Result<Request, WireError> {
        let id = RequestId(self.u32()?);
        let class = usize::from(self.u16()?);
        let tenant = self.u32()? as usize;
        let key = self.u64()?;
        let deadline = self.f64()?;
        let hint = self.f64()?;
        let group = self.u64()?;
        let marks = self.u8()?;
        let load = (marks & 1 != 0).then_some(hint);
        Ok(Request {
            id,
            class,
            tenant,
            key,
            deadline,
            load,
            group,
            is_mid_flow: marks & 8 != 0,
            is_returning: marks & 18 != 0,
        })
    }

    fn entry(&mut self) -> Result<ServerEntry, WireError> {
        let server = self.server()?;
        let zone = self.u8()?.into();
        self.u8()?;
        let cell = self.u16()?.into();
        let at = self.at;
        let stage = match self.u8()? {
            0 => ServerState::Draining,
            1 => ServerState::Ready,
            2 => ServerState::Removed,
            other => return Err(WireError::BadValue(at, other.into(), "stage_state")),
        };
        Ok(ServerEntry { server, zone, cell, state: stage, weight: self.f32()?, started_at: self.f64()? })
    }
}

impl Decoder {
    /// Decodes a frame's body (all behind its length field). `column` tells for an instance which value
    /// of a load report is the load over capacity.
    pub fn batch(&mut self, body: &[u8], column: impl Fn(u16) -> Option<usize>) -> Result<Batch, WireError> {
        let mut r = Reader { bytes: body, at: 0 };
        let now = r.f64()?;
        if !now.is_finite() {
            return Err(WireError::BadValue(0, now.to_bits(), "clock"));
        }
        let count = r.u32()?;
        let mut records = Vec::new();
        let mut instance = None;
        for _ in 0..count {
            let at = r.at;
            let code = r.u16()?;
            match code {
                1130 => instance = Some(r.u16()?),
                1100 => self.list(&mut r)?,
                _ => {
                    let i = instance.ok_or(WireError::NoInstance(at));
                    let record = self.record(&mut r, code, at, i.as_ref().ok().and_then(|&i| column(i)))?;
                    records.push((i?, record));
                }
            }
        }
        match body.len() - r.at {
            0 => Ok(Batch { now, records }),
            left => Err(WireError::Trailing(r.at, left)),
        }
    }

    fn list(&mut self, r: &mut Reader) -> Result<(), WireError> {
        let at = r.at;
        let slot = usize::from(r.u8()?);
        if slot >= self.lists.len() {
            return Err(WireError::BadValue(at, slot as u64, "slot"));
        }
        let n = r.u32()? as usize;
        let left = r.bytes.len() - r.at;
        if n > left / ENTRY_BYTES {
            return Err(WireError::Truncated(r.at, n.saturating_mul(ENTRY_BYTES) - left));
        }
        let entries = (0..n).map(|_| r.entry()).collect::<Result<Vec<_>, _>>()?;
        self.lists[slot] = Some(entries.into());
        Ok(())
    }

    fn record(
        &self,
        r: &mut Reader,
        code: u16,
        at: usize,
        column: Option<usize>,
    ) -> Result<Record, WireError> {
        Ok(Record::Event(match code {
            1000 => {
                let seed = r.u64()?;
                let n = r.u32()? as usize;
                return Ok(Record::Attach(seed, r.take(n)?.to_vec()));
            }
            1090 => return Ok(Record::Shutdown),
            1010 => self.update(r)?,
            1020 => Event::RequestReceived(r.request()?),
            1110 => Event::ConnectionRestored(r.request()?, r.server()?),
            1030 => {
                let request = RequestId(r.u32()?);
                r.f64()?;
                let attempt = r.u8()?.into();
                r.server()?;
                Event::Established { request, attempt }
            }
            1120 => {
                let request = RequestId(r.u32()?);
                r.u8()?;
                let level = r.f32()?;
                let server = r.server()?;
                let at = r.at;
                match r.u8()? {
                    1 => Event::LoadChanged { request, load: level / 1e6 },
                    2 => Event::MessageDelay { server, delay: level / 1e3 },
                    other => return Err(WireError::BadValue(at, other.into(), "what")),
                }
            }
            1040 => {
                let (request, server) = (RequestId(r.u32()?), r.server()?);
                let (complete, attempt) = (r.u8()? != 0, r.u8()?.into());
                let outcome = r.outcome()?;
                r.f64()?;
                let load_ratio = r.report(column)?;
                Event::AttemptEnded { request, server, attempt, outcome, is_answered: complete, load_ratio }
            }
            1050 => Event::ClientLeft(RequestId(r.u32()?)),
            1060 => Event::TimerFired(r.u64()?),
            1070 => {
                let (server, outcome) = (r.server()?, r.outcome()?);
                r.f64()?;
                Event::ProbeEnded { server, outcome, load_ratio: r.report(column)? }
            }
            1080 => {
                // Messages between proxies are not part of this design; read past them.
                r.u16()?;
                let n = r.u16()?.into();
                r.take(n)?;
                Event::TimerFired(u64::MAX)
            }
            other => return Err(WireError::UnknownCode(at, other)),
        }))
    }

    fn update(&self, r: &mut Reader) -> Result<Event, WireError> {
        r.u64()?;
        let at = r.at;
        let (mode, slot) = (r.u8()?, r.u8()?);
        if mode == 3 {
            return Ok(Event::DiscoveryFailed);
        }
        if mode > 3 {
            return Err(WireError::BadValue(at, mode.into(), "mode"));
        }
        let list = self.lists.get(usize::from(slot)).and_then(Option::as_ref);
        let entries = Arc::clone(list.ok_or(WireError::UnknownList(at + 1, slot))?);
        Ok(Event::EndpointList { is_complete: mode != 0, is_cached: mode == 2, entries })
    }
}

/// Collects the records of a reply.
#[derive(Debug, Default)]
pub struct Encoder {
    body: Vec<u8>,
    count: u32,
}

fn short_text(text: &str) -> &[u8] {
    let mut end = text.len().min(usize::from(u16::MAX));
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text.as_bytes()[..end]
}

impl Encoder {
    fn open(&mut self, code: u16) -> &mut Self {
        self.count += 1;
        self.put(&code.to_le_bytes())
    }

    fn put(&mut self, bytes: &[u8]) -> &mut Self {
        self.body.extend_from_slice(bytes);
        self
    }

    fn server(&mut self, id: ServerId) -> &mut Self {
        self.put(&((id.0 >> 16) as u32).to_be_bytes()).put(&(id.0 as u16).to_le_bytes())
    }

    fn text(&mut self, text: &str) -> &mut Self {
        let bytes = short_text(text);
        self.put(&(bytes.len() as u16).to_le_bytes()).put(bytes)
    }

    /// Names the instance of the actions that follow.
    pub fn instance(&mut self, i: u16) {
        self.open(1130).put(&i.to_le_bytes());
    }

    /// Declares that the decision code failed.
    pub fn fault(&mut self, reason: &str) {
        self.open(1090).text(reason);
    }

    /// Adds an action.
    pub fn action(&mut self, action: &Action) {
        match action {
            Action::BeginAttempt { request, server, timeout } => {
                self.open(1000).put(&request.0.to_le_bytes()).server(*server).put(&timeout.to_le_bytes())
            }
            Action::Reject { request, retry_after } => {
                self.open(1010).put(&request.0.to_le_bytes()).put(&retry_after.to_le_bytes())
            }
            Action::Fail(request) => self.open(1020).put(&request.0.to_le_bytes()),
            Action::CancelAttempt { request, attempt } => {
                self.open(1030).put(&request.0.to_le_bytes()).put(&[*attempt as u8])
            }
            Action::SetTimer { after, token } => {
                self.open(1040).put(&after.to_le_bytes()).put(&token.to_le_bytes())
            }
            Action::Probe(server) => self.open(1050).server(*server),
            Action::Log(text) => self.open(1080).text(text),
            Action::Subscribe => self.open(1100).put(&[1]),
            Action::Migrate(request) => self.open(1120).put(&request.0.to_le_bytes()),
        };
    }

    /// The finished frame.
    pub fn finish(self) -> Vec<u8> {
        let mut frame = Vec::with_capacity(self.body.len() + 8);
        frame.extend_from_slice(&(self.body.len() as u32 + 4).to_le_bytes());
        frame.extend_from_slice(&self.count.to_le_bytes());
        frame.extend_from_slice(&self.body);
        frame
    }
}
