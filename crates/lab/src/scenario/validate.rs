//! Validation of a day's values: errors for values outside the range that the models support, warnings for
//! valid values that are probably mistakes.

use shorewharf_emulator::day::{Backoff, Day, FaultKind, Goal};
use shorewharf_emulator::sockets::misbehaving_clients::MisbehavingClients;
use shorewharf_units::Micros;

/// The errors and warnings found, each as the path of a key and a message.
#[derive(Default)]
pub(super) struct Findings {
    /// Errors; one is enough to make the scenario invalid.
    pub errors: Vec<(String, String)>,
    /// Warnings about valid values that are probably mistakes.
    pub warnings: Vec<(String, String)>,
}

impl Findings {
    fn error(&mut self, key: impl Into<String>, message: impl Into<String>) {
        self.errors.push((key.into(), message.into()));
    }

    fn warn(&mut self, key: impl Into<String>, message: impl Into<String>) {
        self.warnings.push((key.into(), message.into()));
    }

    fn within(&mut self, key: impl Into<String>, x: f64, min: f64, max: f64) {
        if !(min..=max).contains(&x) {
            let allowed = if max.is_finite() { format!("{min} to {max}") } else { format!("{min} or more") };
            self.error(key, format!("must be {allowed}, is {x}"));
        }
    }

    fn share(&mut self, key: impl Into<String>, x: f64) {
        self.within(key, x, 0.0, 1.0);
    }

    // For values that a model divides by.
    fn above_zero(&mut self, key: impl Into<String>, x: f64) {
        if !(x > 0.0 && x.is_finite()) {
            self.error(key, format!("must be a finite number above 0, is {x}"));
        }
    }

    fn duration_above_zero(&mut self, key: impl Into<String>, t: Micros) {
        if t == 0 {
            self.error(key, "must be above 0, is 0");
        }
    }

    fn index_within(&mut self, key: impl Into<String>, index: u32, item: &str, count: usize) {
        if index as usize >= count {
            let allowed = if count == 0 { "there are none".into() } else { format!("0 to {}", count - 1) };
            self.error(key, format!("no {item} with index {index}; allowed: {allowed}"));
        }
    }

    fn sums_to_one(&mut self, key: &str, what: &str, sum: f64) {
        if (sum - 1.0).abs() > 0.01 {
            self.warn(key, format!("{what} add up to {sum:.3}, not to 1"));
        }
    }
}

// Upper limit of counts, factors and weights: larger values have no meaning, and infinity is rejected.
const MAX_FIGURE: f64 = 1e9;

/// Checks all values of a day.
pub(super) fn validate(day: &Day) -> Findings {
    let mut found = Findings::default();
    general(day, &mut found);
    traffic(day, &mut found);
    classes_and_tenants(day, &mut found);
    streams(day, &mut found);
    machines(day, &mut found);
    limits_and_rules(day, &mut found);
    faults(day, &mut found);
    found
}

fn general(day: &Day, f: &mut Findings) {
    f.duration_above_zero("tick_ms", day.tick);
    if day.tick > 1_000_000 {
        f.error("tick_ms", format!("must be at most 1000, is {}", day.tick as f64 / 1e3));
    }
    if day.seed > i64::MAX as u64 {
        f.error("seed", format!("must be at most {}, is {}", i64::MAX, day.seed));
    }
    for (list, count) in
        [("zones", day.zones.len()), ("classes", day.classes.len()), ("tenants", day.tenants.len())]
    {
        if count == 0 {
            f.error(list, "must have at least one entry");
        }
    }
    for (list, names) in [
        ("zones", day.zones.iter().collect::<Vec<_>>()),
        ("classes", day.classes.iter().map(|c| &c.name).collect()),
        ("tenants", day.tenants.iter().map(|t| &t.name).collect()),
        ("kinds", day.kinds.iter().map(|k| &k.name).collect()),
    ] {
        for (i, name) in names.iter().enumerate() {
            if names[..i].contains(name) {
                f.error(format!("{list}[{i}]"), format!("duplicate name {name}"));
            }
            // Names are written in lines of the protocol, where these characters are separators.
            if name.is_empty()
                || name.contains(|c: char| c.is_whitespace() || c.is_control() || ",=".contains(c))
            {
                let message = format!(
                    "{name:?} is not a valid name: it must not be empty or contain whitespace, control characters, \
                     commas or ="
                );
                f.error(format!("{list}[{i}]"), message);
            }
        }
    }
    f.share("net.jitter", day.net.jitter);
    f.above_zero("discovery.lines_per_s", day.discovery.lines_per_s);
    f.within("discovery.call_lines", day.discovery.call_lines, 0.0, MAX_FIGURE);
    for (key, x) in [
        ("goal.whole", day.goal.whole),
        ("goal.worst_window", day.goal.worst_window),
        ("goal.worst_class", day.goal.worst_class),
        ("goal.worst_tenant", day.goal.worst_tenant),
    ] {
        f.share(key, x);
    }
    let Goal { whole, worst_window, worst_class, worst_tenant } = day.goal;
    f.sums_to_one("goal", "the weights", whole + worst_window + worst_class + worst_tenant);
    let p = &day.prices;
    for (key, x) in [
        ("prices.cross_zone", p.cross_zone),
        ("prices.waste", p.waste),
        ("prices.connection", p.connection),
        ("prices.handshake", p.handshake),
        ("prices.probe", p.probe),
        ("prices.late_fail", p.late_fail),
        ("prices.moves", p.moves),
    ] {
        f.within(key, x, 0.0, MAX_FIGURE);
    }
    if day.length == 0 {
        f.warn("length_s", "the length is 0: no requests arrive");
    }
}

