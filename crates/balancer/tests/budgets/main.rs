//! Budgets of a fleet of built programs, while processes are killed, stand still and are cut off from the store: what servers
//! see is within the whole at all times, and near it where enough is asked for.

mod rig;

use std::thread::sleep;
use std::time::{Duration, Instant};

use rig::{Fleet, until};
use shorewharf_store::standin::Fault;

/// A lease of a second: what holds for it holds for longer ones.
const TERMS: &str =
    "lease_s = 1.0\nmargin_s = 0.1\nlook_s = 0.1\nlinger_s = 1.0\nreserve = 0.1\nfloor = 0.05\n";
const SECOND: Duration = Duration::from_secs(1);
/// Set-ups a second of the whole fleet.
const WHOLE: usize = 60;
/// Beside the whole, so many may come within a second: one that each has saved up and a tenth of the whole, and what was on its way.
const WAY: usize = 3 + WHOLE / 10 + 3;

/// Waits until so many set-ups come within a second.
#[track_caller]
fn reaches(fleet: &Fleet, what: &str, least: usize) {
    until(what, || {
        let now = Instant::now();
        fleet.sight.came(now - SECOND, now) >= least
    });
}

fn set_ups() -> String {
    format!("{TERMS}set_ups = {WHOLE}\n")
}

#[test]
fn set_ups_of_the_fleet_stay_within_the_whole_while_balancers_and_the_store_fail() {
    let mut fleet = Fleet::new(3, &set_ups(), 0.0);
    let began = Instant::now();
    // Nearly all demand is at one.
    fleet.crowd(0, 24, "acme", Duration::from_millis(10));
    fleet.crowd(1, 1, "acme", Duration::from_millis(10));
    reaches(&fleet, "most of the whole goes where it is wanted", WHOLE * 7 / 10);
    // Then it is elsewhere too.
    fleet.crowd(2, 24, "acme", Duration::from_millis(10));
    fleet.kill(0);
    reaches(&fleet, "what a killed one had is the others'", WHOLE * 7 / 10);
    // One stands still in the middle of it, and wakes when its part has long been given on.
    fleet.signal(2, "-STOP");
    sleep(3 * SECOND);
    fleet.signal(2, "-CONT");
    reaches(&fleet, "one that stood still has a part again", WHOLE * 7 / 10);
    // Without the store there is the reserve: a tenth, a third of it for each.
    (0..3).for_each(|place| fleet.breaks(place, Fault::Silent));
    until("parts end with their lease", || {
        let now = Instant::now();
        fleet.sight.came(now - SECOND, now) <= WHOLE / 10 + WAY
    });
    let alone = Instant::now();
    sleep(3 * SECOND);
    let came = fleet.sight.came(alone, alone + 3 * SECOND);
    assert!((1..=3 * WHOLE / 10 + WAY).contains(&came), "{came} of the reserve in three seconds");
    (0..3).for_each(|place| fleet.breaks(place, Fault::None));
    reaches(&fleet, "all is as before when the store is back", WHOLE * 7 / 10);
    let most = fleet.sight.most_within(began, SECOND);
    assert!(most <= WHOLE + WAY, "{most} within a second, of {WHOLE}");
}

#[test]
fn a_balancer_that_is_cut_off_from_the_store_uses_nothing_that_others_have() {
    let mut fleet = Fleet::new(2, &set_ups(), 0.0);
    let began = Instant::now();
    for place in 0..2 {
        fleet.crowd(place, 20, "acme", Duration::from_millis(10));
    }
    reaches(&fleet, "both have a part", WHOLE * 7 / 10);
    // What it asks for is done, and it never hears of it: the harder half of a cut.
    fleet.breaks(0, Fault::LosesAnswers);
    fleet.program(0).logged("state=store-unreachable");
    reaches(&fleet, "the other has it all", WHOLE * 7 / 10);
    sleep(2 * SECOND);
    fleet.breaks(0, Fault::None);
    fleet.program(0).logged("state=store-reachable");
    // The store is lost for good, and begun anew by whoever is there.
    fleet.cluster.wipe();
    let wiped = Instant::now();
    sleep(2 * SECOND);
    reaches(&fleet, "a store that is empty is begun anew", WHOLE * 7 / 10);
    let most = fleet.sight.most_within(began, SECOND);
    assert!(most <= WHOLE + WAY, "{most} within a second, of {WHOLE}; wiped {:?} ago", wiped.elapsed());
}

