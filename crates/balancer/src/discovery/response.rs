//! The reader of a watch's answer: HTTP/1.1 in, pieces of the body out.

/// What of a chunked body comes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Body {
    /// The status line and the headers.
    Head,
    /// A chunk's size.
    Size,
    /// So many bytes of a chunk.
    Data(u64),
    /// The line end behind a chunk.
    DataEnd,
    /// A body that isn't chunked lasts until the connection ends.
    Plain,
}

/// The reader of a watch's answer: bytes in, pieces of the body out.
#[derive(Debug)]
pub struct Answer {
    body: Body,
}

impl Answer {
    /// A reader to which nothing has come.
    pub fn new() -> Self {
        Answer { body: Body::Head }
    }

    /// Takes in what it can of `bytes` and says how much; the body's text goes to `text`.
    pub fn take(
        &mut self,
        bytes: &[u8],
        mut text: impl FnMut(&[u8]) -> Result<(), String>,
    ) -> Result<usize, String> {
        let mut at = 0;
        loop {
            let rest = &bytes[at..];
            at += match self.body {
                Body::Head => match self.head(rest)? {
                    0 => return Ok(at),
                    n => n,
                },
                Body::Size => match httparse::parse_chunk_size(rest) {
                    Ok(httparse::Status::Complete((_, 0))) => return Err("the watch was ended".into()),
                    Ok(httparse::Status::Complete((n, size))) => {
                        self.body = Body::Data(size);
                        n
                    }
                    Ok(httparse::Status::Partial) => return Ok(at),
                    Err(_) => return Err("bad chunk size".into()),
                },
                Body::Data(size) => {
                    let n = rest.len().min(size.min(usize::MAX as u64) as usize);
                    text(&rest[..n])?;
                    let left = size - n as u64;
                    self.body = if left == 0 { Body::DataEnd } else { Body::Data(left) };
                    if left > 0 {
                        return Ok(at + n);
                    }
                    n
                }
                Body::DataEnd => match rest {
                    [b'\r', b'\n', ..] => {
                        self.body = Body::Size;
                        2
                    }
                    [] | [b'\r'] => return Ok(at),
                    _ => return Err("no line end behind a chunk".into()),
                },
                Body::Plain => {
                    text(rest)?;
                    return Ok(bytes.len());
                }
            };
        }
    }

    fn head(&mut self, bytes: &[u8]) -> Result<usize, String> {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut response = httparse::Response::new(&mut headers);
        let n = match response.parse(bytes) {
            Ok(httparse::Status::Complete(n)) => n,
            Ok(httparse::Status::Partial) => return Ok(0),
            Err(e) => return Err(format!("bad answer: {e}")),
        };
        match response.code {
            Some(200) => {}
            code => return Err(format!("status {}", code.unwrap_or(0))),
        }
        let chunked = response.headers.iter().any(|h| {
            h.name.eq_ignore_ascii_case("transfer-encoding") && h.value.eq_ignore_ascii_case(b"chunked")
        });
        self.body = if chunked { Body::Size } else { Body::Plain };
        Ok(n)
    }
}

#[cfg(test)]
mod tests;
