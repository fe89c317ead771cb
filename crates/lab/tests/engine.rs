//! Days in virtual time with the real driver and decision module: same bytes for any number of threads, and what
//! balancers owe their clients when nodes fall silent, balancers die or the list is all they know.

use std::path::Path;

use shorewharf_emulator::day::Day;
use shorewharf_emulator::edge::BalancerId;
use shorewharf_emulator::virtual_time::{Options, RunResult, run};
use shorewharf_emulator::world::settings;
use shorewharf_lab::instances::{PolicyChoice, PolicyHosts};
use shorewharf_lab::scenario;
use shorewharf_units::{Micros, seconds_from_micros};

fn day(text: &str) -> Day {
    let beside = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/day.toml");
    scenario::from_text(&beside, &format!("extends = \"base.toml\"\n{text}"), &[], Some(7))
        .expect("a scenario")
        .day
}

fn play(day: &Day, who: PolicyChoice, threads: usize) -> RunResult {
    run(day, &PolicyHosts::new(who), &Options { threads, progress: None }).expect("a run")
}

fn bytes(r: &RunResult) -> Vec<u8> {
    serde_json::to_vec(&(
        r,
        r.series.set_up.iter_recorded().map(|v| v.value_iterated_to()).collect::<Vec<_>>(),
    ))
    .expect("a result is JSON")
}

const ALL_SORTS: &str = r#"
length_s = 40
[traffic]
load = 0.6
[[faults]]
kind = "crash"
at_s = 5
len_s = 8
on = [1, 6]
[[faults]]
kind = "hang"
at_s = 10
len_s = 6
on = [2]
[[faults]]
kind = "cut-off"
at_s = 14
len_s = 9
on = [3]
[[faults]]
kind = "balancer-kill"
at_s = 12
len_s = 5
on = [0]
[[faults]]
kind = "balancer-restart"
at_s = 22
len_s = 5
on = [1]
[[faults]]
kind = "reconnect"
at_s = 18
len_s = 1
size = 0.5
[[faults]]
kind = "list-down"
at_s = 27
len_s = 4
"#;

/// A result that depends on how many threads played it can't be reproduced or compared: one that shares state
/// between balancers, or carries out their wishes in order of completion, differs here.
#[test]
fn the_same_day_gives_the_same_bytes_on_any_number_of_threads() {
    let mut day = day(ALL_SORTS);
    for who in [PolicyChoice::Module, PolicyChoice::Oracle] {
        let one = play(&day, who, 1);
        assert!(
            one.series.seconds.iter().map(|s| s.ups).sum::<u32>() > 200,
            "{who:?}: hardly anything was played"
        );
        for threads in [3, 8] {
            assert!(
                bytes(&one) == bytes(&play(&day, who, threads)),
                "{who:?}: {threads} threads differ from one"
            );
        }
    }
    let before = bytes(&play(&day, PolicyChoice::Module, 1));
    day.seed += 1;
    assert!(before != bytes(&play(&day, PolicyChoice::Module, 1)), "another seed draws the same day");
}

/// The module keeps the rules on a day with every kind of trouble; a fault of the emulated peers (an answer lost, a
/// second attempt, a line to a node that drains) shows here as a break.
#[test]
fn the_module_keeps_the_rules_through_all_sorts_of_trouble() {
    let result = play(&day(ALL_SORTS), PolicyChoice::Module, 1);
    assert!(result.verdict.is_clean(), "{:#?}", result.verdict.lines().collect::<Vec<_>>());
    assert!(result.outcome.g > 0.5, "G {}", result.outcome.g);
}

fn standing(r: &RunResult, node: usize, second: usize) -> u32 {
    r.series.nodes[node].connections[second]
}

/// No message of a standing connection is an event, so a node's silence is only noticed if the world sends the lines
/// that then matter: a line within 2 s, unanswered for 1.5 s, and the client is moved. Else its clients would stay.
#[test]
fn clients_of_a_silent_node_are_moved_within_the_time_for_it() {
    for kind in ["hang", "cut-off"] {
        let text =
            format!("length_s = 30\n[[faults]]\nkind = \"{kind}\"\nat_s = 10\nlen_s = 15\non = [0, 1, 2]\n");
        let result = play(&day(&text), PolicyChoice::Module, 1);
        let held = |second| (0..3).map(|n| standing(&result, n, second)).sum::<u32>();
        let moved: u32 = result.series.seconds[10..14].iter().map(|s| s.moves).sum();
        assert!(held(8) > 10, "{kind}: too few stood there to show anything");
        assert!(moved >= held(8) / 2, "{kind}: {} stood, {moved} were moved within 4 s", held(8));
        if kind == "hang" {
            // Seconds are counted at their ends: 2 s to the next line, 1.5 s of silence, and the sweep.
            assert!(held(14) == 0, "{kind}: {} still stand at a silent node", held(14));
        }
        assert!(result.verdict.is_clean(), "{kind}: {:?}", result.verdict.lines().collect::<Vec<_>>());
    }
}

