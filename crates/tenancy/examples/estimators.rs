//! How wrong each estimate of an instance's own part gets: a fleet of instances that can't talk, in situations that
//! make its parts uneven. Prints, for each way to estimate, how many clients of tenants within their shares were turned
//! away, and what the flooding tenant held of its share. `cargo run --release -p shorewharf-tenancy --example estimators`

use std::collections::BinaryHeap;

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, Exp1};
use rand_pcg::Pcg64Mcg;
use shorewharf_tenancy::{Limits, Place, Tenancy, Terms, Verdict};
use shorewharf_units::Micros;

const SHARES: [f64; 4] = [380.0, 290.0, 180.0, 150.0];
const FLOODER: usize = 2;
const LIFE_S: f64 = 20.0;
const S: f64 = 1e6;
/// A flood begins then, and an instance dies then; the run ends then.
const TURNS: f64 = 60.0;
const ENDS: f64 = 120.0;

/// How an instance learns its part.
#[derive(Clone, Copy, Debug)]
enum Way {
    /// One over the number of instances.
    Even,
    /// The rate of its own arrivals over the sum of all shares of set-ups.
    Arrivals,
    /// What tenancy itself does.
    LowerThird,
    /// Somebody who sees everything says it.
    Told,
}

/// A situation: the parts of the traffic, what tenants use of their shares, and what goes wrong.
struct Case {
    name: &'static str,
    parts: [f64; 4],
    usage: f64,
    flood: f64,
    dies: bool,
}

struct Fleet {
    instances: Vec<Tenancy>,
    parts: Vec<f64>,
    seen: Vec<f64>,
    ends: BinaryHeap<std::cmp::Reverse<(Micros, usize, usize)>>,
    held: [f64; 4],
}

fn draw(rng: &mut Pcg64Mcg, parts: &[f64]) -> usize {
    let mut lot = rng.random::<f64>() * parts.iter().sum::<f64>();
    parts
        .iter()
        .position(|p| {
            lot -= p;
            lot < 0.0
        })
        .unwrap_or(0)
}

fn play(case: &Case, way: Way, seed: u64) -> (f64, f64, f64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let n = case.parts.len();
    let per_s: f64 = SHARES.iter().sum::<f64>() / LIFE_S;
    let mut fleet = Fleet {
        instances: (0..n).map(|_| Tenancy::new(Terms::new(n as f64), 0)).collect(),
        parts: case.parts.to_vec(),
        seen: vec![0.0; n],
        ends: BinaryHeap::new(),
        held: [0.0; 4],
    };
    for t in &mut fleet.instances {
        for (place, share) in SHARES.iter().enumerate() {
            t.set(0, Place(place), Some(Limits::new(*share, share / LIFE_S).expect("in range")));
        }
    }
    let (mut asked, mut away, mut flooder, mut all, mut looks) = (0.0, 0.0, 0.0, 0.0, 0.0);
    let (mut now, mut next_look, mut died) = (0.0, 1.0, false);
    while now < ENDS {
        let flooding = if now >= TURNS { case.flood } else { 1.0 };
        let rates: Vec<f64> = (0..4)
            .map(|t| SHARES[t] / LIFE_S * case.usage * if t == FLOODER { flooding } else { 1.0 })
            .collect();
        now += rng.sample::<f64, _>(Exp1) / rates.iter().sum::<f64>();
        let at = (now * S) as Micros;
        while let Some(&std::cmp::Reverse((end, i, t))) = fleet.ends.peek().filter(|e| e.0.0 <= at) {
            fleet.ends.pop();
            if !(died && i == 0) {
                fleet.instances[i].ended(end, Place(t));
                fleet.held[t] -= 1.0;
            }
        }
        if case.dies && now >= TURNS && !died {
            // Its clients come again at its neighbour, and so does all that follows.
            died = true;
            fleet.parts[1] += fleet.parts[0];
            fleet.parts[0] = 0.0;
            let moved: Vec<_> = fleet.ends.iter().filter(|e| e.0.1 == 0).map(|e| (e.0.0, e.0.2)).collect();
            for (end, t) in moved {
                asked += 1.0;
                fleet.held[t] -= 1.0;
                away += f64::from(u8::from(!comes(&mut fleet, at, 1, t, end, true)));
            }
        }
        if now >= next_look {
            next_look += 1.0;
            for i in 0..n {
                fleet.seen[i] *= 0.9;
                let told = match way {
                    Way::Even => Some(1.0 / n as f64),
                    Way::Told => Some(fleet.parts[i]).filter(|p| *p > 0.0),
                    Way::Arrivals => Some((fleet.seen[i] * 0.1 / per_s).clamp(0.01, 1.0)),
                    Way::LowerThird => None,
                };
                fleet.instances[i].tell_part(told);
            }
            if now >= TURNS + 20.0 {
                (flooder, looks) = (flooder + fleet.held[FLOODER], looks + 1.0);
                all += fleet.held.iter().sum::<f64>();
            }
        }
        let (t, i) = (draw(&mut rng, &rates), draw(&mut rng, &fleet.parts));
        fleet.seen[i] += 1.0;
        let life = Exp::new(1.0 / LIFE_S).expect("above 0").sample(&mut rng);
        let served = comes(&mut fleet, at, i, t, at + (life * S) as Micros, false);
        if t != FLOODER || flooding == 1.0 {
            asked += 1.0;
            away += f64::from(u8::from(!served));
        }
    }
    (away / asked, flooder / looks / SHARES[FLOODER], all / looks / SHARES.iter().sum::<f64>())
}

fn comes(fleet: &mut Fleet, at: Micros, i: usize, t: usize, end: Micros, again: bool) -> bool {
    let instance = &mut fleet.instances[i];
    if instance.asked(at, Place(t), again) != Verdict::Admit {
        return false;
    }
    instance.taken(at);
    instance.up(at, Place(t));
    fleet.held[t] += 1.0;
    fleet.ends.push(std::cmp::Reverse((end, i, t)));
    true
}

fn main() {
    let even = [0.25; 4];
    let skewed = [0.45, 0.25, 0.2, 0.1];
    let case = |name, parts, usage, flood, dies| Case { name, parts, usage, flood, dies };
    let cases = [
        case("even, 0.3 in use", even, 0.3, 1.0, false),
        case("even, 0.9 in use", even, 0.9, 1.0, false),
        case("skewed, 0.3 in use", skewed, 0.3, 1.0, false),
        case("skewed, 0.9 in use", skewed, 0.9, 1.0, false),
        case("the busiest of skewed dies, 0.5 in use", skewed, 0.5, 1.0, true),
        case("even, 0.3 in use, flood", even, 0.3, 33.0, false),
        case("skewed, 0.3 in use, flood", skewed, 0.3, 33.0, false),
        case("even, 0.7 in use, flood", even, 0.7, 14.0, false),
        case("skewed, 0.7 in use, flood", skewed, 0.7, 14.0, false),
    ];
    println!("| situation | even | arrivals | lower third | told |\n| --- | --- | --- | --- | --- |");
    for case in &cases {
        let cells = [Way::Even, Way::Arrivals, Way::LowerThird, Way::Told].map(|way| {
            let runs: Vec<_> = (1..=5).map(|seed| play(case, way, seed)).collect();
            let mean = |of: fn(&(f64, f64, f64)) -> f64| runs.iter().map(of).sum::<f64>() / runs.len() as f64;
            format!("{:.1} %; {:.2}; {:.2}", mean(|r| r.0) * 100.0, mean(|r| r.1), mean(|r| r.2))
        });
        println!("| {} | {} |", case.name, cells.join(" | "));
    }
}
