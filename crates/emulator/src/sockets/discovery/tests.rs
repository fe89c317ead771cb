//! Tests of the module that these stand beside.

use super::*;

fn asks(line: &str) -> Result<Option<CallKind>, &'static str> {
    let text = format!("{line} HTTP/1.1\r\nHost: x\r\n\r\n");
    request(text.as_bytes()).map(|found| found.map(|f| f.0)).map_err(|e| &e.0[..3])
}

#[test]
fn calls_are_told_from_what_is_none() {
    assert_eq!(asks("GET /v1/servers?follow=1&since=41"), Ok(Some(CallKind::Watch(41))));
    assert_eq!(asks("GET /v1/servers?since=9&follow=1"), Ok(Some(CallKind::Watch(9))));
    assert_eq!(asks("GET /v1/servers"), Ok(Some(CallKind::List)));
    assert_eq!(asks("GET /v1/servers?follow=1&since=x"), Err("400"));
    assert_eq!(asks("GET /v1/server"), Err("404"));
    assert_eq!(asks("POST /v1/servers"), Err("405"));
    assert_eq!(request(b"GET /v1/servers HTTP/1.1\r\nHost"), Ok(None));
    assert!(request(b"GET /v1/servers HTTP/1.1\r\n\r\n").is_err(), "no Host");
}

#[test]
fn versions_tell_what_has_changed_since() {
    let entry = |n: u32, stage| Listed { node: NodeId(n), stage, started_at: None };
    let mut side = Side {
        listener: None,
        address: ([127, 0, 0, 1], 0).into(),
        moves: 0,
        old_address_closes_at: None,
        known_list: KnownList::new(),
        index: 0,
        versions: VecDeque::new(),
    };
    side.apply(true, &[entry(1, Stage::Ready), entry(2, Stage::Ready)]);
    let first = side.index;
    assert!(side.apply(true, &[entry(1, Stage::Ready), entry(2, Stage::Ready)]).is_empty());
    assert_eq!(side.index, first, "nothing has changed");
    side.apply(false, &[entry(2, Stage::Draining)]);
    side.apply(true, &[entry(2, Stage::Draining), entry(3, Stage::Ready)]);
    let mut since = side.changes_since(first).expect("remembered");
    since.sort_by_key(|e| e.node);
    assert_eq!(since, [entry(1, Stage::Gone), entry(2, Stage::Draining), entry(3, Stage::Ready)]);
    assert_eq!((side.changes_since(side.index), side.changes_since(99)), (Some(vec![]), None));
}