fn traffic(day: &Day, f: &mut Findings) {
    let t = &day.traffic;
    f.within("traffic.load", t.load, 0.0, 100.0);
    if let Some(rate) = t.arrivals_per_s {
        f.within("traffic.arrivals_per_s", rate, 0.0, 1e6);
    }
    if t.shape.is_empty() {
        f.error("traffic.shape", "must have at least one point, such as [[0, 1]]");
    }
    for (i, &(at, factor)) in t.shape.iter().enumerate() {
        f.within(format!("traffic.shape[{i}][0]"), at, 0.0, MAX_FIGURE);
        f.within(format!("traffic.shape[{i}][1]"), factor, 0.0, 1e3);
        if i > 0 && at < t.shape[i - 1].0 {
            f.error(
                format!("traffic.shape[{i}][0]"),
                format!("must be at least {}, the time of the point before, is {at}", t.shape[i - 1].0),
            );
        }
    }
    f.within("traffic.burst_cv", t.burst_cv, 0.0, 100.0);
    if t.burst_cv > 0.0 && t.burst == 0 {
        f.error("traffic.burst_ms", "must be above 0 if burst_cv is above 0");
    }
    if t.zone_share.len() != day.zones.len() {
        let (zones, shares) = (day.zones.len(), t.zone_share.len());
        f.error("traffic.zone_share", format!("must have an entry for each of {zones} zones, has {shares}"));
    }
    for (i, x) in t.zone_share.iter().enumerate() {
        f.share(format!("traffic.zone_share[{i}]"), *x);
        let served = day.balancers.iter().any(|b| b.zone as usize == i);
        if *x > 0.0 && !served && !day.balancers.is_empty() {
            f.warn(format!("traffic.zone_share[{i}]"), "clients come from a zone that has no balancer");
        }
    }
    f.sums_to_one("traffic.zone_share", "the shares", t.zone_share.iter().sum());
    f.share("traffic.over_share_worth", t.over_share_worth);
    for (i, at) in t.recorded_s.iter().enumerate() {
        f.within(format!("traffic.recorded_s[{i}]"), *at, 0.0, MAX_FIGURE);
    }
    let no_requests = t.recorded_s.is_empty() && t.arrivals_per_s.unwrap_or(t.load) == 0.0;
    if no_requests {
        f.warn("traffic", "no requests arrive: the load is 0 and no arrivals are recorded");
    } else if t.arrivals_per_s.is_none() && t.load > 1.0 {
        f.warn("traffic.load", "the load exceeds the capacity of all nodes");
    }
    let c = &day.clients;
    f.within("clients.retries", c.retries.into(), 0.0, 1000.0);
    f.within("clients.try_share", c.try_share, 0.001, 1.0);
    f.share("clients.honour", c.honour);
    f.share("clients.impatient", c.impatient);
    f.duration_above_zero("clients.line_every_s", c.line_every);
    if c.backoff != Backoff::None && c.backoff_first == 0 {
        f.warn(
            "clients.backoff_ms",
            "is 0 although clients.backoff is not none: clients retry without a wait",
        );
    }
}

