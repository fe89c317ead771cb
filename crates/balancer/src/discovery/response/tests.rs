//! Responses cut into pieces of any size, and responses that are not a watch.

use super::*;

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Feeds an answer in pieces of a size, keeping what was not taken, as the inbox does.
fn feed(text: &str, piece: usize) -> Result<String, String> {
    let (mut answer, mut body, mut held) = (ResponseReader::new(), Vec::new(), Vec::new());
    for bytes in text.as_bytes().chunks(piece) {
        held.extend_from_slice(bytes);
        let n = answer.read(&held, |text| {
            body.extend_from_slice(text);
            Ok(())
        });
        let n = n.map_err(|e| e.to_string())?;
        held.drain(..n);
    }
    Ok(String::from_utf8(body).expect("text"))
}

#[test]
fn the_body_is_the_same_however_the_response_is_cut() {
    let text = format!("{HEAD}4\r\n{{}}\n\n\r\n3\r\n{{\"a\r\n6\r\n\":1}}\n\n\r\n");
    for piece in 1..text.len() + 1 {
        assert_eq!(feed(&text, piece), Ok("{}\n\n{\"a\":1}\n\n".to_owned()));
    }
}

#[test]
fn a_response_that_is_not_a_watch_is_an_error() {
    for (text, why) in [
        ("HTTP/1.1 503 Busy\r\n\r\n".to_owned(), "status 503"),
        (format!("{HEAD}0\r\n\r\n"), "the watch was ended"),
        (format!("{HEAD}zz\r\n"), "bad chunk size"),
        (format!("{HEAD}1\r\nxyz"), "no line end behind a chunk"),
    ] {
        assert_eq!(feed(&text, usize::MAX), Err(why.to_owned()));
    }
    assert!(feed("SSH-2.0\r\n\r\n", 4).is_err());
}
