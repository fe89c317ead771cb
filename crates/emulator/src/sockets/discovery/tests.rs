//! Tests of the requests that discovery accepts and of the versions of the endpoint list.

use super::*;

fn kind_of(line: &str) -> Result<Option<CallKind>, &'static str> {
    let text = format!("{line} HTTP/1.1\r\nHost: x\r\n\r\n");
    parse_request(text.as_bytes()).map(|found| found.map(|f| f.0)).map_err(|e| &e.0[..3])
}

#[test]
fn valid_calls_are_parsed_and_others_rejected() {
    assert_eq!(kind_of("GET /v1/servers?follow=1&since=41"), Ok(Some(CallKind::Watch(41))));
    assert_eq!(kind_of("GET /v1/servers?since=9&follow=1"), Ok(Some(CallKind::Watch(9))));
    assert_eq!(kind_of("GET /v1/servers"), Ok(Some(CallKind::List)));
    assert_eq!(kind_of("GET /v1/servers?follow=1&since=x"), Err("400"));
    assert_eq!(kind_of("GET /v1/server"), Err("404"));
    assert_eq!(kind_of("POST /v1/servers"), Err("405"));
    assert_eq!(parse_request(b"GET /v1/servers HTTP/1.1\r\nHost"), Ok(None));
    assert!(parse_request(b"GET /v1/servers HTTP/1.1\r\n\r\n").is_err(), "the Host header is missing");
}

#[test]
fn a_remembered_version_yields_the_changes_since() {
    let entry = |n: u32, stage| Listed { node: NodeId(n), stage, started_at: None };
    let mut view = BalancerView {
        listener: None,
        address: ([127, 0, 0, 1], 0).into(),
        moves: 0,
        old_address_closes_at: None,
        known_list: KnownList::new(),
        index: 0,
        versions: VecDeque::new(),
    };
    view.apply(true, &[entry(1, Stage::Ready), entry(2, Stage::Ready)]);
    let first = view.index;
    assert!(view.apply(true, &[entry(1, Stage::Ready), entry(2, Stage::Ready)]).is_empty());
    assert_eq!(view.index, first, "no change, no new version");
    view.apply(false, &[entry(2, Stage::Draining)]);
    view.apply(true, &[entry(2, Stage::Draining), entry(3, Stage::Ready)]);
    let mut since = view.changes_since(first).expect("the first version is remembered");
    since.sort_by_key(|e| e.node);
    assert_eq!(since, [entry(1, Stage::Gone), entry(2, Stage::Draining), entry(3, Stage::Ready)]);
    assert_eq!((view.changes_since(view.index), view.changes_since(99)), (Some(vec![]), None));
}
