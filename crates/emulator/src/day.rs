//! A day: every figure of the platform that one run plays, as a scenario file states it.
//!
//! What the seed draws (arrivals, lives, loads, delays, who is struck) follows from these figures alone. Times in a
//! file are seconds or milliseconds, as the key's ending says; in the program all are whole microseconds.

mod faults;

use serde::{Deserialize, Serialize};
use shorewharf_units::Micros;

pub use faults::{Fault, FaultKind};

/// (De)serializes microseconds as seconds.
pub mod in_s {
    use serde::{Deserialize, Deserializer, Serializer};
    use shorewharf_units::seconds_from_micros;

    /// Writes seconds.
    ///
    /// # Errors
    ///
    /// Fails if the serializer does.
    pub fn serialize<S: Serializer>(t: &u64, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_f64(seconds_from_micros(*t))
    }
    /// Reads seconds; what is negative or no number is refused.
    ///
    /// # Errors
    ///
    /// Fails if the value is not a number, negative or longer than a year.
    pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<u64, D::Error> {
        super::micros(f64::deserialize(d)?, 1e6).map_err(serde::de::Error::custom)
    }
}

/// (De)serializes microseconds as milliseconds.
pub mod in_ms {
    use serde::{Deserialize, Deserializer, Serializer};
    /// Writes milliseconds.
    ///
    /// # Errors
    ///
    /// Fails if the serializer does.
    pub fn serialize<S: Serializer>(t: &u64, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_f64(*t as f64 / 1e3)
    }
    /// Reads milliseconds; what is negative or no number is refused.
    ///
    /// # Errors
    ///
    /// Fails if the value is not a number, negative or longer than a year.
    pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<u64, D::Error> {
        super::micros(f64::deserialize(d)?, 1e3).map_err(serde::de::Error::custom)
    }
}

/// A duration in a scenario file that is out of range.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
enum DurationError {
    /// The value is negative, not a number or longer than a year.
    #[error("{0} is no length of time")]
    OutOfRange(f64),
}

fn micros(x: f64, unit: f64) -> Result<Micros, DurationError> {
    let us = x * unit;
    // A year is more than any day or figure needs, and keeps sums far from their end.
    if (0.0..3.2e13).contains(&us) { Ok(us.round() as Micros) } else { Err(DurationError::OutOfRange(x)) }
}

/// All figures of one run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// Its name, for tables.
    pub name: String,
    /// What it shows, in a sentence.
    pub about: String,
    /// What is drawn follows from it.
    pub seed: u64,
    /// Arrivals end then; what was taken is played to its end.
    #[serde(rename = "length_s", with = "in_s")]
    pub length: Micros,
    /// A balancer handles what has come in at most this often (virtual time).
    #[serde(rename = "tick_ms", with = "in_ms")]
    pub tick: Micros,
    /// The zones' names.
    pub zones: Vec<String>,
    /// The network.
    pub net: Net,
    /// The front layer.
    pub front: Front,
    /// Discovery.
    pub discovery: Discovery,
    /// What is asked for.
    pub traffic: Traffic,
    /// How clients behave.
    pub clients: Clients,
    /// Classes of request.
    pub classes: Vec<Class>,
    /// Tenants.
    pub tenants: Vec<Tenant>,
    /// How standing connections live and load their nodes.
    pub streams: Streams,
    /// Kinds of machine.
    pub kinds: Vec<Kind>,
    /// The nodes.
    pub nodes: Vec<Node>,
    /// The balancers.
    pub balancers: Vec<Balancer>,
    /// What balancers may do, and their machine.
    pub limits: Limits,
    /// Figures of the four rules.
    pub rules: Rules,
    /// Weights of the result's parts.
    pub goal: Goal,
    /// What is taken off the result.
    pub prices: Prices,
    /// What goes wrong.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<Fault>,
    /// Bad clients, none by default.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub bad_clients: Vec<BadClients>,
}

