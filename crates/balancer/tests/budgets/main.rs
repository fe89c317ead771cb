//! Budgets of a fleet of built programs, while processes are killed, paused and cut off from the store. The set-ups and
//! connections that servers see must never exceed the fleet's budget, and must come close to it under enough demand.

mod fleet;

use std::thread::sleep;
use std::time::{Duration, Instant};

use fleet::{Fleet, wait_until};
use shorewharf_store::standin::Fault;

/// Lease settings. The lease of one second keeps the tests short; longer ones behave alike.
const LEASE_SETTINGS: &str =
    "lease_s = 1.0\nmargin_s = 0.1\nlook_s = 0.1\nlinger_s = 1.0\nreserve = 0.1\nfloor = 0.05\n";
const SECOND: Duration = Duration::from_secs(1);
/// Set-ups a second of the whole fleet.
const FLEET_BUDGET: usize = 60;
/// Set-ups that may come within a second beyond the budget: one that each of three balancers has saved up, a tenth of the
/// budget, and three that were in flight.
const BURST: usize = 3 + FLEET_BUDGET / 10 + 3;

/// Waits until servers have seen at least this many set-ups within the last second.
#[track_caller]
fn wait_for_set_ups(fleet: &Fleet, what: &str, min: usize) {
    wait_until(what, || {
        let now = Instant::now();
        fleet.observed.set_ups_between(now - SECOND, now) >= min
    });
}

/// Operator settings with a budget for set-ups.
fn set_up_budget() -> String {
    format!("{LEASE_SETTINGS}set_ups = {FLEET_BUDGET}\n")
}

#[test]
fn set_ups_of_the_fleet_stay_within_the_budget_while_balancers_and_the_store_fail() {
    let mut fleet = Fleet::new(3, &set_up_budget(), 0.0);
    let began = Instant::now();
    // Nearly all demand is at one balancer.
    fleet.add_clients(0, 24, "acme", Duration::from_millis(10));
    fleet.add_clients(1, 1, "acme", Duration::from_millis(10));
    wait_for_set_ups(
        &fleet,
        "most of the budget is allocated to the balancer with the demand",
        FLEET_BUDGET * 7 / 10,
    );
    // Then another balancer has as much demand.
    fleet.add_clients(2, 24, "acme", Duration::from_millis(10));
    fleet.kill(0);
    wait_for_set_ups(&fleet, "the allocation of a killed balancer goes to the others", FLEET_BUDGET * 7 / 10);
    // A balancer under demand is paused, and resumes long after its allocation has gone to another one.
    fleet.signal(2, "-STOP");
    sleep(3 * SECOND);
    fleet.signal(2, "-CONT");
    wait_for_set_ups(&fleet, "the resumed balancer has an allocation again", FLEET_BUDGET * 7 / 10);
    // Without the store, the balancers use the reserve: a tenth of the budget, of which each gets a third.
    (0..3).for_each(|index| fleet.set_store_fault(index, Fault::Silent));
    wait_until("allocations end with their lease", || {
        let now = Instant::now();
        fleet.observed.set_ups_between(now - SECOND, now) <= FLEET_BUDGET / 10 + BURST
    });
    let unreachable_since = Instant::now();
    sleep(3 * SECOND);
    let set_ups = fleet.observed.set_ups_between(unreachable_since, unreachable_since + 3 * SECOND);
    assert!(
        (1..=3 * FLEET_BUDGET / 10 + BURST).contains(&set_ups),
        "{set_ups} set-ups from the reserve in three seconds"
    );
    (0..3).for_each(|index| fleet.set_store_fault(index, Fault::None));
    wait_for_set_ups(
        &fleet,
        "the full budget is used again when the store is reachable",
        FLEET_BUDGET * 7 / 10,
    );
    let max = fleet.observed.max_set_ups_within(began, SECOND);
    assert!(max <= FLEET_BUDGET + BURST, "{max} set-ups within a second, of {FLEET_BUDGET}");
}

#[test]
fn a_balancer_that_is_cut_off_from_the_store_does_not_use_the_allocations_of_others() {
    let mut fleet = Fleet::new(2, &set_up_budget(), 0.0);
    let began = Instant::now();
    for index in 0..2 {
        fleet.add_clients(index, 20, "acme", Duration::from_millis(10));
    }
    wait_for_set_ups(&fleet, "both balancers have an allocation", FLEET_BUDGET * 7 / 10);
    // The store applies the first balancer's writes but its answers are lost, which is harder to handle than an
    // unreachable store.
    fleet.set_store_fault(0, Fault::LosesAnswers);
    fleet.program(0).wait_for_log("state=store-unreachable");
    wait_for_set_ups(&fleet, "the other balancer gets the whole budget", FLEET_BUDGET * 7 / 10);
    sleep(2 * SECOND);
    fleet.set_store_fault(0, Fault::None);
    fleet.program(0).wait_for_log("state=store-reachable");
    // The store loses all data, and the balancers write it again.
    fleet.cluster.wipe();
    let wiped = Instant::now();
    sleep(2 * SECOND);
    wait_for_set_ups(&fleet, "the balancers start again on an empty store", FLEET_BUDGET * 7 / 10);
    let max = fleet.observed.max_set_ups_within(began, SECOND);
    assert!(
        max <= FLEET_BUDGET + BURST,
        "{max} set-ups within a second, of {FLEET_BUDGET}; wiped {:?} ago",
        wiped.elapsed()
    );
}