fn classes_and_tenants(day: &Day, f: &mut Findings) {
    for (i, c) in day.classes.iter().enumerate() {
        let key = |k: &str| format!("classes[{i}].{k}");
        f.within(key("share"), c.share, 0.0, MAX_FIGURE);
        f.within(key("set_up_cv"), c.set_up_cv, 0.0, 100.0);
        f.within(key("attempt_noise"), c.attempt_noise, 0.0, 100.0);
        f.duration_above_zero(key("give_up_ms"), c.give_up);
        f.within(key("worth"), c.worth, 0.0, MAX_FIGURE);
        f.duration_above_zero(key("message_aim_ms"), c.message_aim);
        f.within(key("load"), c.load, 0.0, MAX_FIGURE);
        f.above_zero(key("life"), c.life);
        f.within(key("load_sigma"), c.load_sigma, 0.0, 10.0);
        f.within(key("swing_sigma"), c.swing_sigma, 0.0, 10.0);
        f.duration_above_zero(key("change_s"), c.change);
        f.within(key("idle"), c.idle, 0.0, 0.999);
        if c.aim > c.give_up {
            f.warn(key("aim_ms"), "is above give_up_ms: clients give up before it");
        }
    }
    f.sums_to_one("classes", "the shares", day.classes.iter().map(|c| c.share).sum());
    for (i, t) in day.tenants.iter().enumerate() {
        f.share(format!("tenants[{i}].share"), t.share);
        f.within(format!("tenants[{i}].traffic"), t.traffic, 0.0, MAX_FIGURE);
        f.within(format!("tenants[{i}].quota"), t.quota, 0.0, MAX_FIGURE);
    }
    f.sums_to_one("tenants", "the shares of traffic", day.tenants.iter().map(|t| t.traffic).sum());
}

fn streams(day: &Day, f: &mut Findings) {
    let s = &day.streams;
    f.above_zero("streams.per_core", s.per_core);
    f.within("streams.cap", s.cap, 0.0, MAX_FIGURE);
    f.duration_above_zero("streams.life_s", s.life);
    f.within("streams.life_sigma", s.life_sigma, 0.0, 10.0);
    f.within("streams.bursty", s.bursty, 1.0, 1e3);
    f.within("streams.buffer_s", s.buffer_s, 0.0, MAX_FIGURE);
    f.share("streams.by_joins", s.by_joins);
    f.within("streams.group_cost", s.group_cost, 0.0, MAX_FIGURE);
    f.within("streams.group_size", s.group_size, 1.0, MAX_FIGURE);
    f.within("streams.group_zipf", s.group_zipf, 0.0, 10.0);
    f.within("streams.start_skew", s.start_skew, 0.0, 10.0);
}

fn machines(day: &Day, f: &mut Findings) {
    for (i, k) in day.kinds.iter().enumerate() {
        let key = |k: &str| format!("kinds[{i}].{k}");
        f.within(key("cores"), k.cores.into(), 1.0, 1e4);
        f.within(key("slots"), k.slots.into(), 1.0, MAX_FIGURE);
        f.within(key("thrash"), k.thrash, 0.0, 100.0);
        f.within(key("knee"), k.knee, 0.0, MAX_FIGURE);
        f.within(key("cold_from"), k.cold_from, 0.001, 1.0);
        f.within(key("pause_grow"), k.pause_grow, 0.0, 100.0);
        f.share(key("error_rate"), k.error_rate);
        if k.cold_from < day.rules.stated_cold_from || k.cold > day.rules.stated_cold {
            let message = "nodes of this kind start colder or warm up more slowly than rules.stated_cold_from and \
                           rules.stated_cold_s tell balancers";
            f.warn(key("cold_from"), message);
        }
    }
    for (i, n) in day.nodes.iter().enumerate() {
        f.index_within(format!("nodes[{i}].zone"), n.zone, "zone", day.zones.len());
        f.index_within(format!("nodes[{i}].kind"), n.kind, "kind", day.kinds.len());
        f.above_zero(format!("nodes[{i}].speed"), n.speed);
        f.within(format!("nodes[{i}].weight"), n.weight, 0.0, MAX_FIGURE);
    }
    for (i, b) in day.balancers.iter().enumerate() {
        f.index_within(format!("balancers[{i}].zone"), b.zone, "zone", day.zones.len());
        if b.start > day.length {
            f.warn(format!("balancers[{i}].start_s"), "the balancer starts after the end of the day");
        }
    }
    if day.nodes.is_empty() {
        f.warn("nodes", "no servers: no request can be served");
    } else if day.nodes.iter().all(|n| !n.up) {
        f.warn("nodes", "no server runs when the day starts");
    }
    if day.balancers.is_empty() {
        f.warn("balancers", "no balancers: no request can be served");
    }
}

