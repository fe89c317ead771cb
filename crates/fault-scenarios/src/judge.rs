//! Holds what was seen at the stand-ins against the promises. What a balancer says of itself counts for nothing.

use shorewharf_emulator::audit::{Reason, Rule, RuleViolation as Broken, Verdict as Rules};
use shorewharf_emulator::sockets::network_faults::{NetworkFault, NetworkFaultKind};
use shorewharf_emulator::world::series::NodeSeries;
use shorewharf_units::{Micros, seconds_from_micros};

use crate::even::{Evenness, Worst, bursts};
use crate::file::{Holds, Promises, Within};

/// So long after its end a break still excuses: whoever asked or wrote meanwhile has to be told, a line is late after a
/// second.
const AFTER: Micros = 1_100_000;

/// A balancer that did not hear of the list has so long to notice it and ask anew.
const NEWS: Micros = 6_000_000;

/// What was seen.
#[derive(Debug)]
pub struct Seen<'a> {
    /// What the auditor found.
    pub rules: &'a Rules,
    /// Share of the whole day's worth that was served.
    pub served: f64,
    /// Worth asked for and served, for each step.
    pub worth: &'a [(f64, f64)],
    /// Length of a step, in seconds.
    pub step_s: f64,
    /// The nodes by second.
    pub nodes: &'a [NodeSeries],
    /// Set-ups that came at each node, for each slot of `slot_s` seconds.
    pub set_ups: &'a [Vec<u32>],
    /// Tenants by name.
    pub tenants: &'a [String],
    /// By second and tenant, the most connections that stood.
    pub held_most: &'a [Vec<f64>],
    /// Length of a slot.
    pub slot_s: f64,
    /// Processes that ended by themselves, and how.
    pub crashed: Vec<String>,
    /// What was broken.
    pub breaks: &'a [NetworkFault],
}

/// What became of one promise.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    /// The promise, by its key.
    pub promise: String,
    /// It held.
    pub kept: bool,
    /// What was seen, with time and place of the worst.
    pub seen: String,
    /// What was promised.
    pub wanted: String,
}

impl Verdict {
    fn new(promise: &str, kept: bool, seen: String, wanted: impl Into<String>) -> Verdict {
        Verdict { promise: promise.to_owned(), kept, seen, wanted: wanted.into() }
    }
}

/// Holds what was seen against the promises, in the order in which people should read it.
pub fn judge(promises: &Promises, seen: &Seen<'_>) -> Vec<Verdict> {
    let crashed = if seen.crashed.is_empty() { "none".to_owned() } else { seen.crashed.join("; ") };
    let mut all = vec![Verdict::new("processes", seen.crashed.is_empty(), crashed, "none ends by itself")];
    if promises.rules {
        all.push(rules(seen));
    }
    if let Some(least) = promises.served {
        let text = format!("{:.3}", seen.served);
        all.push(Verdict::new("served", seen.served >= least, text, format!("{least} at least")));
    }
    for band in &promises.served_within {
        let share = within(seen, band.from_s, band.to_s);
        let promise = format!("served from {} to {} s", band.from_s, band.to_s);
        let kept = share.is_some_and(|share| share >= band.least);
        let text = share.map_or("nobody asked".to_owned(), |share| format!("{share:.3}"));
        all.push(Verdict::new(&promise, kept, text, format!("{} at least", band.least)));
    }
    even(promises, seen, &mut all);
    all.extend(promises.set_ups_within.map(|within| rate(within, seen)));
    all.extend(promises.holds_most.iter().map(|holds| level(holds, seen)));
    all
}

/// The whole fleet's set-ups in every slot, every second, every five and every twenty, held against a rate.
fn rate(within: Within, seen: &Seen<'_>) -> Verdict {
    let slots: Vec<f64> = seen.set_ups.iter().map(|s| f64::from(s.iter().sum::<u32>())).collect();
    let second = (1.0 / seen.slot_s).round() as usize;
    let mut worst: Option<(f64, f64, f64, f64)> = None;
    for length in [1, second, 5 * second, 20 * second] {
        for (at, some) in slots.windows(length).enumerate() {
            let (begins, may) =
                (at as f64 * seen.slot_s, within.per_s * length as f64 * seen.slot_s + within.over);
            let came: f64 = some.iter().sum();
            if begins >= within.from_s && worst.is_none_or(|w| came - may > w.0) {
                worst = Some((came - may, came, length as f64 * seen.slot_s, begins));
            }
        }
    }
    let wanted = format!("{} a second and {} over at most", within.per_s, within.over);
    let Some((over, came, length, begins)) = worst else {
        return Verdict::new("set_ups_within", false, "nobody came".to_owned(), wanted);
    };
    let text = format!("{came:.0} in {length:.1} s from {begins:.1} s on");
    Verdict::new("set_ups_within", over <= 0.0, text, wanted)
}