/// One-way delays.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Net {
    /// Within a zone.
    #[serde(rename = "same_ms", with = "in_ms")]
    pub same: Micros,
    /// Between zones.
    #[serde(rename = "cross_ms", with = "in_ms")]
    pub cross: Micros,
    /// Between a client and its balancer.
    #[serde(rename = "client_ms", with = "in_ms")]
    pub client: Micros,
    /// Spread of a delay, as a share of it.
    pub jitter: f64,
}

/// The layer that deals clients out over the balancers of their zone.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Front {
    /// It notices that a balancer has died after this.
    #[serde(rename = "notice_s", with = "in_s")]
    pub notice: Micros,
}

/// The service that knows the list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// An ended process is noticed after this.
    #[serde(rename = "notice_s", with = "in_s")]
    pub notice: Micros,
    /// One that fell silent is noticed after this.
    #[serde(rename = "silent_notice_s", with = "in_s")]
    pub silent_notice: Micros,
    /// A new process is listed after this.
    #[serde(rename = "add_s", with = "in_s")]
    pub add: Micros,
    /// Watchers are told at most this often.
    #[serde(rename = "period_ms", with = "in_ms")]
    pub period: Micros,
    /// Spread of the telling over watchers.
    #[serde(rename = "spread_ms", with = "in_ms")]
    pub spread: Micros,
    /// List lines that it writes a second.
    pub lines_per_s: f64,
    /// What a call costs, in lines.
    pub call_lines: f64,
    /// A call that has waited so long fails.
    #[serde(rename = "timeout_s", with = "in_s")]
    pub timeout: Micros,
}

/// What is asked for.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Mean load asked for, as a share of what all nodes can do; ignored where `arrivals_per_s` is given.
    pub load: f64,
    /// New connections a second, in place of `load`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub arrivals_per_s: Option<f64>,
    /// Course of the rate over the day: (seconds, factor), linear between; mean 1 by convention.
    pub shape: Vec<(f64, f64)>,
    /// Bursts: coefficient of variation of the rate, 0 for none.
    #[serde(default)]
    pub burst_cv: f64,
    /// Length of a burst.
    #[serde(default, rename = "burst_ms", with = "in_ms")]
    pub burst: Micros,
    /// Share of clients by zone.
    pub zone_share: Vec<f64>,
    /// Recorded arrivals (seconds) in place of drawn ones.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub recorded_s: Vec<f64>,
    /// What a second beyond a tenant's share is worth, as a fraction.
    pub over_share_worth: f64,
}

/// How repeats are spaced.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Backoff {
    /// At once.
    None,
    /// After the same wait each time.
    Fixed,
    /// After a wait that doubles.
    Exp,
}

/// How clients behave.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// Repeats of a failed try.
    pub retries: u32,
    /// Part of the class's time that one try gets.
    pub try_share: f64,
    /// How repeats are spaced.
    pub backoff: Backoff,
    /// The first wait.
    #[serde(rename = "backoff_ms", with = "in_ms")]
    pub backoff_first: Micros,
    /// Share of clients that honour a time to come back.
    pub honour: f64,
    /// The longest wait that is honoured.
    #[serde(rename = "max_retry_after_s", with = "in_s")]
    pub max_retry_after: Micros,
    /// Share of clients that leave early.
    #[serde(default)]
    pub impatient: f64,
    /// Repeats are marked.
    #[serde(default)]
    pub marks_retry: bool,
    /// After a break a client comes again within this.
    #[serde(rename = "rejoin_ms", with = "in_ms")]
    pub rejoin: Micros,
    /// After a move it comes again after this.
    #[serde(rename = "move_gap_ms", with = "in_ms")]
    pub move_gap: Micros,
    /// A line is sent on a standing connection this often.
    #[serde(rename = "line_every_s", with = "in_s")]
    pub line_every: Micros,
}

