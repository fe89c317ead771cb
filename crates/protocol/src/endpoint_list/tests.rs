//! Endpoint lists as JSON, byte for byte.

use super::*;

#[test]
fn what_is_written_is_read_again_and_gaps_have_defaults() {
    let text = r#"{"endpoints":[{"name":"s-1","address":"127.0.0.1:1","status":"Ready","new":1}]}"#;
    let listing: EndpointList = serde_json::from_str(text).expect("good");
    let e = &listing.endpoints[0];
    assert_eq!((listing.index, listing.snapshot, e.weight, e.since_ms), (0, false, 1.0, 0.0));
    let again: EndpointList =
        serde_json::from_str(&serde_json::to_string(&listing).expect("written")).expect("read");
    assert_eq!(again, listing);
    assert!(serde_json::from_str::<EndpointList>(r#"{"endpoints":[{"name":"s-1"}]}"#).is_err());
}

/// A list as discovery sends it: a server with all its fields, and one with none that may be left out.
const LIST: &str = include_str!(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/list.json"));
/// The shortest form of the same: what may be left out is.
const SHORT_LIST: &str = include_str!(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/list-short.json"));

fn list() -> EndpointList {
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
fn a_list_is_written_and_read_byte_for_byte() {
    assert_eq!(serde_json::to_string(&list()).expect("text") + "\n", LIST);
    assert_eq!(serde_json::from_str::<EndpointList>(LIST).expect("a list"), list());
    let short: EndpointList = serde_json::from_str(SHORT_LIST).expect("a list");
    let bare = list().endpoints.pop().expect("two servers");
    assert_eq!(short, EndpointList { endpoints: vec![bare], ..EndpointList::default() });
}