/// The most that a tenant held at once.
fn level(holds: &Holds, seen: &Seen<'_>) -> Verdict {
    let promise = format!("holds_most {}", holds.tenant);
    let wanted = format!("{} at most", holds.most);
    let Some(tenant) = seen.tenants.iter().position(|t| *t == holds.tenant) else {
        return Verdict::new(&promise, false, "no such tenant".to_owned(), wanted);
    };
    let of = seen.held_most.iter().enumerate().filter(|(at, _)| *at as f64 >= holds.from_s);
    let most = of.filter_map(|(at, held)| Some((*held.get(tenant)?, at))).max_by(|a, b| a.0.total_cmp(&b.0));
    let (most, at) = most.unwrap_or_default();
    Verdict::new(&promise, most <= holds.most, format!("{most:.0} ({at} s)"), wanted)
}

fn even(promises: &Promises, seen: &Seen<'_>, all: &mut Vec<Verdict>) {
    let even = Evenness::of(promises, seen.nodes);
    let until = |at: f64| format!("up to {at:.0} s");
    let no_node = "no node took clients all the time";
    for (promise, bound, worst, most) in [
        ("load_most", promises.load_most, even.load_most, true),
        ("over_mean_most", promises.over_mean_most, even.over_mean_most, true),
        ("under_mean_least", promises.under_mean_least, even.under_mean_least, false),
    ] {
        all.extend(bound.map(|bound| held(promise, bound, worst, most, no_node, &until)));
    }
    if let Some(most) = promises.set_ups_most {
        let worst = bursts(seen.set_ups, seen.slot_s);
        all.push(held("set_ups_most", most, worst.or(Some(Worst::default())), true, "", &|at| {
            format!("{at:.1} s")
        }));
    }
}

fn held(
    promise: &str,
    bound: f64,
    worst: Option<Worst>,
    most: bool,
    none: &str,
    when: &dyn Fn(f64) -> String,
) -> Verdict {
    let wanted = format!("{bound} at {}", if most { "most" } else { "least" });
    let Some(w) = worst else { return Verdict::new(promise, false, none.to_owned(), wanted) };
    let kept = if most { w.x <= bound } else { w.x >= bound };
    Verdict::new(promise, kept, format!("{:.2} (node {}, {})", w.x, w.node, when(w.at_s)), wanted)
}

/// The share served of what was asked for in a stretch; none where nothing was.
fn within(seen: &Seen<'_>, from: f64, to: f64) -> Option<f64> {
    let step = |i: usize| i as f64 * seen.step_s;
    let some = seen.worth.iter().enumerate().filter(|(i, _)| step(*i) >= from && step(i + 1) <= to + 1e-9);
    let (asked, served) = some.fold((0.0, 0.0), |sum, (_, w)| (sum.0 + w.0, sum.1 + w.1));
    (asked > 0.0).then(|| served / asked)
}

/// Whether what was broken between the processes, and not the balancer, is why a rule looks broken.
fn excuses(s: &NetworkFault, b: &Broken) -> bool {
    let whose = s.balancers.iter().any(|who| who.0 == b.balancer);
    let during = (s.from..=s.to + AFTER).contains(&b.at) && whose;
    let on_link = || b.node.is_some_and(|node| s.nodes.iter().any(|n| n.0 == node));
    let own =
        matches!(b.reason, Reason::Forged | Reason::ServedBad | Reason::SecondAnswer | Reason::LineChanged);
    match s.what {
        // Whoever stands still answers nobody. What it sends when it goes on is its own.
        NetworkFaultKind::Stall => {
            during && !own && matches!(b.reason.rule(), Rule::NoRequestDropped | Rule::NoConnectionLost)
        }
        // Lines wait for the link, not for the balancer.
        NetworkFaultKind::Silent => during && on_link() && b.reason == Reason::LineHeld,
        // What a list has to tell counts as told 6 s after its watch fell silent, though it can't arrive.
        NetworkFaultKind::NewsLost => {
            (s.from..=s.to + NEWS).contains(&b.at) && whose && b.reason == Reason::SentToDraining
        }
        NetworkFaultKind::Refused
        | NetworkFaultKind::AnswersLost
        | NetworkFaultKind::Reset
        | NetworkFaultKind::Slow(_) => false,
        // What balancers tell each other no promise hangs on.
        NetworkFaultKind::NotesLost | NetworkFaultKind::NotesDoubled | NetworkFaultKind::NotesLate(_) => {
            false
        }
    }
}

fn rules(seen: &Seen<'_>) -> Verdict {
    let excused = |b: &Broken| seen.breaks.iter().any(|s| excuses(s, b));
    let kept: Vec<_> = seen.rules.breaks.iter().filter(|b| !excused(b)).collect();
    // Of each reason only some are kept in full: where all of those are excused, so are the others.
    let more: u64 = seen
        .rules
        .reasons
        .iter()
        .filter(|(reason, _)| kept.iter().any(|b| b.reason == **reason))
        .map(|(_, count)| *count)
        .sum();
    let text = match kept.first() {
        None if seen.rules.breaks.is_empty() => "kept".to_owned(),
        None => "kept but for what was broken between".to_owned(),
        Some(b) => {
            let at = seconds_from_micros(b.at);
            format!("{more} broken; the first at {at:.3} s by balancer {}: {}", b.balancer, b.reason.text())
        }
    };
    Verdict::new("rules", kept.is_empty(), text, "none broken, no connection lost")
}
