//! Any course of events, held against a model that looks at every tenant each time.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shorewharf_tenancy::{Limits, Place, Tenancy, Terms, Verdict, Why};
use shorewharf_units::Micros;

const TENANTS: usize = 6;

#[derive(Clone, Debug)]
enum Step {
    Asks { place: usize, returning: bool, refused: bool },
    Ends { which: usize },
    Share { place: usize, connections: f64 },
    Remove { place: usize },
    Waits { us: Micros },
}

fn step() -> impl Strategy<Value = Step> {
    let place = 0..TENANTS;
    prop_oneof![
        12 => (place.clone(), any::<bool>(), prop::bool::weighted(0.05))
            .prop_map(|(place, returning, refused)| Step::Asks { place, returning, refused }),
        // One tenant asks more than all others together.
        8 => any::<bool>().prop_map(|returning| Step::Asks { place: 0, returning, refused: false }),
        9 => any::<usize>().prop_map(|which| Step::Ends { which }),
        1 => (place.clone(), 0.0..120.0).prop_map(|(place, connections)| Step::Share { place, connections }),
        1 => prop::bool::weighted(0.2).prop_flat_map(move |_| place.clone()).prop_map(|place| Step::Remove { place }),
        6 => (1_000u64..400_000).prop_map(|us| Step::Waits { us }),
    ]
}

/// What anybody could count who stood by.
#[derive(Clone, Debug, Default)]
struct Model {
    shares: Vec<f64>,
    removed: Vec<bool>,
    /// Who stands, oldest first.
    standing: Vec<usize>,
}

impl Model {
    fn held(&self, place: usize) -> usize {
        self.standing.iter().filter(|p| **p == place).count()
    }
}

fn limits(connections: f64) -> Option<Limits> {
    // Set-ups don't bind here: they have a test of their own.
    Some(Limits::new(connections, 1e6).expect("in range"))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(9),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Failure: any mix of floods, ends, lowered shares, removals and refusals. Promises: what is lent and what is own
    /// comes to what stands; a tenant within its part is never turned away; beyond what is to lend nobody is admitted
    /// who is the furthest beyond its share; and nothing ends or moves but what its tenant's removal has moved.
    #[test]
    fn shares_add_up_and_hold(steps in prop::collection::vec(step(), 1..400)) {
        let mut now: Micros = 1_000_000;
        let terms = Terms { moves_per_s: 50.0, ..Terms::new(4.0) };
        let mut tenancy = Tenancy::new(terms, now);
        let mut model = Model { shares: vec![40.0; TENANTS], removed: vec![false; TENANTS], ..Model::default() };
        for place in 0..TENANTS {
            tenancy.set(now, Place(place), limits(40.0));
        }
        let mut moving = [0usize; TENANTS];
        for step in steps {
            match step {
                Step::Waits { us } => now += us,
                Step::Asks { place, returning, refused } => {
                    let before = tenancy.tenant(now, Place(place)).expect("a tenant");
                    let stats = tenancy.stats(now);
                    let verdict = tenancy.asked(now, Place(place), returning);
                    match verdict {
                        Verdict::Admit => {
                            prop_assert!(!model.removed[place], "a removed tenant's client was admitted");
                            if before.used as f64 + 1.0 > before.own {
                                prop_assert!(!before.lowered, "lent to a tenant that is over a lowered share");
                                let fuller = (0..TENANTS).any(|p| {
                                    let share = |p: usize| model.shares[p].max(f64::MIN_POSITIVE);
                                    let full = |p: usize| model.held(p) as f64 / share(p);
                                    p != place && full(p) > full(place) / 1.1
                                });
                                let room = stats.used < stats.lends_up_to;
                                prop_assert!(room || fuller, "lent {stats:?} to the fullest, {place}");
                            }
                            tenancy.taken(now);
                            if refused {
                                tenancy.refused(now, Place(place));
                            } else {
                                tenancy.up(now, Place(place));
                                model.standing.push(place);
                            }
                        }
                        Verdict::TurnAway { after, why } => {
                            prop_assert!(after <= terms.longest_wait && after > 0, "{after}");
                            prop_assert_eq!(model.removed[place], why == Why::Removed);
                            let within = before.used as f64 + 1.0 <= before.own;
                            prop_assert!(matches!(why, Why::Removed | Why::Returns) || !within, "{why:?} within its part: {before:?}");
                        }
                    }
                }
                Step::Ends { which } if !model.standing.is_empty() => {
                    let place = model.standing.remove(which % model.standing.len());
                    tenancy.ended(now, Place(place));
                    moving[place] = moving[place].saturating_sub(1);
                }
                Step::Ends { .. } => {}
                Step::Share { place, connections } => {
                    tenancy.set(now, Place(place), limits(connections));
                    if !model.removed[place] {
                        model.shares[place] = connections;
                    }
                }
                Step::Remove { place } => {
                    tenancy.remove(now, Place(place));
                    (model.removed[place], model.shares[place]) = (true, 0.0);
                }
            }
            if tenancy.next_due().is_some_and(|due| due <= now) {
                for moves in tenancy.due(now) {
                    let place = moves.place.0;
                    prop_assert!(model.removed[place], "a stream of a tenant that lives was moved");
                    moving[place] += moves.count as usize;
                    prop_assert!(moving[place] <= model.held(place), "more was moved than stands");
                }
            }
            let stats = tenancy.stats(now);
            for (place, t) in &stats.tenants {
                prop_assert_eq!(t.used as usize, model.held(place.0));
                let own = (t.used as f64).min(t.own);
                prop_assert!(t.share.is_none() || (own + t.borrowed - t.used as f64).abs() < 1e-9, "{t:?}");
            }
            prop_assert!((stats.used - model.standing.len() as f64).abs() < 1e-3, "{stats:?}");
            prop_assert!((stats.shares - model.shares.iter().sum::<f64>()).abs() < 1e-2, "{stats:?}");
        }
    }
}
