//! The text of each kind of record in the store: members of two versions share one store, so a renamed field must not
//! change what is stored.

use std::fmt::Debug;

use serde::Serialize;
use serde::de::DeserializeOwned;
use shorewharf_budgets::rows::{Amounts, GRANT, Grant, HEAD, Head, MEMBER, Row, grant_name, granted_to};

fn amounts(pairs: &[(&str, f64)]) -> Amounts {
    pairs.iter().map(|(budget, amount)| ((*budget).to_owned(), *amount)).collect()
}

/// The record is written as the text in the fixture, and read back equal.
fn check<T: Debug + PartialEq + Serialize + DeserializeOwned>(record: &T, stored: &str) {
    let stored = stored.trim_end();
    assert_eq!(serde_json::to_string(record).expect("a record"), stored);
    assert_eq!(&serde_json::from_str::<T>(stored).expect("a stored record"), record);
}

#[test]
fn the_leaders_record_is_stored_under_its_names() {
    let head = Head { term: 1_048_577, turn: 3, leader: "n1".to_owned(), life: 5 };
    check(&head, include_str!("fixtures/head.json"));
}

#[test]
fn a_members_record_is_stored_under_its_names() {
    let row = Row {
        life: 5,
        beat: 6,
        term: 1_048_577,
        acked: (1_048_576, 8),
        wants: amounts(&[("level", 2.0), ("rate", 1.5)]),
        holds: amounts(&[("level", 3.0), ("rate", 0.25)]),
        wholes: amounts(&[("level", 60.0), ("rate", 100.0)]),
        left: true,
    };
    check(&row, include_str!("fixtures/member.json"));
}

#[test]
fn a_grant_is_stored_under_its_names() {
    let grant = Grant {
        life: 5,
        term: 1_048_577,
        epoch: 8,
        heard: 6,
        parts: amounts(&[("level", 10.0), ("rate", 12.5)]),
        may: amounts(&[("level", 11.0), ("rate", 13.5)]),
    };
    check(&grant, include_str!("fixtures/grant.json"));
}

#[test]
fn records_keep_their_keys() {
    assert_eq!((HEAD, MEMBER, GRANT), ("head", "member/", "grant/"));
    assert_eq!(grant_name("n1", 5), "grant/n1/5");
    assert_eq!(granted_to("grant/n1/5"), Some(("n1", 5)));
    assert_eq!(granted_to("member/n1"), None);
}
