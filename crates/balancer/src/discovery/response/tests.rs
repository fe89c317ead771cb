//! Tests of the response reader: input in chunks of any size, and responses that can't be used as a watch.

use super::*;

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Parses a response in chunks of `chunk_size` bytes and returns its body. Like the connection's input buffer, it keeps the
/// bytes that were not parsed for the next call.
fn read_body(text: &str, chunk_size: usize) -> Result<String, String> {
    let (mut reader, mut body, mut input) = (ResponseReader::new(), Vec::new(), Vec::new());
    for bytes in text.as_bytes().chunks(chunk_size) {
        input.extend_from_slice(bytes);
        let result = reader.read(&input, |text| {
            body.extend_from_slice(text);
            Ok(())
        });
        let length = result.map_err(|error| error.to_string())?;
        input.drain(..length);
    }
    Ok(String::from_utf8(body).expect("text"))
}

#[test]
fn chunking_of_the_input_does_not_change_the_body() {
    let text = format!("{HEAD}4\r\n{{}}\n\n\r\n3\r\n{{\"a\r\n6\r\n\":1}}\n\n\r\n");
    for chunk_size in 1..text.len() + 1 {
        assert_eq!(read_body(&text, chunk_size), Ok("{}\n\n{\"a\":1}\n\n".to_owned()));
    }
}

#[test]
fn a_response_that_is_not_a_watch_is_an_error() {
    for (text, message) in [
        ("HTTP/1.1 503 Busy\r\n\r\n".to_owned(), "HTTP status 503, expected 200"),
        (format!("{HEAD}0\r\n\r\n"), "the discovery service ended the response"),
        (format!("{HEAD}zz\r\n"), "malformed chunk size in the HTTP response"),
        (format!("{HEAD}1\r\nxyz"), "a chunk of the HTTP response is not followed by a line end"),
    ] {
        assert_eq!(read_body(&text, usize::MAX), Err(message.to_owned()));
    }
    assert!(read_body("SSH-2.0\r\n\r\n", 4).is_err());
}