fn limits_and_rules(day: &Day, f: &mut Findings) {
    let l = &day.limits;
    f.within("limits.max_attempts", l.max_attempts.into(), 1.0, 1e6);
    f.duration_above_zero("limits.connect_timeout_ms", l.connect_timeout);
    f.within("limits.handshake_rtts", l.handshake_rtts, 0.0, 100.0);
    f.within("limits.probe_cap_per_core", l.probe_cap_per_core, 0.0, MAX_FIGURE);
    f.above_zero("limits.cpu_us_per_s", l.cpu_us_per_s);
    f.within("limits.cores", l.cores, 0.01, 1e3);
    f.within("limits.memory_mb", l.memory_mb, 1.0, MAX_FIGURE);
    f.within("limits.sockets", l.sockets.into(), 16.0, MAX_FIGURE);
    let r = &day.rules;
    f.above_zero("rules.fall_multiple", r.fall_multiple);
    f.duration_above_zero("rules.fall_for_s", r.fall_for);
    f.within("rules.stated_cold_from", r.stated_cold_from, 0.001, 1.0);
}

/// The list whose entries a kind of fault can affect, and its length; none if the fault has no targets.
fn fault_targets(kind: FaultKind, day: &Day) -> Option<(&'static str, usize)> {
    use FaultKind::{
        BalancerKill, BalancerReload, BalancerRestart, Crash, CutOff, Drain, Failing, Full, HalfDead, Hang,
        ListDown, ListMoved, ListStale, Reconnect, Release, Resetting, Slow, Surge, TenantFlood,
        WrongAnswers,
    };
    match kind {
        Crash | Hang | CutOff | HalfDead | Slow | Failing | Resetting | Full | WrongAnswers | Release
        | Drain => Some(("node", day.nodes.len())),
        BalancerKill | BalancerRestart | BalancerReload => Some(("balancer", day.balancers.len())),
        TenantFlood | Reconnect => Some(("tenant", day.tenants.len())),
        ListStale | ListDown | ListMoved | Surge => None,
    }
}

fn faults(day: &Day, f: &mut Findings) {
    use FaultKind::{Failing, Reconnect, Resetting, Slow};
    for (i, fault) in day.faults.iter().enumerate() {
        let key = |k: &str| format!("faults[{i}].{k}");
        if let Some((target, count)) = fault_targets(fault.kind, day) {
            for (j, on) in fault.on.iter().enumerate() {
                f.index_within(format!("faults[{i}].on[{j}]"), *on, target, count);
            }
            let no_target = fault.on.is_empty() && fault.zone.is_none() && fault.part.is_none();
            // A `reconnect` without targets affects the clients of all tenants.
            if no_target && fault.kind != Reconnect {
                f.warn(key("on"), format!("the fault affects no {target}: none of on, zone and part is set"));
            }
        } else if !fault.on.is_empty() || fault.zone.is_some() || fault.part.is_some() {
            f.warn(key("on"), "this kind of fault has no targets; on, zone and part have no effect");
        }
        if let Some(zone) = fault.zone {
            f.index_within(key("zone"), zone, "zone", day.zones.len());
        }
        if let Some(part) = fault.part {
            f.share(key("part"), part);
        }
        match fault.kind {
            Slow | Failing | Resetting | Reconnect => f.share(key("size"), fault.size),
            _ => f.within(key("size"), fault.size, 0.0, MAX_FIGURE),
        }
        if fault.at >= day.length && day.length > 0 {
            f.warn(key("at_s"), "the fault begins after the last arrival");
        }
    }
    // The kinds of misbehaving clients are known only to this type.
    if let Err(e) = MisbehavingClients::new(day) {
        f.error("bad_clients", e.to_string().trim_start_matches("bad_clients: "));
    }
    for (i, bad) in day.bad_clients.iter().enumerate() {
        f.within(format!("bad_clients[{i}].per_s"), bad.per_s, 0.0, 1e5);
    }
}
