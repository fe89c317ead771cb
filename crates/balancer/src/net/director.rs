//! The director: the list of servers, from a watch over HTTP/1.1.

use std::net::SocketAddr;

use super::link::Link;
use super::{Net, Owner, log};
use shorewharf_driver::{Happening, Micros};
use shorewharf_protocol::list::Listing;

/// A call that has not begun to answer by then has failed: discovery itself gives up after about a second. After a
/// reload its news counts as told within 4 s, and there must be time for another call by then.
const ANSWER: Micros = 1_500_000;
/// A watch has a blank line every 2 s; one that stays silent for this long is dead though TCP says nothing.
/// Together with the next call this must stay under 6 s: by then its news counts as told.
const SILENT: Micros = 3_500_000;
/// The longest object read. A longer one fails the watch rather than fill the memory.
const OBJECT: usize = 1 << 20;

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

/// The reader of a watch's answer: bytes in, lines of the body out.
#[derive(Debug)]
struct Answer {
    body: Body,
    line: Vec<u8>,
}

impl Answer {
    fn new() -> Self {
        Answer { body: Body::Head, line: Vec::new() }
    }

    /// Takes in what it can of `bytes` and says how much; each whole line of the body goes to `lines`.
    fn take(&mut self, bytes: &[u8], lines: &mut Vec<Vec<u8>>) -> Result<usize, String> {
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
                    self.text(&rest[..n], lines)?;
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
                    self.text(rest, lines)?;
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

    fn text(&mut self, mut bytes: &[u8], lines: &mut Vec<Vec<u8>>) -> Result<(), String> {
        while let Some(at) = bytes.iter().position(|b| *b == b'\n') {
            self.line.extend_from_slice(&bytes[..at]);
            lines.push(std::mem::take(&mut self.line));
            bytes = &bytes[at + 1..];
        }
        if self.line.len() + bytes.len() > OBJECT {
            return Err("an object over the limit".into());
        }
        self.line.extend_from_slice(bytes);
        Ok(())
    }
}

/// Discovery's side.
#[derive(Debug)]
pub struct Director {
    at: SocketAddr,
    link: Option<Link>,
    asked: bool,
    answer: Answer,
    /// The version of the list that is held.
    index: u64,
    /// When something came last, or the call began.
    heard: Micros,
    failing: bool,
    /// The module has asked for the list; without that nobody watches.
    wanted: bool,
}

impl Director {
    /// A director that has not been asked yet.
    pub fn new(at: SocketAddr) -> Self {
        Director {
            at,
            link: None,
            asked: false,
            answer: Answer::new(),
            index: 0,
            heard: 0,
            failing: false,
            wanted: false,
        }
    }

    /// The list of this version is known from before.
    pub fn knows(&mut self, index: u64) {
        self.index = index;
    }
}

impl Net {
    /// Discovery is at another address from now on. Guards against an old list: the watch at the address
    /// before may live on for seconds and tell nothing, so a new one starts at once. It goes on from the
    /// version that is held; the list stays in force meanwhile.
    pub(super) fn director_moves(&mut self, at: SocketAddr) {
        if std::mem::replace(&mut self.director.at, at) == at {
            return;
        }
        if let Some(link) = self.director.link.take() {
            self.close(link);
        }
        if self.director.wanted {
            self.director_watch();
        }
    }

    pub(super) fn director_watch(&mut self) {
        self.director.wanted = true;
        if self.director.link.is_some() {
            return;
        }
        let mut link = match Link::connect(self.director.at) {
            Ok(link) => link,
            Err(e) => return self.director_failed(&e.to_string()),
        };
        if !self.watch_link(&mut link, Owner::Director) {
            return self.director_failed("the loop takes no more connections");
        }
        let d = &mut self.director;
        (d.link, d.asked, d.answer, d.heard) = (Some(link), false, Answer::new(), self.now);
        self.director_ready(false, false);
    }

