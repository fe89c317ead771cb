//! Tests of the configuration of budgets: a valid one, and errors by key.

use super::*;
use crate::config::ConfigError;

#[test]
fn invalid_budgets_are_rejected_by_key() {
    let folder = tempfile::tempdir().expect("a folder");
    let members = folder.path().join("members");
    std::fs::write(&members, "# the fleet\nn1\nn2 # far\n\n").expect("written");
    let valid = Budgets {
        store_endpoints: vec!["http://127.0.0.1:1".to_owned()],
        members_file: Some(members.clone()),
        setups_per_second: Some(100.0),
        ..Budgets::default()
    };
    let settings = shorewharf_settings::parse(br#"{"me": 0}"#).expect("settings").settings;
    let read = |section: &Budgets, balancer: &str| {
        BudgetConfig::read(section, &settings, &NameIndex::default(), balancer)
    };
    let config = read(&valid, "n2").expect("a valid section").expect("budgets are configured");
    assert_eq!(
        (config.settings.max_members, config.settings.member_index, config.settings.lease),
        (2, 1, 3_000_000)
    );
    assert!(read(&Budgets::default(), "n2").expect("a valid section").is_none());
    let error_of = |change: &dyn Fn(&mut Budgets), balancer: &str| {
        let mut section = valid.clone();
        change(&mut section);
        let error = ConfigError::from(read(&section, balancer).expect_err("an invalid section"));
        (error.key().to_owned(), error.reason())
    };
    for (change, balancer, expected_key, expected_reason) in [
        (
            &(|b: &mut Budgets| b.lease_s = 1.0) as &dyn Fn(&mut Budgets),
            "n1",
            "budgets.lease_s",
            "8 poll intervals",
        ),
        (&|b| b.clock_margin_s = 2.0, "n1", "budgets.margin_s", "quarter of the lease"),
        (&|b| b.reserve_ratio = 0.9, "n1", "budgets.reserve", "from 0 to 0.5"),
        (&|b| b.floor_ratio = 0.9, "n1", "budgets.floor", "from 0 to 0.5"),
        (&|b| b.members_file = None, "n1", "budgets.members", "missing"),
        (&|b| b.setups_per_second = None, "n1", "budgets.set_ups", "nothing is shared"),
        (&|b| b.store_endpoints = vec!["127.0.0.1:1".to_owned()], "n1", "budgets.store", "http://HOST:PORT"),
        (&|_| (), "n3", "budgets.members", "this balancer, n3, is not listed"),
    ] {
        let (key, reason) = error_of(change, balancer);
        assert!(key == expected_key && reason.contains(expected_reason), "{key}: {reason}");
    }
    std::fs::write(&members, "n1\nn2\nn1\n").expect("written");
    assert!(error_of(&|_| (), "n1").1.contains("n1 is listed twice"));
}
