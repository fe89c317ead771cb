//! Owns the reading of days that the simulator drew (`lbsim draw`): every figure of [`Day`] comes from the file, so
//! that a run plays that very day and not a likeness.

use std::path::{Path, PathBuf};

use serde::Deserialize;
use shorewharf_emulator::day::{
    Backoff, Balancer, Class, Clients, Day, Discovery, Fault, FaultKind, Front, GoAway, Goal, Kind, Limits,
    Net, Node, Prices, Rules, Sheds, Streams, Tenant, Traffic,
};
use shorewharf_units::Micros;
use thiserror::Error;

/// A drawn day that can't be played here.
#[derive(Debug, Error)]
pub enum ImportError {
    /// The file can't be read.
    #[error("{path}: {source}")]
    Io {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: std::io::Error,
    },
    /// A key is missing or of the wrong form.
    #[error("{path}: {source}")]
    Form {
        /// The file.
        path: PathBuf,
        /// The key and what is wrong with it.
        source: Box<serde_path_to_error::Error<serde_json::Error>>,
    },
    /// A figure that the models here have no counterpart for.
    #[error("{path}: {key}: {found} can't be played here (only {allowed})")]
    Unknown {
        /// The file.
        path: PathBuf,
        /// The key.
        key: String,
        /// What stands there.
        found: String,
        /// What can be played.
        allowed: &'static str,
    },
}

// An instance that has not asked for so long counts as told. Drawn days do not hold this figure; the settings that go
// with them say 10 s.
const ASK_WITHIN: Micros = 10_000_000;
// Clients of a drawn day send a line this often on the sockets.
const LINE_EVERY: Micros = 2_000_000;
// A drawn day has no machine of its own: the limits of the sockets are those of a small balancer.
const SOCKETS: (f64, f64, u32) = (1.0, 192.0, 1024);
const ANSWER_SLACK: Micros = 50_000;

#[derive(Deserialize)]
struct ImportedDay {
    site: String,
    family: String,
    kind: String,
    noise: u64,
    length: f64,
    tick: f64,
    zones: Vec<String>,
    net: ImportedNetwork,
    entry: String,
    front_notice: f64,
    traffic: ImportedTraffic,
    clients: ImportedClients,
    discovery: ImportedDiscovery,
    allow: ImportedLimits,
    drain_grace: f64,
    fall_multiple: f64,
    fall_for: f64,
    goal: Goal,
    prices: ImportedCosts,
    classes: Vec<ImportedClass>,
    tenants: Vec<Tenant>,
    tiers: Vec<ImportedTier>,
    servers: Vec<ImportedServer>,
    balancers: Vec<ImportedBalancer>,
    troubles: Vec<ImportedFault>,
    fam: ImportedConnectionModel,
}

#[derive(Deserialize)]
struct ImportedNetwork {
    same: f64,
    cross: f64,
    client: f64,
    jitter: f64,
}

#[derive(Deserialize)]
struct ImportedTraffic {
    load: f64,
    shape: Vec<(f64, f64)>,
    burst_cv: f64,
    burst_ms: f64,
    zone_share: Vec<f64>,
    over_share_worth: f64,
}

#[derive(Deserialize)]
struct ImportedClients {
    retries: u32,
    try_share: f64,
    backoff: Backoff,
    backoff_us: f64,
    honour: f64,
    max_retry_after: f64,
    impatient: f64,
    marks_retry: bool,
}

#[derive(Deserialize)]
struct ImportedDiscovery {
    notice: f64,
    silent_notice: f64,
    add: f64,
    period: f64,
    spread: f64,
    lines_per_s: f64,
    call_lines: f64,
    timeout: f64,
}

#[derive(Deserialize)]
struct ImportedLimits {
    probes: bool,
    cancel: bool,
    retry_after: bool,
    max_attempts: u32,
    cpu_us_per_s: f64,
}

#[derive(Deserialize)]
struct ImportedCosts {
    cross_zone: f64,
    waste: f64,
    connection: f64,
    handshake: f64,
    probe: f64,
    late_fail: f64,
    moves: f64,
}

#[derive(Deserialize)]
struct ImportedClass {
    name: String,
    share: f64,
    work: f64,
    cv: f64,
    attempt_noise: f64,
    aim: f64,
    deadline: f64,
    worth: f64,
}

#[derive(Deserialize)]
struct ImportedTier {
    kinds: Vec<ImportedMachineKind>,
    handshake_rtts: f64,
    conn_idle: f64,
    connect_timeout: f64,
    probe_work: f64,
    probe_cap_per_core: f64,
    probe_timeout: f64,
    stated_cold_from: f64,
    stated_cold: f64,
}

#[derive(Deserialize)]
struct ImportedMachineKind {
    name: String,
    cores: u32,
    slots: u32,
    queue: u32,
    thrash: f64,
    knee: f64,
    cold_from: f64,
    cold: f64,
    pause_every: f64,
    pause: f64,
    pause_grow: f64,
    error_rate: f64,
}

