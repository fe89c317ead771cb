//! Reads the fields of records from the body of a frame.

use shorewharf_decisions::interface::{Outcome, Request, RequestId, ServerEntry, ServerId};

use crate::WireError;
use crate::codes::{self, request_flag};

/// Reads the body of a frame from the start.
pub(crate) struct Reader<'a> {
    bytes: &'a [u8],
    offset: usize,
}

impl<'a> Reader<'a> {
    pub fn new(bytes: &'a [u8]) -> Self {
        Reader { bytes, offset: 0 }
    }

    /// Number of bytes that have been read.
    pub fn offset(&self) -> usize {
        self.offset
    }

    /// Number of bytes that have not been read.
    pub fn remaining(&self) -> usize {
        self.bytes.len() - self.offset
    }

    pub fn bytes(&mut self, count: usize) -> Result<&'a [u8], WireError> {
        let remaining = self.remaining();
        if count > remaining {
            return Err(WireError::Truncated { offset: self.offset, missing: count - remaining });
        }
        let start = self.offset;
        self.offset += count;
        Ok(&self.bytes[start..self.offset])
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], WireError> {
        Ok(self.bytes(N)?.try_into().expect("the slice has N bytes"))
    }

    pub fn u8(&mut self) -> Result<u8, WireError> {
        Ok(self.array::<1>()?[0])
    }

    pub fn u16(&mut self) -> Result<u16, WireError> {
        Ok(u16::from_le_bytes(self.array()?))
    }

    pub fn u32(&mut self) -> Result<u32, WireError> {
        Ok(u32::from_le_bytes(self.array()?))
    }

    pub fn u64(&mut self) -> Result<u64, WireError> {
        Ok(u64::from_le_bytes(self.array()?))
    }

    pub fn f32(&mut self) -> Result<f64, WireError> {
        Ok(f32::from_le_bytes(self.array()?).into())
    }

    pub fn f64(&mut self) -> Result<f64, WireError> {
        Ok(f64::from_le_bytes(self.array()?))
    }

    pub fn request_id(&mut self) -> Result<RequestId, WireError> {
        Ok(RequestId(self.u32()?))
    }

    /// Reads the id of a server, which consists of an IPv4 address in network byte order and a port.
    pub fn server(&mut self) -> Result<ServerId, WireError> {
        let address = u32::from_be_bytes(self.array()?);
        Ok(ServerId(u64::from(address) << 16 | u64::from(self.u16()?)))
    }

    pub fn outcome(&mut self) -> Result<Outcome, WireError> {
        let offset = self.offset;
        let code = self.u16()?;
        codes::outcome(code).ok_or(WireError::InvalidValue { offset, value: code.into(), field: "outcome" })
    }

    /// Reads a load report and returns its value in `load_column`, if it has that many columns.
    pub fn load_report(&mut self, load_column: Option<usize>) -> Result<Option<f64>, WireError> {
        let count = usize::from(self.u8()?);
        let mut load_ratio = None;
        for index in 0..count {
            let value = self.f32()?;
            if load_column == Some(index) {
                load_ratio = Some(value);
            }
        }
        Ok(load_ratio)
    }

    pub fn request(&mut self) -> Result<Request, WireError> {
        let id = self.request_id()?;
        let class = usize::from(self.u16()?);
        let tenant = self.u32()? as usize;
        let key = self.u64()?;
        let deadline = self.f64()?;
        let load = self.f64()?;
        let group = self.u64()?;
        let flags = self.u8()?;
        Ok(Request {
            id,
            class,
            tenant,
            key,
            deadline,
            load: (flags & request_flag::HAS_LOAD != 0).then_some(load),
            group,
            is_mid_flow: flags & request_flag::MID_FLOW != 0,
            is_returning: flags & request_flag::RETURNING != 0,
        })
    }

    pub fn server_entry(&mut self) -> Result<ServerEntry, WireError> {
        let server = self.server()?;
        let zone = self.u8()?.into();
        self.u8()?;
        let cell = self.u16()?.into();
        let offset = self.offset;
        let code = self.u8()?;
        let invalid_state = WireError::InvalidValue { offset, value: code.into(), field: "stage_state" };
        let state = codes::server_state(code).ok_or(invalid_state)?;
        Ok(ServerEntry { server, zone, cell, state, weight: self.f32()?, started_at: self.f64()? })
    }
}
