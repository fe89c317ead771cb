//! What tenants are promised, each against the failure that would break it.

use shorewharf_tenancy::{Limits, Place, Stats, Tenancy, Terms, Verdict, Why};
use shorewharf_units::Micros;

const S: Micros = 1_000_000;

/// An instance with tenants of these shares, where a connection lives for `life`.
struct Rig {
    tenancy: Tenancy,
    now: Micros,
    life: Micros,
    ends: Vec<(Micros, Place)>,
}

impl Rig {
    fn new(instances: f64, shares: &[f64]) -> Rig {
        let mut rig = Rig {
            tenancy: Tenancy::new(Terms { moves_per_s: 20.0, ..Terms::new(instances) }, S),
            now: S,
            life: 20 * S,
            ends: Vec::new(),
        };
        for (place, share) in shares.iter().enumerate() {
            rig.set(place, *share);
        }
        rig
    }

    fn set(&mut self, place: usize, share: f64) {
        self.tenancy.set(self.now, Place(place), Some(Limits::new(share, share / 20.0).expect("in range")));
    }

    fn wait(&mut self, time: Micros) {
        self.now += time;
        let now = self.now;
        let (over, ends): (Vec<_>, Vec<_>) = self.ends.drain(..).partition(|e| e.0 <= now);
        self.ends = ends;
        over.into_iter().for_each(|(_, place)| self.tenancy.ended(now, place));
    }

    fn asks(&mut self, place: usize, returning: bool) -> Verdict {
        let verdict = self.tenancy.asked(self.now, Place(place), returning);
        if verdict == Verdict::Admit {
            self.tenancy.taken(self.now);
            self.tenancy.up(self.now, Place(place));
            self.ends.push((self.now + self.life, Place(place)));
        }
        verdict
    }

    /// Clients of each tenant come so many a second; tells how many of each were turned away.
    fn comes(&mut self, time: Micros, per_s: &[f64]) -> Vec<u64> {
        let mut away = vec![0; per_s.len()];
        let mut due = vec![0.0; per_s.len()];
        for _ in 0..time / 10_000 {
            self.wait(10_000);
            for (place, rate) in per_s.iter().enumerate() {
                due[place] += rate / 100.0;
                while due[place] >= 1.0 {
                    due[place] -= 1.0;
                    away[place] += u64::from(self.asks(place, false) != Verdict::Admit);
                }
            }
        }
        away
    }

    fn stats(&self) -> Stats {
        self.tenancy.stats(self.now)
    }

    fn held(&self, place: usize) -> u64 {
        self.stats().tenants[place].1.used
    }
}

/// Failure: a tenant asks for ten times its share. Promise: it holds its own part and what is to lend, the others are
/// never turned away, and what was lent comes back as they need it, with nobody cut off.
#[test]
fn a_flood_is_its_own_tenants_affair() {
    let mut rig = Rig::new(4.0, &[400.0, 400.0, 400.0, 400.0]);
    let calm = [1.0, 1.0, 1.0, 1.0];
    assert_eq!(rig.comes(60 * S, &calm), [0; 4]);
    let away = rig.comes(60 * S, &[50.0, 1.0, 1.0, 1.0]);
    assert!(away[0] > 2000 && away[1..] == [0; 3], "{away:?}");
    let lends = rig.stats().lends_up_to;
    let (held, others) = (rig.held(0) as f64, (1..4).map(|p| rig.held(p)).sum::<u64>() as f64);
    assert!(
        held >= 100.0 && (held + others - lends).abs() <= 3.0,
        "{held} beside {others}, lends to {lends}"
    );
    // The others come for more of theirs.
    let away = rig.comes(60 * S, &[50.0, 2.0, 2.0, 2.0]);
    assert_eq!(away[1..], [0; 3]);
    assert!(rig.held(0) <= 103, "{} still lent", rig.held(0) - 100);
    assert!(rig.stats().tenants[0].1.turned_away_for(Why::Connections) > 2000);
}

/// Failure: all tenants' clients come at once, as after a sibling's death, and an instance has far more than an even
/// part of the traffic. Promise: that is nobody's flood, and nobody is turned away.
#[test]
fn a_storm_of_everybody_is_nobodys_flood() {
    let mut rig = Rig::new(8.0, &[400.0, 300.0, 200.0, 100.0]);
    assert_eq!(rig.comes(40 * S, &[4.0, 3.0, 2.0, 1.0]), [0; 4]);
    assert_eq!(rig.comes(2 * S, &[80.0, 60.0, 40.0, 20.0]), [0; 4]);
    // An eighth of 1,000 would be 125.
    assert!(rig.stats().used > 500.0 && rig.stats().part > 0.9, "{:?}", rig.stats());
}