/// A class of request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its share of arrivals.
    pub share: f64,
    /// Work of a set-up on a core of speed 1.
    #[serde(rename = "set_up_ms", with = "in_ms")]
    pub set_up: Micros,
    /// Coefficient of variation of that work.
    pub set_up_cv: f64,
    /// Noise from one attempt to the next.
    pub attempt_noise: f64,
    /// A set-up within this earns full worth.
    #[serde(rename = "aim_ms", with = "in_ms")]
    pub aim: Micros,
    /// A client waits so long for one set-up, all tries together.
    #[serde(rename = "give_up_ms", with = "in_ms")]
    pub give_up: Micros,
    /// Worth of a second.
    pub worth: f64,
    /// A message is wanted within this.
    #[serde(rename = "message_aim_ms", with = "in_ms")]
    pub message_aim: Micros,
    /// Mean load, in usual loads.
    pub load: f64,
    /// Mean life, in usual lives.
    pub life: f64,
    /// Spread (sigma, lognormal) of loads between connections.
    pub load_sigma: f64,
    /// Spread of one connection's load over time.
    pub swing_sigma: f64,
    /// A connection's load changes this often on average.
    #[serde(rename = "change_s", with = "in_s")]
    pub change: Micros,
    /// Share of the time that a connection is idle.
    pub idle: f64,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its agreed share of the service.
    pub share: f64,
    /// Its share of the traffic.
    pub traffic: f64,
    /// What it may use, as a share of what all nodes can do.
    pub quota: f64,
}

/// Whom an overfull node drops.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ShedPolicy {
    /// Nobody.
    None,
    /// The newest connections.
    Newest,
    /// The heaviest ones.
    Heaviest,
}

/// How a draining node sends its clients away.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainPolicy {
    /// It does not.
    None,
    /// One after the other.
    Paced,
    /// All at once.
    AtOnce,
}

/// How standing connections live and load their nodes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Streams {
    /// Usual connections that fill one core of speed 1.
    pub per_core: f64,
    /// Connection cap of a node, as a multiple of what fills it.
    pub cap: f64,
    /// Mean life.
    #[serde(rename = "life_s", with = "in_s")]
    pub life: Micros,
    /// Spread (sigma, lognormal) of lives.
    pub life_sigma: f64,
    /// Work of a message on a core of speed 1.
    #[serde(rename = "message_ms", with = "in_ms")]
    pub message: Micros,
    /// How bursty messages are; 1 for not.
    pub bursty: f64,
    /// Work piled up, in seconds, at which a node begins to drop.
    pub buffer_s: f64,
    /// Of the swing of the day's shape, the part (as an exponent) that comes by numbers of clients; the rest by their loads.
    pub by_joins: f64,
    /// Whom it drops.
    pub sheds: ShedPolicy,
    /// How a draining node sends its clients away.
    pub go_away: DrainPolicy,
    /// Mean connection loads that a node pays for each group it holds any of.
    pub group_cost: f64,
    /// Mean members of a group.
    pub group_size: f64,
    /// Exponent of the groups' sizes.
    pub group_zipf: f64,
    /// Unevenness of who stands where at the start.
    pub start_skew: f64,
    /// Nodes tell a connection's load.
    pub tells_load: bool,
    /// Nodes tell a connection's load at its opening too, as the simulator's do. On sockets servers were seen to tell it
    /// only when it changes, so a day that stands for sockets says no.
    #[serde(default = "yes")]
    pub tells_first: bool,
    /// Nodes tell what messages take.
    pub tells_delay: bool,
}

/// A kind of machine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Cores.
    pub cores: u32,
    /// Set-ups in work at once, as a site file states it; nodes here work on half their cores' number.
    pub slots: u32,
    /// Set-ups that wait, in the site file's count; four times as many do.
    pub queue: u32,
    /// Loss of efficiency when crowded.
    pub thrash: f64,
    /// Set-ups in hand from which it is crowded.
    pub knee: f64,
    /// Share of its capacity at its start.
    pub cold_from: f64,
    /// Warm after this.
    #[serde(rename = "cold_s", with = "in_s")]
    pub cold: Micros,
    /// It pauses each time its cores have been busy for so long, all cores together; 0 for never.
    #[serde(rename = "pause_every_s", with = "in_s")]
    pub pause_every: Micros,
    /// Length of a pause.
    #[serde(rename = "pause_ms", with = "in_ms")]
    pub pause: Micros,
    /// How pauses grow with load.
    pub pause_grow: f64,
    /// Share of set-ups that fail.
    pub error_rate: f64,
}