#[derive(Deserialize)]
struct ImportedServer {
    zone: u32,
    kind: u32,
    cell: u32,
    speed: f64,
    weight: f64,
    up: bool,
}

#[derive(Deserialize)]
struct ImportedBalancer {
    zone: u32,
    start: f64,
}

#[derive(Deserialize)]
struct ImportedFault {
    kind: String,
    at: f64,
    len: f64,
    size: f64,
    on: Vec<u32>,
}

#[derive(Deserialize)]
struct ImportedConnectionModel {
    pass: bool,
    per_core: f64,
    cap: f64,
    life_s: f64,
    life_sigma: f64,
    message_us: f64,
    bursty: f64,
    buffer_s: f64,
    by_joins: f64,
    sheds: String,
    goaway: String,
    group_cost: f64,
    group_size: f64,
    group_zipf: f64,
    start_skew: f64,
    tells_load: bool,
    tells_delay: bool,
    rejoin: f64,
    move_gap: f64,
    uses: Vec<ImportedUsage>,
}

#[derive(Deserialize)]
struct ImportedUsage {
    load: f64,
    life: f64,
    load_sigma: f64,
    swing_sigma: f64,
    change_s: f64,
    idle: f64,
    message_ms: f64,
}

/// Reads a drawn day from a file. The day is named after the file.
pub fn read(path: &Path) -> Result<Day, ImportError> {
    let text =
        std::fs::read_to_string(path).map_err(|source| ImportError::Io { path: path.into(), source })?;
    parse(path, &text)
}

/// Reads a drawn day from its text; `path` names it in messages and gives the day its name.
pub fn parse(path: &Path, text: &str) -> Result<Day, ImportError> {
    let mut json = serde_json::Deserializer::from_str(text);
    let drawn: ImportedDay = serde_path_to_error::deserialize(&mut json)
        .map_err(|e| ImportError::Form { path: path.into(), source: Box::new(e) })?;
    let name = path.file_stem().map_or_else(|| drawn.kind.clone(), |s| s.to_string_lossy().into_owned());
    drawn.day(name).map_err(|(key, found, allowed)| ImportError::Unknown {
        path: path.into(),
        key,
        found,
        allowed,
    })
}

