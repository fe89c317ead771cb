//! What an `OPEN` line asks for. Strict: servers turn away what they can't use, and an answer from here costs them
//! nothing.

use super::backends::server_id;
use super::driver::{Micros, Req};
use crate::config::Names;
use crate::interface::{RequestId, ServerId};

/// The longest wait that a line may name, in milliseconds; connections from before the start name 4294967, for
/// all that fits 32 bits of microseconds.
const WAIT_MOST: f64 = u32::MAX as f64;
/// An hour is more than any client waits, and keeps sums of times far from their end.
const WAIT_USED: f64 = 3.6e6;
/// The greatest load that a line may guess.
const LOAD_MOST: f64 = 1e12;

/// A first line, read.
#[derive(Debug)]
pub(super) struct Open {
    /// What is asked for; its number and deadline are still to be set.
    pub req: Req,
    /// The id that the client gave.
    pub open_id: u64,
    /// How long it will wait, if it says so.
    pub patience: Option<Micros>,
    /// The server that it stood on before this program started.
    pub home: Option<ServerId>,
}

/// Up to 16 hexadecimal digits and nothing else: the standard parser takes a sign too.
fn hex(text: &str) -> Option<u64> {
    let digits = text.len() <= 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| digits)
}

/// A plain decimal number of at most `most`: no sign, exponent, infinity or NaN.
fn number(text: &str, most: f64) -> Option<f64> {
    let plain = text.len() <= 24 && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    text.parse::<f64>().ok().filter(|n| plain && *n <= most)
}