/// A killed balancer takes its connections with it and no request of the others; a planned restart cuts off nobody.
#[test]
fn a_killed_balancer_breaks_its_own_connections_and_a_planned_restart_breaks_none() {
    let text = |kind: &str| {
        format!("length_s = 30\n[[faults]]\nkind = \"{kind}\"\nat_s = 10\nlen_s = 5\non = [0]\n")
    };
    let calm = play(&day("length_s = 30"), PolicyChoice::Module, 1);
    let killed = play(&day(&text("balancer-kill")), PolicyChoice::Module, 1);
    let planned = play(&day(&text("balancer-restart")), PolicyChoice::Module, 1);
    let broken = |r: &RunResult| r.series.ends.get("broken").copied().unwrap_or(0);
    assert_eq!(broken(&calm), 0, "connections broke on a calm day");
    assert!(broken(&killed) >= 5, "{} broke with their balancer", broken(&killed));
    assert_eq!(broken(&planned), 0, "a planned restart cut off clients");
    for (name, r) in [("killed", &killed), ("planned", &planned)] {
        assert!(r.verdict.is_clean(), "{name}: {:?}", r.verdict.lines().collect::<Vec<_>>());
        let at = |second: usize| r.series.nodes.iter().map(|n| n.connections[second]).sum::<u32>();
        assert!(at(20) * 10 > at(8) * 8, "{name}: {} stood before, {} after", at(8), at(20));
    }
}

/// The order of policies is what the lab is for: a world in which the module is no better than chance, or chance as
/// good as one that sees the nodes' true state, tells nothing of decisions.
#[test]
fn policies_come_out_in_the_order_of_what_they_know() {
    let mut day = day("length_s = 40\n[traffic]\nload = 0.7\n");
    let mut g = |who| {
        let sum = |seed| {
            day.seed = seed;
            play(&day, who, 1).outcome.g
        };
        (1..=3).map(sum).sum::<f64>() / 3.0
    };
    let (module, random, oracle) =
        (g(PolicyChoice::Module), g(PolicyChoice::Random), g(PolicyChoice::Oracle));
    assert!(module > random + 0.05, "module {module:.3}, random {random:.3}");
    assert!(oracle > random + 0.05, "oracle {oracle:.3}, random {random:.3}");
}

/// What stands from before the day stands at its very start: the first second must not be lost to set-ups.
#[test]
fn connections_from_before_the_day_stand_at_its_start() {
    let result = play(&day("length_s = 5"), PolicyChoice::Module, 1);
    let first = &result.outcome.seconds[0];
    assert!(first.asked > 20.0 && first.earned > 0.95 * first.asked, "{first:?}");
}

/// The settings text is the only thing a balancer is told; its reader falls back to defaults on what is missing, so a
/// misnamed key would go unnoticed.
#[test]
fn the_settings_text_brings_the_days_figures_to_the_module() {
    let mut day = day("length_s = 5");
    let s = |t: Micros| seconds_from_micros(t);
    day.limits.probes = true;
    day.limits.max_attempts = 4;
    day.clients.max_retry_after = 1_750_000;
    day.rules.stated_cold = 23_000_000;
    day.rules.fall_multiple = 2.5;
    day.rules.ask_within = 9_000_000;
    day.prices.moves = 0.02;
    let text = settings::json(&day, BalancerId(2));
    let set = shorewharf_settings::parse(text.as_bytes()).expect("settings").settings;
    assert_eq!(
        (set.instance_index, set.instance_count, set.zone),
        (2, day.balancers.len() as f64, day.balancers[2].zone)
    );
    assert_eq!(set.zone_count, day.zones.len() as f64);
    assert!(
        set.polls_discovery
            && set.may_probe
            && !set.is_pass_through
            && set.has_groups == (day.streams.group_cost > 0.0)
    );
    assert_eq!((set.max_attempts, set.max_retry_after, set.warm_up_time), (4, 1.75, 23.0));
    assert_eq!((set.overload_ratio, set.poll_interval, set.migration_cost), (2.5, 9.0, 0.02));
    assert_eq!((set.tick, set.connect_timeout), (s(day.tick), s(day.limits.connect_timeout)));
    assert_eq!(set.cold_capacity_ratio, day.rules.stated_cold_from);
    let class = &set.classes[0];
    assert_eq!(
        (class.latency_objective, class.message_latency_objective),
        (s(day.classes[0].aim), s(day.classes[0].message_aim))
    );
    assert_eq!(set.tenant_connection_quotas.len(), day.tenants.len());
    assert!(set.tenant_connection_quotas.iter().all(|q| *q >= 1.0));
}