type UnsupportedKey = (String, String, &'static str);

/// Whole microseconds; drawn days hold fractions of one.
fn us(t: f64) -> Micros {
    t.max(0.0).round() as Micros
}

fn only(ok: bool, key: &str, found: &str, allowed: &'static str) -> Result<(), UnsupportedKey> {
    if ok { Ok(()) } else { Err((key.to_owned(), found.to_owned(), allowed)) }
}

impl ImportedDay {
    fn day(self, name: String) -> Result<Day, UnsupportedKey> {
        only(self.family == "conn", "family", &self.family, "conn")?;
        only(self.entry == "front", "entry", &self.entry, "front")?;
        only(!self.fam.pass, "fam.pass", "true", "false")?;
        only(self.tiers.len() == 1, "tiers", &format!("a list of {}", self.tiers.len()), "one tier")?;
        let uses = self.fam.uses.len();
        only(uses == self.classes.len(), "fam.uses", &format!("a list of {uses}"), "one for each class")?;
        let faults = self.troubles.iter().enumerate().map(|(i, t)| t.fault(i)).collect::<Result<_, _>>()?;
        let tier = &self.tiers[0];
        Ok(Day {
            name,
            about: format!("A drawn day of {}, of the kind {}.", self.site, self.kind),
            seed: self.noise,
            length: us(self.length),
            tick: us(self.tick),
            zones: self.zones,
            net: Net {
                same: us(self.net.same),
                cross: us(self.net.cross),
                client: us(self.net.client),
                jitter: self.net.jitter,
            },
            front: Front { notice: us(self.front_notice) },
            discovery: self.discovery.discovery(),
            traffic: self.traffic.traffic(),
            clients: self.clients.clients(&self.fam),
            classes: self.classes.iter().zip(&self.fam.uses).map(|(c, u)| c.class(u)).collect(),
            tenants: self.tenants,
            streams: self.fam.streams()?,
            kinds: tier.kinds.iter().map(ImportedMachineKind::kind).collect(),
            nodes: self.servers.iter().map(ImportedServer::node).collect(),
            balancers: self.balancers.iter().map(|b| Balancer { zone: b.zone, start: us(b.start) }).collect(),
            limits: tier.limits(&self.allow),
            rules: Rules {
                answer_slack: ANSWER_SLACK,
                drain_grace: us(self.drain_grace),
                fall_multiple: self.fall_multiple,
                fall_for: us(self.fall_for),
                stated_cold_from: tier.stated_cold_from,
                stated_cold: us(tier.stated_cold),
                ask_within: ASK_WITHIN,
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
    fn discovery(&self) -> Discovery {
        Discovery {
            notice: us(self.notice),
            silent_notice: us(self.silent_notice),
            add: us(self.add),
            period: us(self.period),
            spread: us(self.spread),
            lines_per_s: self.lines_per_s,
            call_lines: self.call_lines,
            timeout: us(self.timeout),
        }
    }
}

impl ImportedTraffic {
    fn traffic(self) -> Traffic {
        Traffic {
            load: self.load,
            arrivals_per_s: None,
            shape: self.shape,
            burst_cv: self.burst_cv,
            burst: us(self.burst_ms * 1e3),
            zone_share: self.zone_share,
            recorded_s: Vec::new(),
            over_share_worth: self.over_share_worth,
        }
    }
}

impl ImportedClients {
    fn clients(&self, fam: &ImportedConnectionModel) -> Clients {
        Clients {
            retries: self.retries,
            try_share: self.try_share,
            backoff: self.backoff,
            backoff_first: us(self.backoff_us),
            honour: self.honour,
            max_retry_after: us(self.max_retry_after),
            impatient: self.impatient,
            marks_retry: self.marks_retry,
            rejoin: us(fam.rejoin),
            move_gap: us(fam.move_gap),
            line_every: LINE_EVERY,
        }
    }
}

impl ImportedClass {
    fn class(&self, u: &ImportedUsage) -> Class {
        Class {
            name: self.name.clone(),
            share: self.share,
            set_up: us(self.work),
            set_up_cv: self.cv,
            attempt_noise: self.attempt_noise,
            aim: us(self.aim),
            give_up: us(self.deadline),
            worth: self.worth,
            message_aim: us(u.message_ms * 1e3),
            load: u.load,
            life: u.life,
            load_sigma: u.load_sigma,
            swing_sigma: u.swing_sigma,
            change: us(u.change_s * 1e6),
            idle: u.idle,
        }
    }
}

impl ImportedConnectionModel {
    fn streams(&self) -> Result<Streams, UnsupportedKey> {
        Ok(Streams {
            per_core: self.per_core,
            cap: self.cap,
            life: us(self.life_s * 1e6),
            life_sigma: self.life_sigma,
            message: us(self.message_us),
            bursty: self.bursty,
            buffer_s: self.buffer_s,
            by_joins: self.by_joins,
            sheds: match self.sheds.as_str() {
                "none" => Sheds::None,
                "newest" => Sheds::Newest,
                "heaviest" => Sheds::Heaviest,
                other => return Err(("fam.sheds".into(), other.into(), "none, newest, heaviest")),
            },
            go_away: match self.goaway.as_str() {
                "none" => GoAway::None,
                "paced" => GoAway::Paced,
                "at_once" => GoAway::AtOnce,
                other => return Err(("fam.goaway".into(), other.into(), "none, paced, at_once")),
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
    fn kind(&self) -> Kind {
        Kind {
            name: self.name.clone(),
            cores: self.cores,
            slots: self.slots,
            queue: self.queue,
            thrash: self.thrash,
            knee: self.knee,
            cold_from: self.cold_from,
            cold: us(self.cold),
            pause_every: us(self.pause_every),
            pause: us(self.pause),
            pause_grow: self.pause_grow,
            error_rate: self.error_rate,
        }
    }
}

impl ImportedServer {
    fn node(&self) -> Node {
        let Self { zone, kind, cell, speed, weight, up } = *self;
        Node { zone, kind, cell, speed, weight, up }
    }
}

impl ImportedTier {
    fn limits(&self, allow: &ImportedLimits) -> Limits {
        let (cores, memory_mb, sockets) = SOCKETS;
        Limits {
            probes: allow.probes,
            cancel: allow.cancel,
            retry_after: allow.retry_after,
            max_attempts: allow.max_attempts,
            connect_timeout: us(self.connect_timeout),
            handshake_rtts: self.handshake_rtts,
            idle_close: us(self.conn_idle),
            probe_work: us(self.probe_work),
            probe_cap_per_core: self.probe_cap_per_core,
            probe_timeout: us(self.probe_timeout),
            cpu_us_per_s: allow.cpu_us_per_s,
            cores,
            memory_mb,
            sockets,
        }
    }
}

impl ImportedFault {
    fn fault(&self, place: usize) -> Result<Fault, UnsupportedKey> {
        let kind = match self.kind.as_str() {
            "crash" => FaultKind::Crash,
            "discovery_stale" => FaultKind::ListStale,
            "reconnect" => FaultKind::Reconnect,
            other => {
                let allowed = "crash, discovery_stale, reconnect";
                return Err((format!("troubles[{place}].kind"), other.into(), allowed));
            }
        };
        Ok(Fault {
            kind,
            at: us(self.at),
            len: us(self.len),
            size: self.size,
            on: self.on.clone(),
            zone: None,
            part: None,
        })
    }
}
