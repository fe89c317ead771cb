//! Conversion of a drawn day to the emulator's [`Day`].

use shorewharf_emulator::day::{
    Balancer, Class, Clients, Day, Discovery, DrainPolicy, Fault, FaultKind, Front, Kind, Limits, Net, Node,
    Prices, Rules, ShedPolicy, Streams, Traffic,
};
use shorewharf_units::Micros;

use super::format::{
    ImportedClass, ImportedClients, ImportedConnectionModel, ImportedDay, ImportedDiscovery, ImportedFault,
    ImportedLimits, ImportedMachineKind, ImportedServer, ImportedTier, ImportedTraffic, ImportedUsage,
};

// Drawn days don't include the longest interval between polls; the settings that belong to them state 10
// s.
const MAX_POLL_INTERVAL: Micros = 10_000_000;
const CLIENT_LINE_INTERVAL: Micros = 2_000_000;
// Cores, memory in MB and sockets of a balancer's process, for which a drawn day has no limits.
const BALANCER_LIMITS: (f64, f64, u32) = (1.0, 192.0, 1024);
const ANSWER_SLACK: Micros = 50_000;

/// A value that the emulator does not support; the fields are those of `ImportError::Unsupported`.
pub(super) struct UnsupportedValue {
    pub(super) key: String,
    pub(super) found: String,
    pub(super) allowed: &'static str,
}

impl UnsupportedValue {
    fn new(key: impl Into<String>, found: &str, allowed: &'static str) -> Self {
        Self { key: key.into(), found: found.to_owned(), allowed }
    }
}

/// Rounds to whole microseconds; drawn days have fractions. Negative values become 0.
fn to_micros(t: f64) -> Micros {
    t.max(0.0).round() as Micros
}

fn require(ok: bool, key: &str, found: &str, allowed: &'static str) -> Result<(), UnsupportedValue> {
    if ok { Ok(()) } else { Err(UnsupportedValue::new(key, found, allowed)) }
}

impl ImportedDay {
    pub(super) fn into_day(self, name: String) -> Result<Day, UnsupportedValue> {
        require(self.family == "conn", "family", &self.family, "conn")?;
        require(self.entry == "front", "entry", &self.entry, "front")?;
        require(!self.fam.pass, "fam.pass", "true", "false")?;
        require(
            self.tiers.len() == 1,
            "tiers",
            &format!("a list of {}", self.tiers.len()),
            "a list of one tier",
        )?;
        let uses = self.fam.uses.len();
        require(
            uses == self.classes.len(),
            "fam.uses",
            &format!("a list of {uses}"),
            "a list with one entry for each class",
        )?;
        let faults =
            self.troubles.iter().enumerate().map(|(i, t)| t.to_fault(i)).collect::<Result<_, _>>()?;
        let tier = &self.tiers[0];
        Ok(Day {
            name,
            about: format!("A drawn day of {}, of the kind {}.", self.site, self.kind),
            seed: self.noise,
            length: to_micros(self.length),
            tick: to_micros(self.tick),
            zones: self.zones,
            net: Net {
                same: to_micros(self.net.same),
                cross: to_micros(self.net.cross),
                client: to_micros(self.net.client),
                jitter: self.net.jitter,
            },
            front: Front { notice: to_micros(self.front_notice) },
            discovery: self.discovery.to_discovery(),
            traffic: self.traffic.into_traffic(),
            clients: self.clients.to_clients(&self.fam),
            classes: self.classes.iter().zip(&self.fam.uses).map(|(c, u)| c.to_class(u)).collect(),
            tenants: self.tenants,
            streams: self.fam.to_streams()?,
            kinds: tier.kinds.iter().map(ImportedMachineKind::to_kind).collect(),
            nodes: self.servers.iter().map(ImportedServer::to_node).collect(),
            balancers: self
                .balancers
                .iter()
                .map(|b| Balancer { zone: b.zone, start: to_micros(b.start) })
                .collect(),
            limits: tier.to_limits(&self.allow),
            rules: Rules {
                answer_slack: ANSWER_SLACK,
                drain_grace: to_micros(self.drain_grace),
                fall_multiple: self.fall_multiple,
                fall_for: to_micros(self.fall_for),
                stated_cold_from: tier.stated_cold_from,
                stated_cold: to_micros(tier.stated_cold),
                ask_within: MAX_POLL_INTERVAL,
            },
            goal: self.goal,
            prices: Prices {
                cross_zone: self.prices.cross_zone,
                waste: self.prices.waste,
                connection: self.prices.connection,
                handshake: self.prices.handshake,
                probe: self.prices.probe,
                late_fail: self.prices.late_fail,
                moves: self.prices.moves,
            },
            faults,
            bad_clients: Vec::new(),
        })
    }
}

impl ImportedDiscovery {
    fn to_discovery(&self) -> Discovery {
        Discovery {
            notice: to_micros(self.notice),
            silent_notice: to_micros(self.silent_notice),
            add: to_micros(self.add),
            period: to_micros(self.period),
            spread: to_micros(self.spread),
            lines_per_s: self.lines_per_s,
            call_lines: self.call_lines,
            timeout: to_micros(self.timeout),
        }
    }
}

