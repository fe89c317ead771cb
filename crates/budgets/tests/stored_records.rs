//! The stored text of each kind of record. Members of two versions may share a store, so renaming a field in
//! the code must not change what is stored.

use std::fmt::Debug;

use serde::Serialize;
use serde::de::DeserializeOwned;
use shorewharf_budgets::records::{
    BudgetAmounts, GRANT_PREFIX, Grant, GrantNumber, LEADER_KEY, LeaderRecord, MEMBER_PREFIX, MemberRecord,
    grant_key, member_key, parse_grant_key,
};

fn amounts(pairs: &[(&str, f64)]) -> BudgetAmounts {
    pairs.iter().map(|(budget, amount)| ((*budget).to_owned(), *amount)).collect()
}

/// Checks that the record is encoded as the text in the fixture and decoded to an equal record.
fn check<T: Debug + PartialEq + Serialize + DeserializeOwned>(record: &T, stored: &str) {
    let stored = stored.trim_end();
    assert_eq!(serde_json::to_string(record).expect("records can be encoded"), stored);
    assert_eq!(&serde_json::from_str::<T>(stored).expect("the fixture is a valid record"), record);
}

#[test]
fn the_leaders_record_keeps_its_stored_field_names() {
    let leader = LeaderRecord { term: 1_048_577, write_count: 3, leader: "n1".to_owned(), incarnation: 5 };
    check(&leader, include_str!("fixtures/head.json"));
}

#[test]
fn a_members_record_keeps_its_stored_field_names() {
    let member = MemberRecord {
        incarnation: 5,
        heartbeat: 6,
        term: 1_048_577,
        acknowledged: GrantNumber { term: 1_048_576, epoch: 8 },
        demand: amounts(&[("level", 2.0), ("rate", 1.5)]),
        in_use: amounts(&[("level", 3.0), ("rate", 0.25)]),
        totals: amounts(&[("level", 60.0), ("rate", 100.0)]),
        has_left: true,
    };
    check(&member, include_str!("fixtures/member.json"));
}

#[test]
fn a_grant_keeps_its_stored_field_names() {
    let grant = Grant {
        incarnation: 5,
        term: 1_048_577,
        epoch: 8,
        heartbeat: 6,
        allocation: amounts(&[("level", 10.0), ("rate", 12.5)]),
        possible_use: amounts(&[("level", 11.0), ("rate", 13.5)]),
    };
    check(&grant, include_str!("fixtures/grant.json"));
}

#[test]
fn records_keep_their_keys() {
    assert_eq!((LEADER_KEY, MEMBER_PREFIX, GRANT_PREFIX), ("head", "member/", "grant/"));
    assert_eq!(grant_key("n1", 5), "grant/n1/5");
    assert_eq!(member_key("n1"), "member/n1");
    assert_eq!(parse_grant_key("grant/n1/5"), Some(("n1", 5)));
    assert_eq!(parse_grant_key("member/n1"), None);
}
