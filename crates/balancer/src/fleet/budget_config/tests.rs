//! Budgets that are configured, and faults by key.

use super::*;
use crate::config::ConfigError;

#[test]
fn invalid_budgets_are_rejected_by_key() {
    let folder = tempfile::tempdir().expect("a folder");
    let members = folder.path().join("members");
    std::fs::write(&members, "# the fleet\nn1\nn2 # far\n\n").expect("written");
    let good = Budgets {
        store_endpoints: vec!["http://127.0.0.1:1".to_owned()],
        members_file: Some(members.clone()),
        setups_per_second: Some(100.0),
        ..Budgets::default()
    };
    let set = shorewharf_settings::parse(br#"{"me": 0}"#).expect("settings").settings;
    let read = |of: &Budgets, me: &str| BudgetConfig::read(of, &set, &NameIndex::default(), me);
    let fleet = read(&good, "n2").expect("good").expect("named");
    assert_eq!((fleet.rules.max_members, fleet.rules.member_index, fleet.rules.lease), (2, 1, 3_000_000));
    assert!(read(&Budgets::default(), "n2").expect("nothing is wrong").is_none());
    let wrong = |change: &dyn Fn(&mut Budgets), me: &str| {
        let mut of = good.clone();
        change(&mut of);
        let e = read(&of, me).expect_err("it can't be kept");
        {
            let e = ConfigError::from(e);
            (e.key().to_owned(), e.reason())
        }
    };
    for (change, me, key, why) in [
        (&(|b: &mut Budgets| b.lease_s = 1.0) as &dyn Fn(&mut Budgets), "n1", "budgets.lease_s", "8 looks"),
        (&|b| b.clock_margin_s = 2.0, "n1", "budgets.margin_s", "quarter of the lease"),
        (&|b| b.reserve_ratio = 0.9, "n1", "budgets.reserve", "from 0 to 0.5"),
        (&|b| b.floor_ratio = 0.9, "n1", "budgets.floor", "from 0 to 0.5"),
        (&|b| b.members_file = None, "n1", "budgets.members", "missing"),
        (&|b| b.setups_per_second = None, "n1", "budgets.set_ups", "nothing is shared"),
        (&|b| b.store_endpoints = vec!["127.0.0.1:1".to_owned()], "n1", "budgets.store", "http://HOST:PORT"),
        (&|_| (), "n3", "budgets.members", "n3 is not there"),
    ] {
        let (at, said) = wrong(change, me);
        assert!(at == key && said.contains(why), "{at}: {said}");
    }
    std::fs::write(&members, "n1\nn2\nn1\n").expect("written");
    assert!(wrong(&|_| (), "n1").1.contains("n1 stands there twice"));
}