#[test]
fn what_one_had_that_leaves_in_good_order_is_not_waited_for() {
    let mut fleet = Fleet::new(2, &set_ups().replace("lease_s = 1.0", "lease_s = 12.0"), 0.0);
    let mut leads = None;
    until("a lease and a margin after the start there is a leader", || {
        let contents = fleet.cluster.contents();
        let head = contents.iter().find(|(key, _)| key.ends_with("budget/head"));
        leads = head.map(|(_, head)| usize::from(head.contains("\"b1\"")));
        leads.is_some()
    });
    // Whoever does not lead goes: a leader's own lease would have to end first.
    let leads = leads.unwrap_or(0);
    fleet.crowd(leads, 20, "acme", Duration::from_millis(10));
    fleet.crowd(1 - leads, 20, "acme", Duration::from_millis(10));
    reaches(&fleet, "both have a part", WHOLE * 7 / 10);
    fleet.program(1 - leads).terminate();
    let left = format!("member/b{}", 1 - leads);
    until("its row says that it has left", || {
        let contents = fleet.cluster.contents();
        contents.iter().any(|(key, row)| key.ends_with(&left) && row.contains("\"left\":true"))
            || !contents.iter().any(|(key, _)| key.ends_with(&left))
    });
    let gone = Instant::now();
    reaches(&fleet, "the other has it", WHOLE * 7 / 10);
    assert!(gone.elapsed() < 10 * SECOND, "its lease of 12 s was waited for: {:?}", gone.elapsed());
}

#[test]
fn a_flooding_tenant_holds_its_share_over_the_whole_fleet() {
    const SHARE: usize = 30;
    let mut fleet = Fleet::new(3, &format!("{TERMS}tenants = true\n"), SHARE as f64);
    // Four times what it may hold, most of it at one balancer.
    fleet.crowd(0, 80, "acme", 2 * SECOND);
    fleet.crowd(1, 40, "acme", 2 * SECOND);
    let holds = |fleet: &Fleet, least| fleet.sight.stands("acme").0 >= least;
    until("it has nearly its share", || holds(&fleet, SHARE * 8 / 10));
    fleet.kill(0);
    until("what stood at a killed one is the others' to give", || holds(&fleet, SHARE * 8 / 10));
    // One whose part has run out moves those that stand beyond its reserve.
    fleet.crowd(2, 40, "acme", 20 * SECOND);
    until("the third has some too", || holds(&fleet, SHARE * 8 / 10));
    fleet.breaks(2, Fault::Silent);
    fleet.program(2).logged("state=store-unreachable");
    sleep(4 * SECOND);
    let (_, most) = fleet.sight.stands("acme");
    assert!(most <= SHARE, "{most} stood at once, of {SHARE}");
}

#[test]
fn another_process_of_the_same_name_ends_the_part_of_the_first_one() {
    let mut fleet = Fleet::new(2, &set_ups(), 0.0);
    let began = Instant::now();
    fleet.crowd(0, 20, "acme", Duration::from_millis(10));
    reaches(&fleet, "it has a part", WHOLE * 6 / 10);
    let second = fleet.start(0);
    fleet.program(0).logged("state=superseded");
    let first = fleet.programs[0].replace(second);
    fleet.crowd(0, 20, "acme", Duration::from_millis(10));
    reaches(&fleet, "the second has it", WHOLE * 6 / 10);
    drop(first);
    let most = fleet.sight.most_within(began, SECOND);
    assert!(most <= WHOLE + WAY, "{most} within a second, of {WHOLE}");
}