#[test]
fn the_allocation_of_a_balancer_that_shuts_down_is_released_at_once() {
    let mut fleet = Fleet::new(2, &set_up_budget().replace("lease_s = 1.0", "lease_s = 12.0"), 0.0);
    let mut found = None;
    wait_until("there is a leader a lease and a margin after the start", || {
        let contents = fleet.cluster.contents();
        let head = contents.iter().find(|(key, _)| key.ends_with("budget/head"));
        found = head.map(|(_, head)| usize::from(head.contains("\"b1\"")));
        found.is_some()
    });
    // The balancer that is not the leader shuts down. If the leader shut down, its lease would have to end before
    // the other balancer could take over the leadership.
    let leader = found.unwrap_or(0);
    let other = 1 - leader;
    fleet.add_clients(leader, 20, "acme", Duration::from_millis(10));
    fleet.add_clients(other, 20, "acme", Duration::from_millis(10));
    wait_for_set_ups(&fleet, "both balancers have an allocation", FLEET_BUDGET * 7 / 10);
    fleet.program(other).terminate();
    let member = format!("member/b{other}");
    wait_until("its row is marked as left, or deleted", || {
        let contents = fleet.cluster.contents();
        contents.iter().any(|(key, row)| key.ends_with(&member) && row.contains("\"left\":true"))
            || !contents.iter().any(|(key, _)| key.ends_with(&member))
    });
    let left_at = Instant::now();
    wait_for_set_ups(&fleet, "the leader gets the released allocation", FLEET_BUDGET * 7 / 10);
    assert!(
        left_at.elapsed() < 10 * SECOND,
        "the end of its lease of 12 s was awaited: {:?}",
        left_at.elapsed()
    );
}

#[test]
fn a_flooding_tenant_stays_within_its_quota_across_the_fleet() {
    const QUOTA: usize = 30;
    let mut fleet = Fleet::new(3, &format!("{LEASE_SETTINGS}tenants = true\n"), QUOTA as f64);
    // Clients for four times the quota, most of them at one balancer.
    fleet.add_clients(0, 80, "acme", 2 * SECOND);
    fleet.add_clients(1, 40, "acme", 2 * SECOND);
    let holds = |fleet: &Fleet, min| fleet.observed.connections("acme").current >= min;
    wait_until("the tenant has nearly its quota", || holds(&fleet, QUOTA * 8 / 10));
    fleet.kill(0);
    wait_until("the connections of a killed balancer are replaced at the others", || {
        holds(&fleet, QUOTA * 8 / 10)
    });
    // A balancer whose allocation has expired migrates the clients beyond its reserve.
    fleet.add_clients(2, 40, "acme", 20 * SECOND);
    wait_until("the tenant has nearly its quota with the third balancer", || holds(&fleet, QUOTA * 8 / 10));
    fleet.set_store_fault(2, Fault::Silent);
    fleet.program(2).wait_for_log("state=store-unreachable");
    sleep(4 * SECOND);
    let max = fleet.observed.connections("acme").max;
    assert!(max <= QUOTA, "{max} connections at once, of {QUOTA}");
}

#[test]
fn a_second_process_of_the_same_name_takes_over_the_allocation() {
    let mut fleet = Fleet::new(2, &set_up_budget(), 0.0);
    let began = Instant::now();
    fleet.add_clients(0, 20, "acme", Duration::from_millis(10));
    wait_for_set_ups(&fleet, "the balancer has an allocation", FLEET_BUDGET * 6 / 10);
    let second = fleet.start(0);
    fleet.program(0).wait_for_log("state=superseded");
    let first = fleet.programs[0].replace(second);
    fleet.add_clients(0, 20, "acme", Duration::from_millis(10));
    wait_for_set_ups(&fleet, "the second process has the allocation", FLEET_BUDGET * 6 / 10);
    drop(first);
    let max = fleet.observed.max_set_ups_within(began, SECOND);
    assert!(max <= FLEET_BUDGET + BURST, "{max} set-ups within a second, of {FLEET_BUDGET}");
}