impl ImportedTraffic {
    fn into_traffic(self) -> Traffic {
        Traffic {
            load: self.load,
            arrivals_per_s: None,
            shape: self.shape,
            burst_cv: self.burst_cv,
            burst: to_micros(self.burst_ms * 1e3),
            zone_share: self.zone_share,
            recorded_s: Vec::new(),
            over_share_worth: self.over_share_worth,
        }
    }
}

impl ImportedClients {
    fn to_clients(&self, fam: &ImportedConnectionModel) -> Clients {
        Clients {
            retries: self.retries,
            try_share: self.try_share,
            backoff: self.backoff,
            backoff_first: to_micros(self.backoff_us),
            honour: self.honour,
            max_retry_after: to_micros(self.max_retry_after),
            impatient: self.impatient,
            marks_retry: self.marks_retry,
            rejoin: to_micros(fam.rejoin),
            move_gap: to_micros(fam.move_gap),
            line_every: CLIENT_LINE_INTERVAL,
        }
    }
}

impl ImportedClass {
    fn to_class(&self, usage: &ImportedUsage) -> Class {
        Class {
            name: self.name.clone(),
            share: self.share,
            set_up: to_micros(self.work),
            set_up_cv: self.cv,
            attempt_noise: self.attempt_noise,
            aim: to_micros(self.aim),
            give_up: to_micros(self.deadline),
            worth: self.worth,
            message_aim: to_micros(usage.message_ms * 1e3),
            load: usage.load,
            life: usage.life,
            load_sigma: usage.load_sigma,
            swing_sigma: usage.swing_sigma,
            change: to_micros(usage.change_s * 1e6),
            idle: usage.idle,
        }
    }
}

impl ImportedConnectionModel {
    fn to_streams(&self) -> Result<Streams, UnsupportedValue> {
        Ok(Streams {
            per_core: self.per_core,
            cap: self.cap,
            life: to_micros(self.life_s * 1e6),
            life_sigma: self.life_sigma,
            message: to_micros(self.message_us),
            bursty: self.bursty,
            buffer_s: self.buffer_s,
            by_joins: self.by_joins,
            sheds: match self.sheds.as_str() {
                "none" => ShedPolicy::None,
                "newest" => ShedPolicy::Newest,
                "heaviest" => ShedPolicy::Heaviest,
                other => return Err(UnsupportedValue::new("fam.sheds", other, "none, newest, heaviest")),
            },
            go_away: match self.goaway.as_str() {
                "none" => DrainPolicy::None,
                "paced" => DrainPolicy::Paced,
                "at_once" => DrainPolicy::AtOnce,
                other => return Err(UnsupportedValue::new("fam.goaway", other, "none, paced, at_once")),
            },
            group_cost: self.group_cost,
            group_size: self.group_size,
            group_zipf: self.group_zipf,
            start_skew: self.start_skew,
            tells_load: self.tells_load,
            tells_first: true,
            tells_delay: self.tells_delay,
        })
    }
}

impl ImportedMachineKind {
    fn to_kind(&self) -> Kind {
        Kind {
            name: self.name.clone(),
            cores: self.cores,
            slots: self.slots,
            queue: self.queue,
            thrash: self.thrash,
            knee: self.knee,
            cold_from: self.cold_from,
            cold: to_micros(self.cold),
            pause_every: to_micros(self.pause_every),
            pause: to_micros(self.pause),
            pause_grow: self.pause_grow,
            error_rate: self.error_rate,
        }
    }
}

impl ImportedServer {
    fn to_node(&self) -> Node {
        let Self { zone, kind, cell, speed, weight, up } = *self;
        Node { zone, kind, cell, speed, weight, up }
    }
}

impl ImportedTier {
    fn to_limits(&self, limits: &ImportedLimits) -> Limits {
        let (cores, memory_mb, sockets) = BALANCER_LIMITS;
        Limits {
            probes: limits.probes,
            cancel: limits.cancel,
            retry_after: limits.retry_after,
            max_attempts: limits.max_attempts,
            connect_timeout: to_micros(self.connect_timeout),
            handshake_rtts: self.handshake_rtts,
            idle_close: to_micros(self.conn_idle),
            probe_work: to_micros(self.probe_work),
            probe_cap_per_core: self.probe_cap_per_core,
            probe_timeout: to_micros(self.probe_timeout),
            cpu_us_per_s: limits.cpu_us_per_s,
            cores,
            memory_mb,
            sockets,
        }
    }
}

impl ImportedFault {
    fn to_fault(&self, index: usize) -> Result<Fault, UnsupportedValue> {
        let kind = match self.kind.as_str() {
            "crash" => FaultKind::Crash,
            "discovery_stale" => FaultKind::ListStale,
            "reconnect" => FaultKind::Reconnect,
            other => {
                let allowed = "crash, discovery_stale, reconnect";
                return Err(UnsupportedValue::new(format!("troubles[{index}].kind"), other, allowed));
            }
        };
        Ok(Fault {
            kind,
            at: to_micros(self.at),
            len: to_micros(self.len),
            size: self.size,
            on: self.on.clone(),
            zone: None,
            part: None,
        })
    }
}