/// Failure: the connections of a tenant that may not borrow all drop and come again within a second. Promise: its share
/// of returns is admitted, the rest waits with a time to come back, spread, and claims to return without a connection
/// that ended count as new ones.
#[test]
fn returns_have_a_share_of_their_own() {
    let mut rig = Rig::new(1.0, &[200.0, 200.0, 200.0, 200.0]);
    let strict = Limits::new(200.0, 10.0).expect("in range").without_borrowing();
    rig.tenancy.set(rig.now, Place(0), Some(strict));
    rig.comes(60 * S, &[20.0, 2.0, 2.0, 2.0]);
    let held = rig.held(0);
    assert_eq!(held, 200);
    let now = rig.now;
    let dropped: Vec<Place> = rig.ends.extract_if(.., |e| e.1 == Place(0)).map(|e| e.1).collect();
    dropped.iter().for_each(|p| rig.tenancy.ended(now, *p));
    let (mut back, mut waits) = (0, Vec::new());
    for _ in 0..held {
        rig.now += S / held;
        match rig.asks(0, true) {
            Verdict::Admit => back += 1,
            Verdict::TurnAway { after, why } => {
                assert_eq!(why, Why::Returns, "{back} of {held}: {:?}", rig.stats());
                waits.push(after);
            }
        }
    }
    assert!((100..200).contains(&back), "{back} of {held} back within a second");
    waits.dedup();
    assert!(waits.len() > 10 && waits.iter().all(|w| (50_000..=1_500_000).contains(w)), "{waits:?}");
    // A tenant that lost nothing can't have anybody return.
    let away = (0..500).filter(|_| rig.asks(1, true) != Verdict::Admit).count();
    assert!(away > 300, "{away}");
    assert!(rig.stats().tenants[1].1.turned_away_for(Why::SetUps) > 0);
}

/// Failure: a share is lowered below what stands, raised, a tenant is removed with hundreds standing, and made anew.
/// Promise: nobody is cut off, nothing new until it is under; a removed tenant's streams move at the rate and its
/// clients are told so; its place stays its own.
#[test]
fn tenants_change_and_go() {
    let mut rig = Rig::new(1.0, &[300.0, 300.0]);
    rig.comes(40 * S, &[10.0, 10.0]);
    let held = rig.held(0);
    rig.set(0, 50.0);
    assert_eq!((rig.held(0), rig.stats().tenants[0].1.lowered), (held, true));
    assert!(matches!(rig.asks(0, false), Verdict::TurnAway { why: Why::Lowered, .. }));
    rig.wait(19 * S);
    assert!(rig.held(0) < 50 && rig.asks(0, false) == Verdict::Admit);

    let stood = rig.held(1);
    rig.tenancy.remove(rig.now, Place(1));
    rig.set(1, 300.0);
    assert!(matches!(rig.asks(1, true), Verdict::TurnAway { why: Why::Removed, .. }));
    rig.ends.clear();
    let (began, mut moved) = (rig.now, 0);
    while let Some(due) = rig.tenancy.next_due() {
        rig.now = rig.now.max(due);
        for moves in rig.tenancy.due(rig.now) {
            assert_eq!(moves.place, Place(1));
            moved += u64::from(moves.count);
            (0..moves.count).for_each(|_| rig.tenancy.ended(rig.now, Place(1)));
        }
    }
    let took = (rig.now - began) as f64 / 1e6;
    assert_eq!((moved, rig.held(1)), (stood, 0));
    assert!((took - stood as f64 / 20.0).abs() < 1.0, "{stood} moved within {took} s");
    // Anew, at another place.
    rig.set(2, 300.0);
    assert_eq!((rig.asks(2, false), rig.stats().tenants[1].1.removed), (Verdict::Admit, true));
    assert!(matches!(rig.asks(9, false), Verdict::TurnAway { why: Why::Unknown, .. }));
}

/// Failure: the module refuses what was admitted, since half of the fleet has died. Promise: lending ends at once, and
/// with rationing the tenants that are fullest for their weights wait, while the emptiest is not turned away.
#[test]
fn short_capacity_goes_by_weight_and_use() {
    for ration in [false, true] {
        let mut rig = Rig::new(1.0, &[100.0, 100.0, 100.0]);
        rig.tenancy.set_terms(Terms { ration, ..Terms::new(1.0) });
        let heavy = Limits::new(100.0, 5.0).and_then(|l| l.weighing(4.0)).expect("in range");
        rig.tenancy.set(rig.now, Place(1), Some(heavy));
        rig.comes(60 * S, &[4.0, 4.0, 1.0]);
        for round in 0..8 {
            for _ in 0..6 {
                if rig.tenancy.asked(rig.now, Place(2), false) == Verdict::Admit {
                    rig.tenancy.taken(rig.now);
                    rig.tenancy.refused(rig.now, Place(2));
                }
            }
            rig.wait(500_000 * u64::from(round < 7));
        }
        assert!(rig.stats().short.is_some());
        let verdicts = [0, 1, 2].map(|p| rig.tenancy.asked(rig.now, Place(p), false) == Verdict::Admit);
        assert_eq!(verdicts, [!ration, true, true], "rationing: {ration}");
    }
}
