//! Lists cut into pieces of any size, and text that is not a list.

use super::*;
use shorewharf_protocol::endpoint_list::EndpointList;

/// The lists that text in pieces of a size comes to.
fn lists(text: &str, piece: usize) -> Result<Vec<EndpointList>, String> {
    let (mut reader, mut lists, mut endpoints) = (ListReader::new(), Vec::new(), Vec::new());
    for bytes in text.as_bytes().chunks(piece) {
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
fn lists_parse_the_same_however_they_are_cut() {
    let a =
        r#"{"name":"s-1]}\"\\","address":"127.0.0.1:1","status":"Ready","new":{"endpoints":[1,{"x":"]"}]}}"#;
    let b = r#"{"status":"Gone", "name":"é{[","zone":"a,b","address":"x" , "weight":2.5}"#;
    let texts = [
        format!(r#"{{"index":41,"snapshot":true,"endpoints":[{a},{b}]}}"#),
        format!(r#"{{ "endpoints" : [ {b} , {a} ] , "x":[[],"endpoints",{{}}], "index":7 }}"#),
        r#"{"index":8,"endpoints":[]}"#.into(),
        r#"{"a\",\"endpoints":[1],"snapshot":true}"#.into(),
    ];
    let whole: Vec<EndpointList> = texts.iter().map(|t| serde_json::from_str(t).expect("good")).collect();
    let text = texts.join("\n\r\n\n") + "\n";
    for piece in 1..text.len() + 1 {
        assert_eq!(lists(&text, piece), Ok(whole.clone()), "in pieces of {piece}");
    }
}

#[test]
fn text_that_is_not_a_list_is_an_error() {
    let long = format!(r#"{{"endpoints":[{{"name":"{}"#, "x".repeat(MAX_TEXT_BYTES));
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
        &long,
    ] {
        let found = lists(&(text.to_owned() + "\n"), 7);
        assert!(found.is_err(), "{text}: {found:?}");
    }
}
