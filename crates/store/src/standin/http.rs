//! The subset of HTTP/1.1 that the stub needs: requests with a content length, and responses with a content length or
//! in chunks.

use super::server::{Answer, StubServer, Watch, WatchStep};
use serde_json::Value;
use std::io::{self, Read, Write};
use std::net::TcpStream;

/// The most headers that a request may have.
const MAX_HEADERS: usize = 32;

/// The most bytes that one call reads from a connection.
const READ_BYTES: usize = 65_536;

/// A request with a JSON body.
struct Request {
    path: String,
    body: Value,
}

/// Serves the requests of one connection until either side closes it.
pub(super) fn serve(mut stream: TcpStream, server: &StubServer) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer)? {
        match server.answer(&request.path, &request.body) {
            Answer::Close => return Ok(()),
            Answer::Complete { status, body } => write_response(&mut stream, status, &body)?,
            Answer::Watch(watch) => return write_watch(&mut stream, server, watch),
        }
    }
    Ok(())
}

fn write_response(stream: &mut TcpStream, status: u16, body: &Value) -> io::Result<()> {
    let body = body.to_string();
    let head = format!(
        "HTTP/1.1 {status} Stub\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + &body).as_bytes())
}

/// Sends the lines of a watch, each as a chunk, until either side closes.
fn write_watch(stream: &mut TcpStream, server: &StubServer, mut watch: Watch) -> io::Result<()> {
    stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")?;
    loop {
        match server.next_line(&mut watch) {
            WatchStep::Line(line) => {
                let line = format!("{line}\n");
                stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes())?;
            }
            WatchStep::Cut => return Ok(()),
            WatchStep::Idle => {
                if is_closed(stream)? {
                    return Ok(());
                }
            }
        }
    }
}

/// Whether the client has closed the connection (or has sent more data, which no client does during a watch).
fn is_closed(stream: &TcpStream) -> io::Result<bool> {
    stream.set_nonblocking(true)?;
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false)?;
    Ok(!matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock))
}

/// Reads a request; `None` if the client has closed the connection. Bytes of the next request stay in `buffer`.
fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Request>> {
    let mut chunk = [0; READ_BYTES];
    loop {
        if let Some(request) = parse_request(buffer)? {
            return Ok(Some(request));
        }
        match stream.read(&mut chunk)? {
            0 => return Ok(None),
            n => buffer.extend(&chunk[..n]),
        }
    }
}

/// Removes a request from the front of the buffer, if it is complete.
fn parse_request(buffer: &mut Vec<u8>) -> io::Result<Option<Request>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let parsed = head.parse(buffer).map_err(|_| invalid_data("not an HTTP request"))?;
    let httparse::Status::Complete(body_offset) = parsed else { return Ok(None) };
    let length =
        content_length(head.headers).ok_or_else(|| invalid_data("request without a valid content-length"))?;
    let Some(body) = buffer.get(body_offset..body_offset + length) else { return Ok(None) };
    let path = head.path.unwrap_or_default().to_owned();
    let request = Request { path, body: serde_json::from_slice(body)? };
    buffer.drain(..body_offset + length);
    Ok(Some(request))
}

fn content_length(headers: &[httparse::Header<'_>]) -> Option<usize> {
    let header = headers.iter().find(|header| header.name.eq_ignore_ascii_case("content-length"))?;
    std::str::from_utf8(header.value).ok()?.parse().ok()
}

fn invalid_data(cause: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, cause)
}
