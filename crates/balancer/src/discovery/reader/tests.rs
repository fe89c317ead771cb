//! Tests of the list reader: input in chunks of any size, and text that is not a list.

use super::*;
use shorewharf_protocol::endpoint_list::EndpointList;

/// Parses text in chunks of `chunk_size` bytes.
fn parse(text: &str, chunk_size: usize) -> Result<Vec<EndpointList>, String> {
    let (mut reader, mut lists, mut endpoints) = (ListReader::new(), Vec::new(), Vec::new());
    for bytes in text.as_bytes().chunks(chunk_size) {
        let read = reader.read(bytes, &mut |part| match part {
            ListPart::Entry(e) => endpoints.push(*e),
            ListPart::End { index, snapshot } => {
                lists.push(EndpointList { index, snapshot, endpoints: std::mem::take(&mut endpoints) });
            }
        });
        read.map_err(|e| e.to_string())?;
    }
    Ok(lists)
}

#[test]
fn chunking_does_not_change_the_parsed_lists() {
    let a =
        r#"{"name":"s-1]}\"\\","address":"127.0.0.1:1","status":"Ready","new":{"endpoints":[1,{"x":"]"}]}}"#;
    let b = r#"{"status":"Gone", "name":"é{[","zone":"a,b","address":"x" , "weight":2.5}"#;
    let texts = [
        format!(r#"{{"index":41,"snapshot":true,"endpoints":[{a},{b}]}}"#),
        format!(r#"{{ "endpoints" : [ {b} , {a} ] , "x":[[],"endpoints",{{}}], "index":7 }}"#),
        r#"{"index":8,"endpoints":[]}"#.into(),
        r#"{"a\",\"endpoints":[1],"snapshot":true}"#.into(),
    ];
    let expected: Vec<EndpointList> =
        texts.iter().map(|text| serde_json::from_str(text).expect("a valid list")).collect();
    let text = texts.join("\n\r\n\n") + "\n";
    for chunk_size in 1..text.len() + 1 {
        assert_eq!(parse(&text, chunk_size), Ok(expected.clone()), "in chunks of {chunk_size} bytes");
    }
}

#[test]
fn text_that_is_not_a_list_is_an_error() {
    let too_long = format!(r#"{{"endpoints":[{{"name":"{}"#, "x".repeat(MAX_TEXT_BYTES));
    for text in [
        "[]",
        "nonsense",
        r#"{"index":-1}"#,
        r#"{"index":1,"index":2}"#,
        "{\"index\":1,\n\"snapshot\":true}",
        r#"{"endpoints":[{"name":"s-1"}]}"#,
        r#"{"endpoints":[{"name":"s-1","address":"x","status":"Ready"} {"name":"s-2"}]}"#,
        r#"{"endpoints":[,]}"#,
        r#"{"endpoints":[5]}"#,
        r#"{"endpoints":[],"endpoints":[]}"#,
        &too_long,
    ] {
        let result = parse(&(text.to_owned() + "\n"), 7);
        assert!(result.is_err(), "{text}: {result:?}");
    }
}
