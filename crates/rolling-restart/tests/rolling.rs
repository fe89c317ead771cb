//! A fleet that is restarted one by one, and what goes wrong on the way.

use std::collections::BTreeMap;
use std::time::Duration;

use shorewharf_rolling_restart::{Fleet, Health, Report, Terms, roll};

const WELL: Health = Health { ready: true, targets: 10, avoided: 1 };
const TERMS: Terms = Terms { within: Duration::from_secs(10), settle: Duration::from_secs(2) };

/// Balancers that come back after so many looks, or as the test has it.
#[derive(Default)]
struct Emulated {
    /// Looks since a restart.
    looks: BTreeMap<usize, u32>,
    restarted: Vec<usize>,
    /// What one tells from so many looks after its restart on.
    tells: BTreeMap<(usize, u32), Result<Health, String>>,
    cannot: Option<usize>,
    /// One that is ill though nobody touched it, once another was restarted.
    ill: Option<(usize, usize)>,
}

impl Fleet for Emulated {
    fn restart(&mut self, balancer: usize) -> Result<(), String> {
        assert!(self.looks.insert(balancer, 0).is_none(), "restarted twice");
        self.restarted.push(balancer);
        if self.cannot == Some(balancer) { Err("no such unit".to_owned()) } else { Ok(()) }
    }

    fn ask(&mut self, balancer: usize) -> Result<Health, String> {
        if self.ill.is_some_and(|(ill, after)| ill == balancer && self.restarted.contains(&after)) {
            return Ok(Health { ready: false, ..WELL });
        }
        let Some(looks) = self.looks.get_mut(&balancer) else { return Ok(WELL) };
        *looks += 1;
        let looks = *looks;
        let last = self.tells.range((balancer, 0)..=(balancer, looks)).next_back();
        last.map_or(Ok(WELL), |(_, told)| told.clone())
    }

    fn pause(&mut self) -> Duration {
        Duration::from_secs(1)
    }
}

fn stopped(report: &Report) -> (usize, &str) {
    report.stopped.as_ref().map(|(b, why)| (*b, why.as_str())).expect("stopped")
}

#[test]
fn all_are_restarted_each_after_the_one_before_is_back_and_knowing() {
    let mut fleet = Emulated::default();
    fleet.tells.insert((1, 0), Err("refused".into()));
    fleet.tells.insert((1, 3), Ok(Health { ready: true, targets: 0, avoided: 0 }));
    fleet.tells.insert((1, 6), Ok(WELL));
    let report = roll(&mut fleet, 3, TERMS);
    assert_eq!(report, Report { done: vec![0, 1, 2], stopped: None, left: vec![] });
    assert!(fleet.looks[&1] >= 8, "it is to stay well: {} looks", fleet.looks[&1]);
}

#[test]
fn the_first_sign_of_trouble_stops_it_and_the_rest_is_left_as_it_was() {
    let mut fleet = Emulated { cannot: Some(1), ..Emulated::default() };
    let report = roll(&mut fleet, 4, TERMS);
    assert_eq!(
        (report.done.clone(), stopped(&report), report.left.clone()),
        (vec![0], (1, "no such unit"), vec![2, 3])
    );
    for (told, why) in [
        (Err("nobody".to_owned()), "after 10 s: nobody"),
        (Ok(Health { ready: false, ..WELL }), "it does not take clients after 10 s"),
        (
            Ok(Health { targets: 4, ..WELL }),
            "after 10 s it knows 4 servers, 1 of them avoided, and knew 10 before",
        ),
        (
            Ok(Health { avoided: 6, ..WELL }),
            "after 10 s it knows 10 servers, 6 of them avoided, and knew 10 before",
        ),
    ] {
        let mut fleet = Emulated::default();
        fleet.tells.insert((0, 0), told);
        let report = roll(&mut fleet, 2, TERMS);
        assert_eq!((stopped(&report), report.left.clone(), fleet.restarted), ((0, why), vec![1], vec![0]));
    }
}

#[test]
fn nobody_is_restarted_while_another_one_is_ill() {
    let mut fleet = Emulated { ill: Some((3, 0)), ..Emulated::default() };
    let report = roll(&mut fleet, 4, TERMS);
    assert_eq!((report.done.clone(), report.left.clone()), (vec![0], vec![1, 2, 3]));
    assert_eq!(stopped(&report), (3, "it does not take clients"));
}

#[test]
fn one_that_comes_and_goes_is_not_back() {
    let mut fleet = Emulated::default();
    for look in (0..40).step_by(2) {
        fleet.tells.insert((0, look), Ok(WELL));
        fleet.tells.insert((0, look + 1), Err("gone again".into()));
    }
    let report = roll(&mut fleet, 1, TERMS);
    assert_eq!(stopped(&report), (0, "after 10 s: gone again"));
}
