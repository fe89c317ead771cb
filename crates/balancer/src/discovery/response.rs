//! Parses the HTTP/1.1 response of a watch incrementally and passes on its body, which may use the chunked transfer coding.

use thiserror::Error;

use super::reader::ListError;

/// The maximum number of headers of a response.
const MAX_HEADERS: usize = 32;

/// The reason why a response can't be used as a watch, or why the watch has ended.
#[derive(Debug, Error)]
pub enum ResponseError {
    /// The status line or a header is malformed.
    #[error("malformed head of the HTTP response: {0}")]
    Malformed(httparse::Error),
    /// The status is not 200.
    #[error("HTTP status {0}, expected 200")]
    Status(u16),
    /// The size of a chunk is malformed.
    #[error("malformed chunk size in the HTTP response")]
    ChunkSize,
    /// A chunk is not followed by a line end.
    #[error("a chunk of the HTTP response is not followed by a line end")]
    ChunkEnd,
    /// The chunk of size 0, which ends the response, has been received.
    #[error("the discovery service ended the response")]
    Ended,
    /// The body is not an endpoint list.
    #[error(transparent)]
    List(#[from] ListError),
}

/// The part of the response that comes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The status line and the headers.
    Head,
    /// The size of a chunk.
    ChunkSize,
    /// The data of a chunk, of which this number of bytes is left.
    ChunkData(u64),
    /// The line end after a chunk.
    ChunkEnd,
    /// A body that is not chunked, which ends with the connection.
    PlainBody,
}

/// An incremental parser of one response.
#[derive(Debug)]
pub struct ResponseReader {
    state: State,
}

impl ResponseReader {
    /// Creates a reader that expects the beginning of a response.
    pub fn new() -> Self {
        ResponseReader { state: State::Head }
    }

    /// Parses as much of `bytes` as is complete, and returns the number of bytes parsed. Calls `on_body` with parts of the
    /// body as they are received.
    ///
    /// # Errors
    /// Returns an error if the response can't be used as a watch, if it has ended, or if `on_body` fails.
    pub fn read(
        &mut self,
        bytes: &[u8],
        mut on_body: impl FnMut(&[u8]) -> Result<(), ListError>,
    ) -> Result<usize, ResponseError> {
        let mut read = 0;
        loop {
            let length = self.read_step(&bytes[read..], &mut on_body)?;
            read += length;
            if length == 0 || read == bytes.len() {
                return Ok(read);
            }
        }
    }

    /// Parses the next part of the response. Returns its length, or 0 if it is incomplete.
    fn read_step(
        &mut self,
        bytes: &[u8],
        on_body: &mut impl FnMut(&[u8]) -> Result<(), ListError>,
    ) -> Result<usize, ResponseError> {
        match self.state {
            State::Head => self.read_head(bytes),
            State::ChunkSize => self.read_chunk_size(bytes),
            State::ChunkData(size) => {
                let length = bytes.len().min(usize::try_from(size).unwrap_or(usize::MAX));
                on_body(&bytes[..length])?;
                let left = size - length as u64;
                self.state = if left == 0 { State::ChunkEnd } else { State::ChunkData(left) };
                Ok(length)
            }
            State::ChunkEnd => self.read_chunk_end(bytes),
            State::PlainBody => {
                on_body(bytes)?;
                Ok(bytes.len())
            }
        }
    }

    fn read_head(&mut self, bytes: &[u8]) -> Result<usize, ResponseError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let length = match response.parse(bytes) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(0),
            Err(e) => return Err(ResponseError::Malformed(e)),
        };
        if response.code != Some(200) {
            return Err(ResponseError::Status(response.code.unwrap_or(0)));
        }
        let is_chunked = response.headers.iter().any(|header| {
            header.name.eq_ignore_ascii_case("transfer-encoding")
                && header.value.eq_ignore_ascii_case(b"chunked")
        });
        self.state = if is_chunked { State::ChunkSize } else { State::PlainBody };
        Ok(length)
    }

    fn read_chunk_size(&mut self, bytes: &[u8]) -> Result<usize, ResponseError> {
        match httparse::parse_chunk_size(bytes) {
            Ok(httparse::Status::Complete((_, 0))) => Err(ResponseError::Ended),
            Ok(httparse::Status::Complete((length, size))) => {
                self.state = State::ChunkData(size);
                Ok(length)
            }
            Ok(httparse::Status::Partial) => Ok(0),
            Err(_) => Err(ResponseError::ChunkSize),
        }
    }

    fn read_chunk_end(&mut self, bytes: &[u8]) -> Result<usize, ResponseError> {
        match bytes {
            [b'\r', b'\n', ..] => {
                self.state = State::ChunkSize;
                Ok(2)
            }
            [] | [b'\r'] => Ok(0),
            _ => Err(ResponseError::ChunkEnd),
        }
    }
}

#[cfg(test)]
mod tests;