    pub(super) fn director_ready(&mut self, read: bool, write: bool) {
        let d = &mut self.director;
        let Some(link) = d.link.as_mut() else { return };
        link.ready(read, write);
        if !d.asked {
            match link.connected() {
                Ok(false) => return,
                Ok(true) => {}
                Err(e) => return self.director_failed(&e.to_string()),
            }
            d.asked = true;
            let call = format!(
                "GET /v1/servers?follow=1&since={} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n",
                d.index, d.at
            );
            link.say(&self.pool, call.as_bytes());
        }
        link.flush();
        let mut lines = Vec::new();
        let failure = loop {
            let any = link.fill(&self.pool);
            let took = match d.answer.take(link.held(), &mut lines) {
                Ok(n) => n,
                Err(why) => break Some(why),
            };
            link.take(took);
            if any {
                d.heard = self.now;
            }
            if !any || (took == 0 && link.ended.is_none()) {
                break link.ended.map(|_| "the connection ended".to_owned());
            }
        };
        for line in lines.iter().filter(|l| !l.iter().all(u8::is_ascii_whitespace)) {
            match serde_json::from_slice::<Listing>(line) {
                Ok(listing) => self.director_says(&listing),
                Err(e) => return self.director_failed(&format!("bad list: {e}")),
            }
        }
        if let Some(why) = failure {
            self.director_failed(&why);
        }
    }

    fn director_says(&mut self, listing: &Listing) {
        if std::mem::replace(&mut self.director.failing, false) {
            log!("discovery-back index={}", listing.index);
        }
        self.director.index = listing.index;
        let entries = self.take_list(listing);
        self.tell(Happening::Listed { full: listing.snapshot, cached: false, entries });
    }

    fn director_failed(&mut self, why: &str) {
        if let Some(link) = self.director.link.take() {
            self.close(link);
        }
        if !std::mem::replace(&mut self.director.failing, true) {
            log!("discovery-failed why=\"{why}\"");
        }
        self.tell(Happening::DirectorFailed);
    }

    pub(super) fn director_sweep(&mut self) {
        let d = &self.director;
        let limit = if d.answer.body == Body::Head { ANSWER } else { SILENT };
        if d.link.is_some() && self.now >= d.heard + limit {
            self.director_failed("silence");
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    /// Feeds an answer in pieces of a size, keeping what was not taken, as the inbox does.
    fn feed(text: &str, piece: usize) -> Result<Vec<String>, String> {
        let (mut answer, mut lines, mut held) = (Answer::new(), Vec::new(), Vec::new());
        for bytes in text.as_bytes().chunks(piece) {
            held.extend_from_slice(bytes);
            let n = answer.take(&held, &mut lines)?;
            held.drain(..n);
        }
        Ok(lines.into_iter().map(|l| String::from_utf8(l).expect("text")).collect())
    }

    #[test]
    fn lines_come_out_however_the_answer_is_cut() {
        let text = format!("{HEAD}4\r\n{{}}\n\n\r\n3\r\n{{\"a\r\n6\r\n\":1}}\n\n\r\n");
        for piece in 1..text.len() + 1 {
            assert_eq!(feed(&text, piece), Ok(vec!["{}".into(), "".into(), "{\"a\":1}".into(), "".into()]));
        }
    }

    #[test]
    fn what_is_no_watch_fails() {
        for (text, why) in [
            ("HTTP/1.1 503 Busy\r\n\r\n".to_owned(), "status 503"),
            (format!("{HEAD}0\r\n\r\n"), "the watch was ended"),
            (format!("{HEAD}zz\r\n"), "bad chunk size"),
            (format!("{HEAD}1\r\nxyz"), "no line end behind a chunk"),
            (format!("{HEAD}200000\r\n{}", "x".repeat(OBJECT + 1)), "an object over the limit"),
        ] {
            assert_eq!(feed(&text, usize::MAX), Err(why.to_owned()));
        }
        assert!(feed("SSH-2.0\r\n\r\n", 4).is_err());
    }
}