/// A node.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// Place of its zone.
    pub zone: u32,
    /// Place of its kind.
    pub kind: u32,
    /// Its cell.
    #[serde(default)]
    pub cell: u32,
    /// True speed of a core.
    pub speed: f64,
    /// Its weight in the list.
    pub weight: f64,
    /// It runs when the day starts.
    #[serde(default = "yes")]
    pub up: bool,
}

fn yes() -> bool {
    true
}

/// A balancer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Balancer {
    /// Place of its zone.
    pub zone: u32,
    /// It starts then.
    #[serde(default, rename = "start_s", with = "in_s")]
    pub start: Micros,
}

/// What balancers may do, and their machine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Probes are allowed.
    pub probes: bool,
    /// Attempts may be called off.
    pub cancel: bool,
    /// Refused clients may be told a time.
    pub retry_after: bool,
    /// Attempts of one request.
    pub max_attempts: u32,
    /// A link that is not up by then has failed.
    #[serde(rename = "connect_timeout_ms", with = "in_ms")]
    pub connect_timeout: Micros,
    /// Round trips of a new link.
    pub handshake_rtts: f64,
    /// An unused pair connection closes after this.
    #[serde(rename = "idle_close_s", with = "in_s")]
    pub idle_close: Micros,
    /// Work of a probe on a core of speed 1.
    #[serde(rename = "probe_work_ms", with = "in_ms")]
    pub probe_work: Micros,
    /// Probes that a node has in hand at once, for each of its cores; 0 for any number.
    #[serde(default)]
    pub probe_cap_per_core: f64,
    /// A probe that is not answered by then has failed.
    #[serde(rename = "probe_timeout_ms", with = "in_ms")]
    pub probe_timeout: Micros,
    /// CPU for decisions, microseconds a second.
    pub cpu_us_per_s: f64,
    /// Share of a core (sockets).
    pub cores: f64,
    /// Memory in MB (sockets).
    pub memory_mb: f64,
    /// File descriptors (sockets).
    pub sockets: u32,
}

/// Figures of the four rules.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// An answer so long after the deadline still counts.
    #[serde(rename = "answer_slack_ms", with = "in_ms")]
    pub answer_slack: Micros,
    /// Nothing new to a node so long after its drain or end was told.
    #[serde(rename = "drain_grace_s", with = "in_s")]
    pub drain_grace: Micros,
    /// A cold node falls when sent over so many times what it can do ...
    pub fall_multiple: f64,
    /// ... for so long.
    #[serde(rename = "fall_for_s", with = "in_s")]
    pub fall_for: Micros,
    /// What balancers are told of a start: it begins at this share or more.
    pub stated_cold_from: f64,
    /// And is warm after this.
    #[serde(rename = "stated_cold_s", with = "in_s")]
    pub stated_cold: Micros,
    /// A balancer that has not asked for so long counts as told.
    #[serde(rename = "ask_within_s", with = "in_s")]
    pub ask_within: Micros,
}

/// Weights of the result's parts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Goal {
    /// The whole day.
    pub whole: f64,
    /// The worst 10 s.
    pub worst_window: f64,
    /// The worst class.
    pub worst_class: f64,
    /// The worst tenant within its share.
    pub worst_tenant: f64,
}

/// What is taken off the result, each times its rate.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Prices {
    /// Crossings of zones.
    pub cross_zone: f64,
    /// Work that served nothing.
    pub waste: f64,
    /// Open connections.
    pub connection: f64,
    /// New connections.
    pub handshake: f64,
    /// Probes.
    pub probe: f64,
    /// Worth that failed after its aim.
    pub late_fail: f64,
    /// Moves.
    pub moves: f64,
}

/// Bad clients that come all day.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BadClients {
    /// What they do, by the name of the kind.
    pub kind: String,
    /// Connections a second.
    pub per_s: f64,
}