/// Reads a first line; the error says what is wrong with it.
pub(super) fn parse_open(line: &[u8], names: &Names) -> Result<Open, &'static str> {
    let text = std::str::from_utf8(line).map_err(|_| "no text")?;
    if text.chars().any(char::is_control) {
        return Err("no text");
    }
    let mut words = text.split(' ');
    let (Some("OPEN"), Some(id), Some(key), Some(list), None) =
        (words.next(), words.next(), words.next(), words.next(), words.next())
    else {
        return Err("not OPEN ID KEY LIST");
    };
    let open_id = hex(id).ok_or("bad id")?;
    let mut req = Req {
        id: RequestId(0),
        class: 0,
        tenant: 0,
        key: hex(key).ok_or("bad key")?,
        deadline: 0,
        load: None,
        group: 0,
        returning: false,
    };
    let (mut class, mut tenant, mut wait, mut group, mut home) = (None, None, None, None, None);
    let once = |twice: bool| if twice { Err("an item twice") } else { Ok(()) };
    for item in list.split(',') {
        let (name, value) = item.split_once('=').ok_or("an item without a value")?;
        match name {
            "c" => once(class.replace(*names.classes.get(value).ok_or("unknown class")?).is_some())?,
            "t" => once(tenant.replace(*names.tenants.get(value).ok_or("unknown tenant")?).is_some())?,
            "d" => once(wait.replace(number(value, WAIT_MOST).ok_or("bad d")?).is_some())?,
            "g" => once(group.replace(hex(value).ok_or("bad g")?).is_some())?,
            "h" => once(req.load.replace(number(value, LOAD_MOST).ok_or("bad h")?).is_some())?,
            "at" => once(home.replace(server_id(value)).is_some())?,
            "r" | "again" => req.returning |= value == "1",
            _ => {}
        }
    }
    req.class = class.ok_or("no class")?;
    (req.tenant, req.group) = (tenant.unwrap_or(0), group.unwrap_or(0));
    Ok(Open { req, open_id, patience: wait.map(|ms: f64| (ms.min(WAIT_USED) * 1e3) as Micros), home })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn names() -> Names {
        Names {
            classes: [("chat".to_owned(), 0), ("feed".to_owned(), 1)].into(),
            tenants: [("acme".to_owned(), 2)].into(),
            zones: Default::default(),
        }
    }

    #[test]
    fn an_open_line_is_read() {
        let line = b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=feed,t=acme,d=2000,g=5c0f,r=1,h=0.25,new=7";
        let open = parse_open(line, &names()).expect("good");
        let req = open.req;
        assert_eq!((req.class, req.tenant, req.key, req.group), (1, 2, 0x7f3a_9c21_e0b4_d655, 0x5c0f));
        assert_eq!((req.load, req.returning, open.home), (Some(0.25), true, None));
        assert_eq!((open.open_id, open.patience), (0x9b1f_03aa_5c7e_2d41, Some(2_000_000)));
        let open = parse_open(b"OPEN 1 2 c=chat,again=1,at=s-1", &names()).expect("good");
        assert_eq!((open.req.returning, open.home, open.patience), (true, Some(server_id("s-1")), None));
        let longest = parse_open(b"OPEN 1 2 c=chat,d=4294967", &names()).expect("good");
        assert_eq!(longest.patience, Some(3_600_000_000));
    }

    #[test]
    fn malformed_lines_are_told_apart() {
        for (line, why) in [
            (&b""[..], "not OPEN ID KEY LIST"),
            (b"OPEN", "not OPEN ID KEY LIST"),
            (b"OPEN 1 2", "not OPEN ID KEY LIST"),
            (b"OPEN 2 c=chat", "not OPEN ID KEY LIST"),
            (b"HELLO 1 2 c=chat", "not OPEN ID KEY LIST"),
            (b"open 1 2 c=chat", "not OPEN ID KEY LIST"),
            (b"OPEN 1 2 c=chat x", "not OPEN ID KEY LIST"),
            (b"OPEN  2 c=chat", "bad id"),
            (b"OPEN x 2 c=chat", "bad id"),
            (b"OPEN +1 2 c=chat", "bad id"),
            (b"OPEN -1 2 c=chat", "bad id"),
            (b"OPEN 00000000000000001 2 c=chat", "bad id"),
            (b"OPEN 1 x c=chat", "bad key"),
            (b"OPEN 1 +2 c=chat", "bad key"),
            (b"OPEN 1 2 ", "an item without a value"),
            (b"OPEN 1 2 c=none", "unknown class"),
            (b"OPEN 1 2 c=", "unknown class"),
            (b"OPEN 1 2 t=acme", "no class"),
            (b"OPEN 1 2 c=chat,c=feed", "an item twice"),
            (b"OPEN 1 2 c=chat,t=none", "unknown tenant"),
            (b"OPEN 1 2 c=chat,d=", "bad d"),
            (b"OPEN 1 2 c=chat,d=-1", "bad d"),
            (b"OPEN 1 2 c=chat,d=+1", "bad d"),
            (b"OPEN 1 2 c=chat,d=NaN", "bad d"),
            (b"OPEN 1 2 c=chat,d=inf", "bad d"),
            (b"OPEN 1 2 c=chat,d=1e3", "bad d"),
            (b"OPEN 1 2 c=chat,d=soon", "bad d"),
            (b"OPEN 1 2 c=chat,d=4294967296", "bad d"),
            (b"OPEN 1 2 c=chat,d=99999999999999999999999", "bad d"),
            (b"OPEN 1 2 c=chat,d=5,d=6", "an item twice"),
            (b"OPEN 1 2 c=chat,g=-1", "bad g"),
            (b"OPEN 1 2 c=chat,h=-0.5", "bad h"),
            (b"OPEN 1 2 c=chat,h=NaN", "bad h"),
            (b"OPEN 1 2 c=chat,g", "an item without a value"),
            (b"OPEN 1 2 c=chat\nOPEN 3 4 c=chat", "no text"),
            (b"OPEN 1 2 c=chat\0", "no text"),
            (b"OPEN 1 2 c=\xff", "no text"),
        ] {
            let found = parse_open(line, &names()).map(|open| open.req.class);
            assert_eq!(found, Err(why), "{}", String::from_utf8_lossy(line));
        }
    }
}
