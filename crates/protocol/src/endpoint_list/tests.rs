//! Tests of the JSON text of endpoint lists, also byte for byte.

use super::*;

#[test]
fn a_written_list_parses_to_the_same_list_and_missing_fields_have_defaults() {
    let text = r#"{"endpoints":[{"name":"s-1","address":"127.0.0.1:1","status":"Ready","new":1}]}"#;
    let list: EndpointList = serde_json::from_str(text).expect("a valid list");
    let endpoint = &list.endpoints[0];
    assert_eq!((list.index, list.snapshot, endpoint.weight, endpoint.since_ms), (0, false, 1.0, 0.0));
    let parsed: EndpointList =
        serde_json::from_str(&serde_json::to_string(&list).expect("JSON text")).expect("a valid list");
    assert_eq!(parsed, list);
    assert!(serde_json::from_str::<EndpointList>(r#"{"endpoints":[{"name":"s-1"}]}"#).is_err());
}

/// A complete list with two servers: one with all fields set, and one whose optional fields have their
/// defaults.
const LIST: &str = include_str!(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/list.json"));
/// A list of the second server only, without any optional field.
const SHORT_LIST: &str = include_str!(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/list-short.json"));

fn full_list() -> EndpointList {
    let full = Endpoint {
        name: "s-5be2a07c".into(),
        address: "10.1.0.7:9000".into(),
        zone: "zone-b".into(),
        kind: "large".into(),
        group: 3,
        status: "Terminating".into(),
        weight: 2.5,
        since_ms: 1_764_747_000_123.0,
    };
    let bare = Endpoint {
        name: "s-1".into(),
        address: "10.1.0.8:9000".into(),
        zone: String::new(),
        kind: String::new(),
        group: 0,
        status: "Ready".into(),
        weight: 1.0,
        since_ms: 0.0,
    };
    EndpointList { index: 41, snapshot: true, endpoints: vec![full, bare] }
}

#[test]
fn a_list_is_written_and_parsed_byte_for_byte() {
    assert_eq!(serde_json::to_string(&full_list()).expect("JSON text") + "\n", LIST);
    assert_eq!(serde_json::from_str::<EndpointList>(LIST).expect("a valid list"), full_list());
    let short: EndpointList = serde_json::from_str(SHORT_LIST).expect("a valid list");
    let bare = full_list().endpoints.pop().expect("two servers");
    assert_eq!(short, EndpointList { endpoints: vec![bare], ..EndpointList::default() });
}
