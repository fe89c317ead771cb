//! As much HTTP/1.1 as the stand-in needs: requests with a length, answers with one or in chunks.

use super::{Answer, Desk};
use serde_json::Value;
use std::io::{self, Read, Write};
use std::net::TcpStream;

/// Serves one connection until it ends.
pub(super) fn serve(mut stream: TcpStream, desk: &Desk) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut bytes = Vec::new();
    while let Some((path, body)) = request(&mut stream, &mut bytes)? {
        match desk.answer(&path, &body) {
            Answer::Nothing => return Ok(()),
            Answer::Whole(status, value) => {
                let body = value.to_string();
                let length = body.len();
                let head = format!(
                    "HTTP/1.1 {status} Said\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n"
                );
                stream.write_all((head + &body).as_bytes())?;
            }
            Answer::Watch(mut watch) => {
                stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")?;
                loop {
                    match desk.next(&mut watch) {
                        Some(Some(line)) => {
                            let line = format!("{line}\n");
                            stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes())?;
                        }
                        Some(None) => return Ok(()),
                        None if gone(&stream)? => return Ok(()),
                        None => {}
                    }
                }
            }
        }
    }
    Ok(())
}

/// Whether the other side has closed.
fn gone(stream: &TcpStream) -> io::Result<bool> {
    stream.set_nonblocking(true)?;
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false)?;
    Ok(!matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock))
}

/// Reads a request: its path and its body. `None` at the end of the connection.
fn request(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> io::Result<Option<(String, Value)>> {
    let bad = |cause: &str| io::Error::new(io::ErrorKind::InvalidData, cause);
    let mut chunk = [0; 65536];
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut head = httparse::Request::new(&mut headers);
        let parsed = head.parse(bytes).map_err(|_| bad("no HTTP"))?;
        if let httparse::Status::Complete(begin) = parsed {
            let length = head.headers.iter().find(|h| h.name.eq_ignore_ascii_case("content-length"));
            let length: Option<usize> = length.and_then(|h| std::str::from_utf8(h.value).ok()?.parse().ok());
            let length = length.ok_or_else(|| bad("no length"))?;
            if bytes.len() >= begin + length {
                let path = head.path.unwrap_or_default().to_string();
                let body = serde_json::from_slice(&bytes[begin..begin + length])?;
                bytes.drain(..begin + length);
                return Ok(Some((path, body)));
            }
        }
        match stream.read(&mut chunk)? {
            0 => return Ok(None),
            n => bytes.extend(&chunk[..n]),
        }
    }
}
